package scheduler

import "time"

// candidate is a target with a free slot.
type candidate struct {
	target   *target
	capacity int
	// latency is the time that a request is expected to run.
	latency time.Duration
}

// chooser picks one of the candidates, or nil when there are none.
type chooser func(free []candidate) *target

// fastest picks the target with the least latency, weighted by its load after it took the
// request.
func fastest(free []candidate) *target {
	var best candidate
	for _, c := range free {
		if best.target == nil || c.score() < best.score() {
			best = c
		}
	}
	return best.target
}

func (c candidate) score() float64 {
	return float64(c.latency) * float64(c.target.busy+1) / float64(c.capacity)
}
