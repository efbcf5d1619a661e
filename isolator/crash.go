package isolator

import (
	"slices"
	"time"

	"github.com/fescuethread/fescuethread/timer"
)

const (
	// CrashWindow is the time within which several lost connections to a target count as one crash.
	CrashWindow = 200 * time.Millisecond
	// RefuseWindow is the time after a lost connection within which a refused one confirms a crash.
	RefuseWindow = 5 * time.Second
)

// lostRequest is a request whose connection was lost before the complete response arrived.
type lostRequest struct {
	fingerprint Fingerprint
	lostAt      timer.Instant
}

// targetState tracks the requests and crashes of one target.
type targetState struct {
	inFlight   int
	lost       []lostRequest
	crashedAt  timer.Instant
	hasCrashed bool
}

// recordLoss records a lost request. If this confirms a crash, it returns the fingerprints lost
// within CrashWindow. A crash is confirmed if no request is left in flight, or if another loss or
// a crash was recorded within CrashWindow.
func (t *targetState) recordLoss(now timer.Instant, f Fingerprint) []Fingerprint {
	t.lost = append(t.recentLosses(now, RefuseWindow), lostRequest{fingerprint: f, lostAt: now})
	if t.inFlight == 0 || t.crashedRecently(now) || len(t.recentLosses(now, CrashWindow)) > 1 {
		return t.confirmCrash(now, CrashWindow)
	}
	return nil
}

func (t *targetState) crashedRecently(now timer.Instant) bool {
	return t.hasCrashed && now.Sub(t.crashedAt) <= CrashWindow
}

// recordRefusal records a refused connection, which confirms a crash, and returns the fingerprints
// lost within RefuseWindow.
func (t *targetState) recordRefusal(now timer.Instant) []Fingerprint {
	return t.confirmCrash(now, RefuseWindow)
}

// recordAnswer records an answer to a request that started at an instant. The target was running
// then, so earlier losses and crashes explain none that follow; it may have started again since.
func (t *targetState) recordAnswer(startedAt timer.Instant) {
	t.lost = slices.DeleteFunc(t.lost, func(l lostRequest) bool {
		return l.lostAt.Before(startedAt)
	})
	if t.crashedAt.Before(startedAt) {
		t.hasCrashed = false
	}
}

// confirmCrash records a crash and returns the fingerprints lost within the window. It clears all
// recorded losses, so that no loss counts for two crashes.
func (t *targetState) confirmCrash(now timer.Instant, window time.Duration) []Fingerprint {
	var confirmed []Fingerprint
	for _, l := range t.recentLosses(now, window) {
		confirmed = append(confirmed, l.fingerprint)
	}
	t.lost = nil
	t.crashedAt = now
	t.hasCrashed = true
	return confirmed
}

func (t *targetState) recentLosses(now timer.Instant, window time.Duration) []lostRequest {
	var recent []lostRequest
	for _, l := range t.lost {
		if now.Sub(l.lostAt) <= window {
			recent = append(recent, l)
		}
	}
	return recent
}
