package platformer

import (
	"encoding/json"
	"net/http"
	"sort"
	"sync"
	"time"
)

// Meta is the metadata of an object.
type Meta struct {
	// Name is unique among the objects of a kind.
	Name string `json:"name"`
	// Revision is the store's revision at the object's last change.
	Revision uint64 `json:"revision"`
	// CreateRevision is the store's revision at the object's creation.
	CreateRevision uint64 `json:"create_revision"`
}

// Object is an object in the store.
type Object struct {
	// Meta is the metadata.
	Meta Meta `json:"metadata"`
	// Spec is the specification.
	Spec json.RawMessage `json:"specification"`
	// Status is the current state, as reported by the described process; may be empty.
	Status json.RawMessage `json:"status,omitempty"`
}

type event struct {
	Object  Object `json:"object"`
	Deleted bool   `json:"deleted"`
	kind    string
}

type listing struct {
	Items    []Object `json:"items"`
	More     bool     `json:"has_more"`
	Revision uint64   `json:"store_revision"`
}

type events struct {
	Events   []event `json:"events"`
	Revision uint64  `json:"store_revision"`
}

// Store holds objects by kind and name, and the history of their changes.
type Store struct {
	mu       sync.Mutex
	revision uint64
	// compactRevision is the revision up to which the history was dropped.
	compactRevision uint64
	objects         map[string]map[string]Object
	history         []event
	// changed is closed and replaced at each change.
	changed chan struct{}
}

// NewStore returns an empty store.
func NewStore() *Store {
	return &Store{revision: 1, objects: map[string]map[string]Object{}, changed: make(chan struct{})}
}

// Put writes an object and returns the time after the write; status may be nil.
func (s *Store) Put(kind, name string, spec, status interface{}) time.Time {
	s.mu.Lock()
	defer s.mu.Unlock()
	o := Object{Meta: Meta{Name: name}, Spec: encode(spec)}
	if status != nil {
		o.Status = encode(status)
	}
	s.apply(kind, o, false)
	return time.Now()
}

// Remove deletes an object, if it exists, and returns the time after the deletion.
func (s *Store) Remove(kind, name string) time.Time {
	s.mu.Lock()
	defer s.mu.Unlock()
	if o, ok := s.objects[kind][name]; ok {
		s.apply(kind, o, true)
	}
	return time.Now()
}

// Compact drops the history, so that watches from older revisions fail with 410.
func (s *Store) Compact() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.compactRevision = s.revision
	s.history = nil
	s.notifyWatchers()
}

func (s *Store) apply(kind string, o Object, deleted bool) {
	s.revision++
	if s.objects[kind] == nil {
		s.objects[kind] = map[string]Object{}
	}
	o.Meta.Revision, o.Meta.CreateRevision = s.revision, s.revision
	if old, ok := s.objects[kind][o.Meta.Name]; ok {
		o.Meta.CreateRevision = old.Meta.CreateRevision
	}
	if deleted {
		delete(s.objects[kind], o.Meta.Name)
	} else {
		s.objects[kind][o.Meta.Name] = o
	}
	s.history = append(s.history, event{Object: o, Deleted: deleted, kind: kind})
	s.notifyWatchers()
}

func (s *Store) notifyWatchers() {
	close(s.changed)
	s.changed = make(chan struct{})
}

// encode marshals v to JSON; it panics on failure, which only a bug in a test can cause.
func encode(v interface{}) json.RawMessage {
	data, err := json.Marshal(v)
	if err != nil {
		panic(err)
	}
	return data
}

// execute executes a write requested over HTTP and returns the status and object of the response.
// A revision in the object's metadata must be that of the stored object.
func (s *Store) execute(method, kind string, o Object) (int, Object) {
	s.mu.Lock()
	defer s.mu.Unlock()
	old, exists := s.objects[kind][o.Meta.Name]
	switch {
	case method == http.MethodPost && exists:
		return http.StatusConflict, old
	case method != http.MethodPost && !exists:
		return http.StatusNotFound, o
	case o.Meta.Revision != 0 && o.Meta.Revision != old.Meta.Revision:
		return http.StatusConflict, old
	case method == http.MethodPut && sameContent(old, o):
		return http.StatusOK, old
	}
	s.apply(kind, o, method == http.MethodDelete)
	return http.StatusOK, s.objects[kind][o.Meta.Name]
}

func sameContent(a, b Object) bool {
	return string(a.Spec) == string(b.Spec) && string(a.Status) == string(b.Status)
}

func (s *Store) get(kind, name string) (int, Object) {
	s.mu.Lock()
	defer s.mu.Unlock()
	o, ok := s.objects[kind][name]
	if !ok {
		return http.StatusNotFound, o
	}
	return http.StatusOK, o
}

func (s *Store) list(kind string) listing {
	s.mu.Lock()
	defer s.mu.Unlock()
	l := listing{Items: []Object{}, Revision: s.revision}
	for _, o := range s.objects[kind] {
		l.Items = append(l.Items, o)
	}
	sort.Slice(l.Items, func(i, j int) bool { return l.Items[i].Meta.Name < l.Items[j].Meta.Name })
	return l
}

// watch waits for changes after a revision, until the wait time is over or the client disconnects.
func (s *Store) watch(
	r *http.Request, kind string, after uint64, wait time.Duration,
) (int, events) {
	timeout := time.After(wait)
	for {
		compactRevision, changed, e := s.changesSince(kind, after)
		switch {
		case after < compactRevision:
			return http.StatusGone, e
		case len(e.Events) > 0:
			return http.StatusOK, e
		}
		select {
		case <-changed:
		case <-timeout:
			return http.StatusOK, e
		case <-r.Context().Done():
			return http.StatusOK, e
		}
	}
}

// changesSince returns the changes of a kind after a revision, the revision up to which the
// history was dropped, and a channel that the next change closes.
func (s *Store) changesSince(
	kind string, after uint64,
) (compactRevision uint64, changed <-chan struct{}, e events) {
	s.mu.Lock()
	defer s.mu.Unlock()
	e = events{Events: []event{}, Revision: s.revision}
	for _, h := range s.history {
		if h.kind == kind && h.Object.Meta.Revision > after {
			e.Events = append(e.Events, h)
		}
	}
	return s.compactRevision, s.changed, e
}
