package isolator

import (
	"bytes"
	"slices"

	"github.com/fescuethread/fescuethread/timer"
)

// ledger is the bounded list of a host's own suspicions.
type ledger struct {
	entries []*Suspicion
}

func (l *ledger) find(f Fingerprint) *Suspicion {
	for _, s := range l.entries {
		if s.Fingerprint == f {
			return s
		}
	}
	return nil
}

// open returns the suspicion against f and makes one, if need be in place of a lesser one.
func (l *ledger) open(now timer.Instant, f Fingerprint) *Suspicion {
	if s := l.find(f); s != nil {
		return s
	}
	l.makeRoom(f)
	s := &Suspicion{Fingerprint: f}
	s.suspect(now)
	l.entries = append(l.entries, s)
	return s
}

func (l *ledger) makeRoom(f Fingerprint) {
	if l.count(f) >= MaxCustomerSuspicions {
		l.drop(f)
		return
	}
	if len(l.entries) >= MaxSuspicions {
		l.drop(l.mostOf())
	}
}

func (l *ledger) count(f Fingerprint) int {
	n := 0
	for _, s := range l.entries {
		if s.Fingerprint.sameCustomer(f) {
			n++
		}
	}
	return n
}

// mostOf returns a fingerprint of the customer that most suspicions concern.
func (l *ledger) mostOf() Fingerprint {
	most := l.entries[0].Fingerprint
	for _, s := range l.entries {
		if l.count(s.Fingerprint) > l.count(most) {
			most = s.Fingerprint
		}
	}
	return most
}

// drop removes the suspicion of f's customer that ends first, a suspect before a convict.
func (l *ledger) drop(f Fingerprint) {
	var first *Suspicion
	for _, s := range l.entries {
		if s.Fingerprint.sameCustomer(f) && (first == nil || s.lesserThan(first)) {
			first = s
		}
	}
	l.remove(first.Fingerprint)
}

func (s *Suspicion) lesserThan(other *Suspicion) bool {
	if s.Crashes != other.Crashes {
		return s.Crashes < other.Crashes
	}
	return s.Until.Before(other.Until)
}

func (l *ledger) remove(f Fingerprint) {
	l.entries = slices.DeleteFunc(l.entries, func(s *Suspicion) bool {
		return s.Fingerprint == f
	})
}

// expire drops the suspicions that have ended and turns ended convictions into suspicions.
func (l *ledger) expire(now timer.Instant) {
	l.entries = slices.DeleteFunc(l.entries, func(s *Suspicion) bool {
		if now.Before(s.Until) {
			return false
		}
		if !s.Convicted() {
			return true
		}
		s.suspect(now)
		return false
	})
}

// list returns the suspicions in the order of their fingerprints.
func (l *ledger) list() []Suspicion {
	list := make([]Suspicion, 0, len(l.entries))
	for _, s := range l.entries {
		list = append(list, *s)
	}
	slices.SortFunc(list, func(a, b Suspicion) int {
		return bytes.Compare(a.Fingerprint[:], b.Fingerprint[:])
	})
	return list
}
