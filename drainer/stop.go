package drainer

import (
	"time"

	"github.com/fescuethread/fescuethread/timer"
)

// Phase is a step of a graceful stop.
type Phase int

const (
	// PhaseServing is a host that is not stopping.
	PhaseServing Phase = iota
	// PhaseLeaving is a host that look-up answers leave out, and that serves what still arrives.
	PhaseLeaving
	// PhaseFinishing is a host whose last look-up answer has run out; it finishes what it holds.
	PhaseFinishing
	// PhaseHanding is a host that hands its operations and shares to others.
	PhaseHanding
	// PhaseLeft is a host that may exit.
	PhaseLeft
)

// String returns the phase's name.
func (p Phase) String() string {
	switch p {
	case PhaseServing:
		return "serving"
	case PhaseLeaving:
		return "leaving"
	case PhaseFinishing:
		return "finishing"
	case PhaseHanding:
		return "handing over"
	default:
		return "left"
	}
}

// Limits bounds a stop.
type Limits struct {
	// Answers is the time until the last look-up answer that names this host has run out: the
	// spread of the news and the lifetime of an answer.
	Answers time.Duration
	// Finish is the longest wait for requests in flight.
	Finish time.Duration
}

// Stop is the state of a graceful stop; it is immutable.
type Stop struct {
	limits Limits
	phase  Phase
	since  timer.Instant
	cut    int
}

// NewStop returns the state of a host that is serving.
func NewStop(limits Limits) Stop {
	return Stop{limits: limits}
}

// Phase returns the present phase.
func (s Stop) Phase() Phase {
	return s.phase
}

// Cut returns the number of requests that were still in flight when the wait for them ended.
func (s Stop) Cut() int {
	return s.cut
}

// WithBegin returns the state after a stop was asked for; asking again changes nothing.
func (s Stop) WithBegin(now timer.Instant) Stop {
	if s.phase != PhaseServing {
		return s
	}
	return s.enter(PhaseLeaving, now)
}

// WithCancel returns the state after the stop was cancelled; from PhaseHanding on there is no way
// back, because others may hold what was handed over.
func (s Stop) WithCancel() Stop {
	if s.phase >= PhaseHanding {
		return s
	}
	return Stop{limits: s.limits}
}

// WithProgress returns the state at now, given the number of requests in flight.
func (s Stop) WithProgress(now timer.Instant, inFlight int) Stop {
	switch s.phase {
	case PhaseLeaving:
		if now.Sub(s.since) >= s.limits.Answers {
			return s.enter(PhaseFinishing, now)
		}
	case PhaseFinishing:
		late := now.Sub(s.since) >= s.limits.Finish
		if inFlight == 0 || late {
			s.cut = inFlight
			return s.enter(PhaseHanding, now)
		}
	}
	return s
}

// WithHandedOver returns the state after operations and shares were handed over.
func (s Stop) WithHandedOver(now timer.Instant) Stop {
	if s.phase != PhaseHanding {
		return s
	}
	return s.enter(PhaseLeft, now)
}

func (s Stop) enter(p Phase, now timer.Instant) Stop {
	s.phase = p
	s.since = now
	return s
}
