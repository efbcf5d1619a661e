package steerer

import (
	"slices"

	"github.com/fescuethread/fescuethread/planner"
)

// roundRobin distributes a route's requests among its services by smooth weighted round robin.
type roundRobin struct {
	services    []planner.WeightedService
	credits     []int
	totalWeight int
}

func newRoundRobin(services []planner.WeightedService) *roundRobin {
	r := &roundRobin{services: slices.Clone(services), credits: make([]int, len(services))}
	for _, s := range services {
		r.totalWeight += s.Weight
	}
	return r
}

// matches reports whether the round robin was created for these services and weights.
func (r *roundRobin) matches(services []planner.WeightedService) bool {
	return slices.Equal(r.services, services)
}

// next adds each service's weight to its credit, picks the service with the highest credit and
// subtracts the total weight from that credit.
func (r *roundRobin) next() string {
	best := 0
	for i := range r.services {
		r.credits[i] += r.services[i].Weight
		if r.credits[i] > r.credits[best] {
			best = i
		}
	}
	r.credits[best] -= r.totalWeight
	return r.services[best].Service
}
