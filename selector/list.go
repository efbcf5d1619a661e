package selector

import (
	"slices"
	"time"

	"github.com/fescuethread/fescuethread/timer"
)

// SetTargets replaces the list of targets; it returns the IDs of those that were removed or
// replaced, see setTarget.
func (s *Selector) SetTargets(now timer.Instant, list []Target) []string {
	s.mu.Lock()
	defer s.mu.Unlock()
	var gone []string
	listed := make(map[string]bool, len(list))
	for _, t := range list {
		listed[t.ID] = true
		if s.setTarget(now, t) {
			gone = append(gone, t.ID)
		}
	}
	for id, t := range s.targets {
		if !listed[id] {
			s.keepDeparted(now, t)
			delete(s.targets, id)
			gone = append(gone, id)
		}
	}
	s.populated = true
	s.index()
	return gone
}

// setTarget adds or updates a target and reports whether a known target was replaced: it has
// another start time or address.
func (s *Selector) setTarget(now timer.Instant, t Target) bool {
	old, ok := s.targets[t.ID]
	if ok && old.Target == t {
		return false
	}
	restarted := ok && (old.StartMillis != t.StartMillis || old.Address != t.Address)
	if !ok || restarted {
		fresh := newTarget(t)
		fresh.listedAt = now
		fresh.coldUntil = now.Add(s.initialColdPeriod(t))
		if !s.populated && t.ColdRemaining > 0 {
			// The process before this one may just have sent it requests.
			fresh.quietUntil = now.Add(coldWindow)
		}
		if restarted {
			s.keepDeparted(now, old)
		}
		s.restoreDeparted(now, fresh)
		s.targets[t.ID] = fresh
		return restarted
	}
	old.Target = t
	if t.ColdRemaining > 0 {
		old.setCold(now, now.Add(t.ColdRemaining))
	}
	return false
}

// initialColdPeriod returns how long a target that is new to this host counts as cold. The targets
// of the first list may have started long before this process, so only ColdRemaining counts.
func (s *Selector) initialColdPeriod(t Target) time.Duration {
	if !s.populated {
		return t.ColdRemaining
	}
	return max(t.ColdRemaining, s.service(t.Service).config.ColdPeriod)
}

// SetEvacuated sets the availability zones whose targets receive no requests. The targets of a
// zone that is no longer evacuated count as cold.
func (s *Selector) SetEvacuated(now timer.Instant, zones []string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	next := make(map[string]bool, len(zones))
	for _, z := range zones {
		next[z] = true
	}
	for _, t := range s.targets {
		if s.evacuated[t.Zone] && !next[t.Zone] {
			t.coldUntil = max(t.coldUntil, now.Add(s.service(t.Service).coldPeriod()))
		}
	}
	s.evacuated = next
	for _, svc := range s.services {
		s.placeTargets(svc)
	}
}

// index groups the targets by service and availability zone, sorted by ID.
func (s *Selector) index() {
	for _, svc := range s.services {
		svc.zones = map[string][]*target{}
	}
	s.seen = slices.DeleteFunc(s.seen, func(t *target) bool { return s.targets[t.ID] != t })
	clear(s.byView)
	for _, t := range s.targets {
		s.byView[t.viewHash()] = t
		svc := s.service(t.Service)
		t.coldPeriod = svc.coldPeriod()
		svc.zones[t.Zone] = append(svc.zones[t.Zone], t)
	}
	for _, svc := range s.services {
		for _, list := range svc.zones {
			slices.SortFunc(list, func(a, b *target) int {
				if a.ID < b.ID {
					return -1
				}
				return 1
			})
		}
		s.placeTargets(svc)
	}
}
