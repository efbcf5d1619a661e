package steerer

import (
	"slices"

	"github.com/fescuethread/fescuethread/planner"
)

// rotation is a smooth weighted round robin over the parts of a split.
type rotation struct {
	parts   []planner.Part
	credits []int
	total   int
}

func newRotation(parts []planner.Part) *rotation {
	r := &rotation{parts: slices.Clone(parts), credits: make([]int, len(parts))}
	for _, p := range parts {
		r.total += p.Weight
	}
	return r
}

func (r *rotation) matches(parts []planner.Part) bool {
	return slices.Equal(r.parts, parts)
}

// next credits each part with its weight and takes the one with most credit, which pays the sum.
func (r *rotation) next() string {
	best := 0
	for i := range r.parts {
		r.credits[i] += r.parts[i].Weight
		if r.credits[i] > r.credits[best] {
			best = i
		}
	}
	r.credits[best] -= r.total
	return r.parts[best].Service
}
