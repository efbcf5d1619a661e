package targeter

import (
	"net/http"
	"strconv"
	"time"

	"github.com/fescuethread/fescuethread/platform"
)

// Crash marks the target as crashed and reports whether it was serving and not draining. The
// caller ends its connections.
func (t *Target) Crash() bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	wasServing := !t.crashed && !t.draining
	t.crashed = t.crashed || wasServing
	return wasServing
}

// Restart starts the target again under its ID. It has forgotten its state and is cold for a
// while.
func (t *Target) Restart(coldPeriod time.Duration) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.started = time.Now()
	t.coldUntil = t.started.Add(coldPeriod)
	t.mode, t.received, t.crashed = ModeServe, 0, false
}

// coldRemaining returns for how much longer the target is cold.
func (t *Target) coldRemaining() time.Duration {
	return max(time.Until(t.coldUntil), 0)
}

func (t *Target) reportColdArrival(at time.Time) {
	t.mu.Lock()
	started, cold := t.started, at.Before(t.coldUntil)
	t.mu.Unlock()
	if cold && t.cfg.OnColdArrival != nil {
		t.cfg.OnColdArrival(t.cfg.ID, started, at)
	}
}

// serveHealth responds to a health check, which waits for a slot like a request.
func (t *Target) serveHealth(w http.ResponseWriter) {
	t.sem <- struct{}{}
	defer func() { <-t.sem }()
	t.mu.Lock()
	cold, draining := t.coldRemaining(), t.draining
	t.mu.Unlock()
	w.Header().Set(headerInstance, t.cfg.ID)
	w.Header().Set(platform.HeaderLoad, t.load())
	if cold > 0 {
		w.Header().Set(headerColdRemaining, strconv.FormatInt(cold.Milliseconds(), 10))
	}
	if draining {
		w.WriteHeader(http.StatusServiceUnavailable)
	}
}
