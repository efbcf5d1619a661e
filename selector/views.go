package selector

import (
	"math"

	"github.com/fescuethread/fescuethread/placer"
	"github.com/fescuethread/fescuethread/timer"
)

// View is what a host has seen of a target since it last told its peers.
type View struct {
	// Target is the hash of the target's ID and start time.
	Target uint32
	// Load is the mean number of requests that ran or waited, by the target's reports; negative
	// without a report.
	Load float64
	// Answered and Failed are the numbers of attempts that the target answered and failed.
	Answered, Failed int
	// Slowdown is the latest slowdown that the target reported; 0 if none.
	Slowdown float64
}

// sighting collects a host's own outcomes at a target for the next View.
type sighting struct {
	loads, reports   float64
	answered, failed int
	slowdown         float64
	queued           bool
}

// viewHash is the hash by which views name a start of a target: what peers have seen of an earlier
// start says nothing of this one.
func (t *target) viewHash() uint32 {
	return uint32(placer.Mix(t.hash ^ placer.Mix(uint64(t.StartMillis))))
}

// recordView adds an outcome at a target to what peers are told.
func (s *Selector) recordView(t *target, r Result, load float64) {
	v := &t.sighting
	switch r.Outcome {
	case OutcomeAnswered:
		v.answered++
	case OutcomeFailed, OutcomeLost:
		v.failed++
	case OutcomeShed:
		if r.Report.free() {
			v.failed++
		}
	default:
		return
	}
	if load >= 0 {
		v.loads += load
		v.reports++
	}
	if r.Report != nil {
		v.slowdown = r.Report.Slowdown
	}
	if !v.queued {
		v.queued = true
		s.seen = append(s.seen, t)
	}
}

// TakeViews returns what this host has seen of at most n targets, those that wait longest first.
func (s *Selector) TakeViews(n int) []View {
	s.mu.Lock()
	defer s.mu.Unlock()
	n = min(n, len(s.seen))
	views := make([]View, 0, n)
	for _, t := range s.seen[:n] {
		v := View{
			Target: t.viewHash(), Load: -1, Answered: t.sighting.answered, Failed: t.sighting.failed,
			Slowdown: t.sighting.slowdown,
		}
		if t.sighting.reports > 0 {
			v.Load = t.sighting.loads / t.sighting.reports
		}
		views = append(views, v)
		t.sighting = sighting{}
	}
	s.seen = append(s.seen[:0], s.seen[n:]...)
	return views
}

// AddViews takes over what a peer has seen of targets; those that aren't known here are ignored.
func (s *Selector) AddViews(now timer.Instant, views []View) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, v := range views {
		t := s.byView[v.Target]
		if t == nil || !s.placed() {
			continue
		}
		t.addView(now, v)
	}
}

func (t *target) addView(now timer.Instant, v View) {
	if v.Load >= 0 {
		t.level.observe(now, v.Load)
	}
	t.slowdown.observe(now, v.Slowdown)
	if v.Failed+v.Answered == 0 {
		return
	}
	if t.failing() {
		// The peer's attempts were probes for this host too.
		t.lastProbe = max(t.lastProbe, now)
	}
	t.observed = true
	t.failureRate = 1 - (1-t.failureRate)*math.Pow(1-failureWeight, float64(v.Failed))
	t.failureRate *= math.Pow(1-failureWeight, float64(v.Answered))
}
