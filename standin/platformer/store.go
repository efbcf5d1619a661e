package platformer

import (
	"sort"
	"strings"
	"sync"

	"github.com/fescuethread/fescuethread/storer"
)

// store is the versioned object store behind the API.
type store struct {
	mu       sync.Mutex
	objects  map[string]entry
	revision uint64
	changed  chan struct{}
}

type entry struct {
	object   storer.Object
	revision uint64
}

func newStore() *store {
	return &store{objects: make(map[string]entry), changed: make(chan struct{})}
}

func (s *store) get(name string) (storer.Object, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	e, ok := s.objects[name]
	return e.object, ok
}

// put writes an object if its version is expected; 0 stands for no object.
func (s *store) put(w storer.Write) (storer.Object, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.objects[w.Name].object.Version != w.Expected {
		return storer.Object{}, false
	}
	o := storer.Object{Name: w.Name, Version: w.Expected + 1, Change: w.Change, Body: w.Body}
	s.advance()
	s.objects[w.Name] = entry{object: o, revision: s.revision}
	return o, true
}

func (s *store) remove(name string, expected uint64) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	e, ok := s.objects[name]
	if !ok || e.object.Version != expected {
		return false
	}
	s.advance()
	delete(s.objects, name)
	return true
}

func (s *store) advance() {
	s.revision++
	close(s.changed)
	s.changed = make(chan struct{})
}

// list returns the objects under prefix written after a revision, and a channel that is closed at
// the next write.
func (s *store) list(prefix string, after uint64) (storer.Listing, <-chan struct{}) {
	s.mu.Lock()
	defer s.mu.Unlock()
	l := storer.Listing{Revision: s.revision}
	for name, e := range s.objects {
		if strings.HasPrefix(name, prefix) && e.revision > after {
			l.Objects = append(l.Objects, e.object)
		}
	}
	sort.Slice(l.Objects, func(i, j int) bool { return l.Objects[i].Name < l.Objects[j].Name })
	return l, s.changed
}
