package steerer

import (
	"slices"

	"github.com/fescuethread/fescuethread/planner"
)

// roundRobin distributes a route's requests among its services by smooth weighted round robin.
type roundRobin struct {
	parts       []planner.WeightedService
	credits     []int
	totalWeight int
}

func newRoundRobin(parts []planner.WeightedService) *roundRobin {
	r := &roundRobin{parts: slices.Clone(parts), credits: make([]int, len(parts))}
	for _, p := range parts {
		r.totalWeight += p.Weight
	}
	return r
}

// matches reports whether the round robin was created for these services and weights.
func (r *roundRobin) matches(parts []planner.WeightedService) bool {
	return slices.Equal(r.parts, parts)
}

// next adds to the credit of each service its weight, picks the service with the highest credit
// and subtracts the total weight from that credit.
func (r *roundRobin) next() string {
	best := 0
	for i := range r.parts {
		r.credits[i] += r.parts[i].Weight
		if r.credits[i] > r.credits[best] {
			best = i
		}
	}
	r.credits[best] -= r.totalWeight
	return r.parts[best].Service
}
