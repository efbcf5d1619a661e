package watcher

import (
	"sort"
	"sync"

	"github.com/fescuethread/fescuethread/logger"
)

// Shelf holds the newest accepted version of each document.
type Shelf struct {
	checker Checker
	log     *logger.Logger

	mu    sync.Mutex
	slots map[string]*slot
	subs  []*Subscription
}

// NewShelf returns a shelf without documents.
func NewShelf(c Checker, l *logger.Logger) *Shelf {
	return &Shelf{checker: c, log: l, slots: make(map[string]*slot)}
}

// Offer puts a document in force if it is newer than the one in force and passes the check.
//
// Without a document in force, one below a version that was heard of isn't accepted. A document
// that doesn't pass the check is KindRefused; it is checked again when another document changes.
func (s *Shelf) Offer(doc Document) (bool, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	t := s.slot(doc.Name)
	t.known = max(t.known, doc.Version)
	if !t.wants(doc.Version) {
		return false, nil
	}
	if err := s.checker.Check(doc); err != nil {
		t.refuse(doc)
		s.log.Log(eventRefused, logger.F("document", doc.Name), logger.F("version", doc.Version),
			logger.F("kept", t.inForce.Version), logger.F("cause", err.Error()))
		return false, &Error{Op: "offer " + doc.Name, Kind: KindRefused, Err: err}
	}
	s.accept(t, doc)
	s.recheck(doc.Name)
	return true, nil
}

// Hear records that a version exists.
func (s *Shelf) Hear(v Version) {
	s.mu.Lock()
	defer s.mu.Unlock()
	t := s.slot(v.Name)
	t.known = max(t.known, v.Version)
}

// Wants reports whether a version could come into force.
func (s *Shelf) Wants(v Version) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.slot(v.Name).wants(v.Version)
}

// Newest returns the document in force.
func (s *Shelf) Newest(name string) (Document, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	t, ok := s.slots[name]
	if !ok || t.inForce.Version == 0 {
		return Document{}, false
	}
	return t.inForce, true
}

// Versions returns the versions in force, in the order of the documents' names.
func (s *Shelf) Versions() []Version {
	return s.collect(func(t *slot) uint64 { return t.inForce.Version })
}

// Behind returns the highest known versions that are neither in force nor refused.
func (s *Shelf) Behind() []Version {
	return s.collect((*slot).missing)
}

// Subscribe returns a subscription to a document, which begins with the version in force.
func (s *Shelf) Subscribe(name string) *Subscription {
	s.mu.Lock()
	defer s.mu.Unlock()
	sub := &Subscription{shelf: s, name: name, ch: make(chan Document, 1)}
	s.subs = append(s.subs, sub)
	if t := s.slot(name); t.inForce.Version > 0 {
		sub.replace(t.inForce)
	}
	return sub
}

// collect returns the documents for which version isn't 0.
func (s *Shelf) collect(version func(*slot) uint64) []Version {
	s.mu.Lock()
	defer s.mu.Unlock()
	found := make([]Version, 0, len(s.slots))
	for name, t := range s.slots {
		if v := version(t); v > 0 {
			found = append(found, Version{Name: name, Version: v})
		}
	}
	sort.Slice(found, func(i, j int) bool { return found[i].Name < found[j].Name })
	return found
}

func (s *Shelf) slot(name string) *slot {
	t, ok := s.slots[name]
	if !ok {
		t = &slot{}
		s.slots[name] = t
	}
	return t
}

func (s *Shelf) accept(t *slot, doc Document) {
	t.accept(doc)
	s.log.Log(eventAccepted, logger.F("document", doc.Name), logger.F("version", doc.Version),
		logger.F("change", doc.Change))
	for _, sub := range s.subs {
		if sub.name == doc.Name {
			sub.replace(doc)
		}
	}
}

// recheck checks the refused documents again, since a check may depend on the changed one.
func (s *Shelf) recheck(changed string) {
	for changed != "" {
		changed = s.recheckOthers(changed)
	}
}

// recheckOthers puts in force at most one refused document and returns its name.
func (s *Shelf) recheckOthers(changed string) string {
	for name, t := range s.slots {
		doc := t.refused
		if name == changed || doc.Version == 0 || s.checker.Check(doc) != nil {
			continue
		}
		s.accept(t, doc)
		return name
	}
	return ""
}

func (s *Shelf) remove(sub *Subscription) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for i, other := range s.subs {
		if other == sub {
			s.subs = append(s.subs[:i], s.subs[i+1:]...)
			return
		}
	}
}
