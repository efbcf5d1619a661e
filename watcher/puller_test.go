package watcher

import (
	"context"
	"io"
	"math/rand"
	"testing"
	"time"

	"github.com/apex/log"
	"github.com/pkg/errors"

	"github.com/fescuethread/fescuethread/logger"
)

// fetches hands each fetch to the test, which answers it.
type fetches chan fetchCall

type fetchCall struct {
	host   string
	wanted Version
	answer chan Document
}

func (f fetches) Fetch(ctx context.Context, host string, wanted Version) (Document, error) {
	c := fetchCall{host: host, wanted: wanted, answer: make(chan Document)}
	select {
	case f <- c:
	case <-ctx.Done():
		return Document{}, ctx.Err()
	}
	select {
	case d := <-c.answer:
		if d.Version == 0 {
			return d, errors.New("gone")
		}
		return d, nil
	case <-ctx.Done():
		return Document{}, ctx.Err()
	}
}

func startPuller(t *testing.T, s *Shelf) (*Puller, fetches) {
	t.Helper()
	p, f, settle := startUnsettledPuller(t, s)
	<-settle.asked
	return p, f
}

func startUnsettledPuller(t *testing.T, s *Shelf) (*Puller, fetches, pauses) {
	t.Helper()
	f := make(fetches)
	settle := pauses{asked: make(chan time.Duration)}
	p := NewPuller(PullerConfig{
		Shelf:   s,
		Fetcher: f,
		Pauser:  settle,
		Timeout: time.Hour,
		Rand:    rand.New(rand.NewSource(1)),
		Log:     logger.New(io.Discard, logger.FormatJSON, log.InfoLevel),
	})
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan error, 1)
	go func() { done <- p.Run(ctx) }()
	t.Cleanup(func() {
		cancel()
		if err := <-done; err != nil {
			t.Error(err)
		}
	})
	return p, f, settle
}

func at(v uint64) Document { return Document{Name: doc, Version: v} }

func reports(v uint64) []Version { return []Version{{Name: doc, Version: v}} }

func TestPullerTriesOtherPeers(t *testing.T) {
	s, _ := newTestShelf()
	sub := s.Subscribe(doc)
	defer sub.Close()
	p, f := startPuller(t, s)
	p.Hear("a", reports(3))
	first := <-f
	p.Hear("b", reports(3))
	p.Hear("c", reports(2))
	first.answer <- Document{}
	second := <-f
	if first.host != "a" || second.host != "b" {
		t.Fatalf("asked %s, %s", first.host, second.host)
	}
	second.answer <- at(3)
	if d := <-sub.C(); d.Version != 3 || len(s.Behind()) != 0 {
		t.Fatalf("version %d, behind %v", d.Version, s.Behind())
	}
}

func TestPullerNeverTakesLowerVersion(t *testing.T) {
	s, _ := newTestShelf()
	p, f := startPuller(t, s)
	p.Hear("a", reports(3))
	(<-f).answer <- at(2)
	p.Hear("b", reports(2))
	if version(s) != 0 || len(s.Behind()) != 1 {
		t.Fatalf("version %d, behind %v", version(s), s.Behind())
	}
	p.Hear("a", reports(3))
	c := <-f
	if c.wanted.Version != 3 {
		t.Fatalf("asked for %d", c.wanted.Version)
	}
	c.answer <- at(4)
}

func TestPullerCollectsReportsAtStart(t *testing.T) {
	s, _ := newTestShelf()
	sub := s.Subscribe(doc)
	defer sub.Close()
	p, f, settle := startUnsettledPuller(t, s)
	p.Hear("a", reports(5))
	p.Hear("b", reports(7))
	<-settle.asked
	c := <-f
	c.answer <- at(7)
	if d := <-sub.C(); c.host != "b" || d.Version != 7 {
		t.Fatalf("asked %s, version %d", c.host, d.Version)
	}
}

func TestPullerLeavesRefusedVersion(t *testing.T) {
	s, _ := newTestShelf(3)
	sub := s.Subscribe(doc)
	defer sub.Close()
	p, f := startPuller(t, s)
	p.Hear("a", reports(3))
	(<-f).answer <- at(3)
	p.Hear("b", reports(4))
	c := <-f
	p.Hear("a", reports(3))
	c.answer <- at(4)
	if d := <-sub.C(); c.host != "b" || d.Version != 4 {
		t.Fatalf("asked %s, version %d", c.host, d.Version)
	}
}

// peers are the shelves of other hosts.
type peers map[string]*Shelf

func (p peers) Fetch(_ context.Context, host string, wanted Version) (Document, error) {
	d, ok := p[host].Newest(wanted.Name)
	if !ok {
		return d, errors.New("missing")
	}
	return d, nil
}

func TestRestartInOutageTakesNewestFromPeers(t *testing.T) {
	old, _ := newTestShelf()
	mustOffer(t, old, 4, true)
	ahead, _ := newTestShelf()
	mustOffer(t, ahead, 6, true)
	s, _ := newTestShelf()
	sub := s.Subscribe(doc)
	defer sub.Close()
	p, _, settle := startUnsettledPuller(t, s)
	p.cfg.Fetcher = peers{"old": old, "ahead": ahead}
	p.Hear("old", old.Versions())
	p.Hear("ahead", ahead.Versions())
	<-settle.asked
	if d := <-sub.C(); d.Version != 6 || len(s.Behind()) != 0 {
		t.Fatalf("started at %d, behind %v", d.Version, s.Behind())
	}
	mustOffer(t, s, 5, false)
}
