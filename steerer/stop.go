package steerer

import (
	"time"

	"github.com/fescuethread/fescuethread/timer"
)

// Leave tells the steerer that this host ends at the given time: it sends a target no request
// whose response is expected later.
func (s *Steerer) Leave(end timer.Instant) {
	s.endsAt.Store(int64(end))
}

// Stop makes the steerer reject all new requests; requests in flight continue.
func (s *Steerer) Stop() {
	s.stopping.Store(true)
}

// Abort ends the requests in flight: their callers get 502, or 503 if they certainly did not run.
func (s *Steerer) Abort() {
	s.abort()
}

// leaving reports whether this host is about to end.
func (s *Steerer) leaving() bool {
	return s.endsAt.Load() != 0
}

// timeLeft returns the time until the request's deadline, or until this host ends if that is
// earlier.
func (s *Steerer) timeLeft(q *request) time.Duration {
	now := timer.Now()
	left := q.deadline.Sub(now)
	if end := timer.Instant(s.endsAt.Load()); end != 0 {
		return min(left, end.Sub(now))
	}
	return left
}
