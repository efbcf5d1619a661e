package selector

import (
	"time"

	"github.com/fescuethread/fescuethread/timer"
)

// departedTTL is how long a start of a target is remembered that is no longer listed.
const departedTTL = 10 * time.Minute

// startKey identifies a start of a target.
type startKey struct {
	id          string
	startMillis int64
	address     string
}

func (t *target) startKey() startKey {
	return startKey{id: t.ID, startMillis: t.StartMillis, address: t.Address}
}

// departed is what is known of a start of a target that is no longer listed. Its entry may come
// back, after an outage of the store or in an old read, without a new start of the target.
type departed struct {
	hold      hold
	coldUntil timer.Instant
	ending    ending
	goneAt    timer.Instant
}

// window holds this host's latest requests to a target that is no longer listed, of any start.
type window struct {
	sent       []timer.Instant
	quietUntil timer.Instant
	goneAt     timer.Instant
}

// keepDeparted remembers a start of a target that is removed from the list or replaced.
func (s *Selector) keepDeparted(now timer.Instant, t *target) {
	t.settle(now)
	if t.recent(now) > 0 {
		s.windows[t.ID] = window{sent: t.sent, quietUntil: t.quietUntil, goneAt: now}
	}
	s.departed[t.startKey()] = departed{
		hold: t.hold, coldUntil: t.coldUntil, ending: t.ending, goneAt: now,
	}
}

// restoreDeparted gives a target that is listed anew what is known of its start. A start that was
// listed before isn't cold for that; one without a start time may be another.
func (s *Selector) restoreDeparted(now timer.Instant, t *target) {
	if w, ok := s.windows[t.ID]; ok {
		t.sent, t.quietUntil = w.sent, max(t.quietUntil, w.quietUntil)
		delete(s.windows, t.ID)
	}
	d, ok := s.departed[t.startKey()]
	if !ok {
		return
	}
	delete(s.departed, t.startKey())
	t.hold, t.ending = d.hold, d.ending
	if t.StartMillis != 0 {
		t.coldUntil = max(d.coldUntil, now.Add(t.ColdRemaining))
	}
}

// pruneDeparted forgets what is too old to matter.
func (s *Selector) pruneDeparted(now timer.Instant) {
	for key, d := range s.departed {
		if now.Sub(d.goneAt) > departedTTL {
			delete(s.departed, key)
		}
	}
	for id, w := range s.windows {
		if now.Sub(w.goneAt) > coldWindow {
			delete(s.windows, id)
		}
	}
}
