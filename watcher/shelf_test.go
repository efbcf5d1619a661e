package watcher

import (
	"io"
	"testing"

	"github.com/apex/log"
	"github.com/pkg/errors"
	"pgregory.net/rapid"

	"github.com/fescuethread/fescuethread/logger"
)

const doc = "config/inventory"

// listChecker refuses the versions it lists.
type listChecker struct {
	bad map[uint64]bool
}

func (c *listChecker) Check(d Document) error {
	if c.bad[d.Version] {
		return errors.New("bad")
	}
	return nil
}

func newTestShelf(bad ...uint64) (*Shelf, *listChecker) {
	c := &listChecker{bad: make(map[uint64]bool)}
	for _, v := range bad {
		c.bad[v] = true
	}
	return NewShelf(c, logger.New(io.Discard, logger.FormatJSON, log.InfoLevel)), c
}

func version(s *Shelf) uint64 {
	d, _ := s.Newest(doc)
	return d.Version
}

// TestShelfMachine checks the shelf against a model while versions are offered and heard in any
// order and the verdicts of the check change.
func TestShelfMachine(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		s, c := newTestShelf()
		sub := s.Subscribe(doc)
		defer sub.Close()
		versions := rapid.Uint64Range(1, 12)
		var inForce, known, seen uint64
		refused := make(map[uint64]bool)
		t.Repeat(map[string]func(*rapid.T){
			"offer": func(t *rapid.T) {
				v := versions.Draw(t, "version")
				known = max(known, v)
				before := s.Behind()
				accepted, err := s.Offer(Document{Name: doc, Version: v})
				if err != nil {
					refused[v] = true
				}
				now := version(s)
				if accepted && (v <= inForce || err != nil || c.bad[v]) || !accepted && now != inForce {
					t.Fatalf("offer %d accepted %t, %v; in force %d", v, accepted, err, now)
				}
				if accepted && now != v && (now < v || !refused[now] || c.bad[now]) {
					t.Fatalf("offer %d put %d in force", v, now)
				}
				if accepted && inForce == 0 && len(before) > 0 && v < before[0].Version {
					t.Fatalf("started at %d below the known %d", v, before[0].Version)
				}
				if inForce > 0 && v > inForce && !accepted && err == nil && !s.slot(doc).refusals[v] {
					t.Fatalf("version %d was passed over", v)
				}
			},
			"hear": func(t *rapid.T) {
				v := versions.Draw(t, "version")
				known = max(known, v)
				s.Hear(Version{Name: doc, Version: v})
			},
			"change verdict": func(t *rapid.T) {
				v := versions.Draw(t, "version")
				c.bad[v] = !c.bad[v]
			},
			"change other document": func(t *rapid.T) {
				v := s.slot("config/keys").inForce.Version
				_, _ = s.Offer(Document{Name: "config/keys", Version: v + 1})
			},
			"take": func(t *rapid.T) {
				select {
				case d := <-sub.C():
					if d.Version <= seen || d.Version != version(s) {
						t.Fatalf("got %d after %d; in force %d", d.Version, seen, version(s))
					}
					seen = d.Version
				default:
					if seen != version(s) {
						t.Fatalf("version %d was not sent after %d", version(s), seen)
					}
				}
			},
			"": func(t *rapid.T) {
				if version(s) < inForce {
					t.Fatalf("went back from %d to %d", inForce, version(s))
				}
				inForce = version(s)
				behind := s.Behind()
				reached := inForce >= known || s.slot(doc).refusals[known]
				if reached != (len(behind) == 0) {
					t.Fatalf("behind %v, in force %d, known %d", behind, inForce, known)
				}
			},
		})
	})
}

func TestShelfKeepsOlderVersionOnRefusal(t *testing.T) {
	s, c := newTestShelf(2)
	mustOffer(t, s, 1, true)
	var e *Error
	if _, err := s.Offer(Document{Name: doc, Version: 2}); !errors.As(err, &e) || e.Kind != KindRefused {
		t.Fatal(err)
	}
	mustOffer(t, s, 2, false)
	if s.Wants(Version{Name: doc, Version: 2}) || version(s) != 1 {
		t.Fatalf("a refused version is wanted again, or in force: %d", version(s))
	}
	delete(c.bad, 2)
	if _, err := s.Offer(Document{Name: "config/keys", Version: 1}); err != nil || version(s) != 2 {
		t.Fatalf("not checked again after another document changed: %d, %v", version(s), err)
	}
}

func TestShelfStartsAtKnownFloor(t *testing.T) {
	s, _ := newTestShelf()
	s.Hear(Version{Name: doc, Version: 7})
	mustOffer(t, s, 5, false)
	if b := s.Behind(); len(b) != 1 || b[0].Version != 7 {
		t.Fatalf("behind %v", b)
	}
	mustOffer(t, s, 7, true)
}

func mustOffer(t *testing.T, s *Shelf, v uint64, want bool) {
	t.Helper()
	if got, err := s.Offer(Document{Name: doc, Version: v}); err != nil || got != want {
		t.Fatalf("version %d: accepted %t, %v", v, got, err)
	}
}
