package isolator

import (
	"github.com/fescuethread/fescuethread/timer"
)

// Tick removes expired state; it is called periodically.
func (i *Isolator) Tick(now timer.Instant) {
	i.mu.Lock()
	defer i.mu.Unlock()
	i.suspects.expire(now)
	i.pruneCleared(now)
	i.prunePeers(now)
	i.pruneTargets(now)
}

func (i *Isolator) pruneCleared(now timer.Instant) {
	for f, clearedAt := range i.clearedAt {
		if now.Sub(clearedAt) >= SuspectTTL {
			delete(i.clearedAt, f)
		}
	}
}

func (i *Isolator) prunePeers(now timer.Instant) {
	for host, list := range i.peerSuspects {
		if !anyUnexpired(list, now) {
			delete(i.peerSuspects, host)
		}
	}
}

func anyUnexpired(list []Suspect, now timer.Instant) bool {
	for _, s := range list {
		if now.Before(s.Until) {
			return true
		}
	}
	return false
}

func (i *Isolator) pruneTargets(now timer.Instant) {
	for name, t := range i.targets {
		if t.inFlight == 0 && len(t.recentLosses(now, RefuseWindow)) == 0 {
			delete(i.targets, name)
		}
	}
}
