package isolator

import (
	"bytes"
	"slices"

	"github.com/fescuethread/fescuethread/timer"
)

// suspectList is the bounded list of a host's own suspects.
type suspectList struct {
	entries []*Suspect
}

func (l *suspectList) find(f Fingerprint) *Suspect {
	for _, s := range l.entries {
		if s.Fingerprint == f {
			return s
		}
	}
	return nil
}

// getOrAdd returns the suspect of f, or adds one. If the customer has MaxCustomerSuspects, or the
// list MaxSuspects, the new one replaces another.
func (l *suspectList) getOrAdd(now timer.Instant, f Fingerprint) *Suspect {
	if s := l.find(f); s != nil {
		return s
	}
	l.makeRoom(f)
	s := &Suspect{Fingerprint: f}
	s.markSuspect(now)
	l.entries = append(l.entries, s)
	return s
}

func (l *suspectList) makeRoom(f Fingerprint) {
	if l.countCustomer(f) >= MaxCustomerSuspects {
		l.evict(f)
		return
	}
	if len(l.entries) >= MaxSuspects {
		l.evict(l.largestCustomer())
	}
}

func (l *suspectList) countCustomer(f Fingerprint) int {
	n := 0
	for _, s := range l.entries {
		if s.Fingerprint.sameCustomer(f) {
			n++
		}
	}
	return n
}

// largestCustomer returns a fingerprint of the customer with the most suspects.
func (l *suspectList) largestCustomer() Fingerprint {
	largest := l.entries[0].Fingerprint
	for _, s := range l.entries {
		if l.countCustomer(s.Fingerprint) > l.countCustomer(largest) {
			largest = s.Fingerprint
		}
	}
	return largest
}

// evict removes the suspect of f's customer that expires first; quarantined ones go last.
func (l *suspectList) evict(f Fingerprint) {
	var evicted *Suspect
	for _, s := range l.entries {
		if s.Fingerprint.sameCustomer(f) && (evicted == nil || s.evictedBefore(evicted)) {
			evicted = s
		}
	}
	l.remove(evicted.Fingerprint)
}

func (s *Suspect) evictedBefore(other *Suspect) bool {
	if s.Crashes != other.Crashes {
		return s.Crashes < other.Crashes
	}
	return s.Until.Before(other.Until)
}

func (l *suspectList) remove(f Fingerprint) {
	l.entries = slices.DeleteFunc(l.entries, func(s *Suspect) bool {
		return s.Fingerprint == f
	})
}

// expire removes expired suspects and turns expired quarantines into suspicions.
func (l *suspectList) expire(now timer.Instant) {
	l.entries = slices.DeleteFunc(l.entries, func(s *Suspect) bool {
		if now.Before(s.Until) {
			return false
		}
		if !s.Quarantined() {
			return true
		}
		s.markSuspect(now)
		return false
	})
}

// list returns the suspects in the order of their fingerprints.
func (l *suspectList) list() []Suspect {
	list := make([]Suspect, 0, len(l.entries))
	for _, s := range l.entries {
		list = append(list, *s)
	}
	slices.SortFunc(list, func(a, b Suspect) int {
		return bytes.Compare(a.Fingerprint[:], b.Fingerprint[:])
	})
	return list
}
