package selector

import (
	"math/rand/v2"
	"time"

	"github.com/fescuethread/fescuethread/timer"
)

const (
	// MaxHold is the longest time for which a target can ask a host to send it nothing.
	MaxHold = time.Minute
	// holdJitter is the range of the random time added to a hold, so that the hosts don't return to
	// the target at the same moment.
	holdJitter = 250 * time.Millisecond
	// maxHoldWaitDivisor limits the Retry-After of a request whose targets all hold off: callers
	// honor up to this part of the time that they have left.
	maxHoldWaitDivisor = 3
)

// hold is what a target has said about further requests of this host.
type hold struct {
	// leaving is set once the target has said in a response that it is shutting down. Only a new
	// start of the target, which is a new target here, ends it.
	leaving bool
	// told says that another host has told of the leaving.
	told bool
	// until is the end of the time for which the target wants no requests; 0 if it never asked.
	until timer.Instant
}

// blocks reports whether the target must get no request now.
func (h *hold) blocks(now timer.Instant) bool {
	return h.leaving || now.Before(h.until)
}

// observe records what a response said. A later response can only extend the time.
func (h *hold) observe(now timer.Instant, r Result) {
	h.leaving = h.leaving || r.Leaving
	if r.HoldFor > 0 {
		h.until = max(h.until, now.Add(min(r.HoldFor, MaxHold)+rand.N(holdJitter)))
	}
}

// Leaving is a target that has said that it is shutting down.
type Leaving struct {
	// ID is the target's ID.
	ID string
	// StartMillis is the Unix time of its start in milliseconds.
	StartMillis int64
}

// Leaving returns the targets that have told this host that they are shutting down and whose
// entries don't say so yet.
func (s *Selector) Leaving() []Leaving {
	s.mu.Lock()
	defer s.mu.Unlock()
	var list []Leaving
	for id, t := range s.targets {
		if t.hold.leaving && !t.hold.told && !t.Draining {
			list = append(list, Leaving{ID: id, StartMillis: t.StartMillis})
		}
	}
	return list
}

// SetLeaving marks a target that has told another host that it is shutting down.
func (s *Selector) SetLeaving(l Leaving) {
	s.mu.Lock()
	defer s.mu.Unlock()
	t, ok := s.targets[l.ID]
	if ok && t.StartMillis == l.StartMillis && !t.hold.leaving {
		t.hold.leaving, t.hold.told = true, true
	}
}

// earliestHoldEnd returns the time until the first hold of a target ends that the request could be
// sent to; ok is false if none holds off.
func (x *search) earliestHoldEnd() (wait time.Duration, ok bool) {
	for zone := range x.s.cfg.Regions {
		if !x.allowed(zone) {
			continue
		}
		for _, t := range x.svc.zones[zone] {
			if t.Draining || t.misdirected || t.hold.leaving || !x.now.Before(t.hold.until) {
				continue
			}
			if left := t.hold.until.Sub(x.now); !ok || left < wait {
				wait, ok = left, true
			}
		}
	}
	return wait, ok
}

// refuseHeldOff refuses a request that has no target; if some hold off, the caller is told when
// the first of them takes requests again.
func (x *search) refuseHeldOff() Choice {
	wait, ok := x.earliestHoldEnd()
	if !ok {
		return x.refuse(ReasonNoTarget)
	}
	c := x.refuse(ReasonHeldOff)
	c.RetryAfter = max(c.RetryAfter, min(wait, x.q.Timeout/maxHoldWaitDivisor))
	return c
}
