package isolator

import (
	"time"

	"github.com/fescuethread/fescuethread/timer"
)

const (
	// CrashWindow is the time within which several lost connections count as one crash.
	CrashWindow = 200 * time.Millisecond
	// RefuseWindow is the time within which a refused connection confirms a crash.
	RefuseWindow = 5 * time.Second
)

// victim is a run that a target's connection was lost under.
type victim struct {
	fingerprint Fingerprint
	at          timer.Instant
}

// wreck is what is known of the runs on one target.
type wreck struct {
	running int
	lost    []victim
	crashed timer.Instant
	known   bool
}

// lose notes a lost run and returns the fingerprints that a crash is confirmed for: several
// connections were lost at once, or none is left.
func (w *wreck) lose(now timer.Instant, f Fingerprint) []Fingerprint {
	w.lost = append(w.recent(now, RefuseWindow), victim{fingerprint: f, at: now})
	if w.running == 0 || w.crashing(now) || len(w.recent(now, CrashWindow)) > 1 {
		return w.confirm(now, CrashWindow)
	}
	return nil
}

func (w *wreck) crashing(now timer.Instant) bool {
	return w.known && now.Sub(w.crashed) <= CrashWindow
}

// refuse returns the fingerprints that a refused connection confirms a crash for.
func (w *wreck) refuse(now timer.Instant) []Fingerprint {
	return w.confirm(now, RefuseWindow)
}

// confirm hands out the recent victims, each of them once.
func (w *wreck) confirm(now timer.Instant, window time.Duration) []Fingerprint {
	var confirmed []Fingerprint
	for _, v := range w.recent(now, window) {
		confirmed = append(confirmed, v.fingerprint)
	}
	w.lost = nil
	w.crashed = now
	w.known = true
	return confirmed
}

func (w *wreck) recent(now timer.Instant, window time.Duration) []victim {
	var recent []victim
	for _, v := range w.lost {
		if now.Sub(v.at) <= window {
			recent = append(recent, v)
		}
	}
	return recent
}
