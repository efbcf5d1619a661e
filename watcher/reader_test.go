package watcher

import (
	"context"
	"flag"
	"io"
	"math/rand"
	"testing"
	"time"

	"github.com/apex/log"
	"go.uber.org/goleak"

	"github.com/fescuethread/fescuethread/logger"
	"github.com/fescuethread/fescuethread/pacer"
	"github.com/fescuethread/fescuethread/standin/platformer"
	"github.com/fescuethread/fescuethread/storer"
	"github.com/fescuethread/fescuethread/timer"
)

func TestMain(m *testing.M) {
	if err := flag.Set("rapid.seed", "1"); err != nil {
		panic(err)
	}
	goleak.VerifyTestMain(m)
}

// pauses hands each pause to the test and goes on when the test says so.
type pauses struct {
	asked chan time.Duration
}

func (p pauses) Pause(ctx context.Context, d time.Duration) error {
	select {
	case <-ctx.Done():
		return ctx.Err()
	case p.asked <- d:
		return nil
	}
}

type election chan bool

func (e election) Elected() bool { return <-e }

type readerTest struct {
	platform *platformer.Server
	client   *storer.Client
	reader   *Reader
	shelf    *Shelf
	pauses   pauses
	elect    election
	clock    timer.Instant
	stop     func()
}

func newReaderTest(t *testing.T, bad ...uint64) *readerTest {
	t.Helper()
	p := platformer.New(platformer.Config{})
	s, _ := newTestShelf(bad...)
	r := &readerTest{
		platform: p,
		client:   storer.New("http://platform", p, time.Hour),
		shelf:    s,
		pauses:   pauses{asked: make(chan time.Duration)},
		elect:    make(election),
	}
	r.reader = NewReader(ReaderConfig{
		Platform: r.client,
		Elector:  r.elect,
		Shelf:    s,
		Backoff:  pacer.New(time.Second, 8*time.Second, rand.New(rand.NewSource(1)), r.pauses),
		Pauser:   r.pauses,
		Now:      func() timer.Instant { r.clock++; return r.clock },
		Log:      logger.New(io.Discard, logger.FormatJSON, log.InfoLevel),
	})
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan error, 1)
	go func() { done <- r.reader.Run(ctx) }()
	r.stop = func() {
		cancel()
		close(r.elect)
		if err := <-done; err != nil {
			t.Error(err)
		}
	}
	return r
}

func (r *readerTest) put(t *testing.T, expected uint64) {
	t.Helper()
	if _, err := r.client.Put(context.Background(), doc, expected, "c", nil); err != nil {
		t.Fatal(err)
	}
}

func TestReaderWatchesOnlyWhileElected(t *testing.T) {
	r := newReaderTest(t)
	r.put(t, 0)
	r.elect <- false
	if d := <-r.pauses.asked; d != electionPeriod {
		t.Fatalf("paused %s", d)
	}
	if _, ok := r.reader.Contact(); ok || version(r.shelf) != 0 || r.platform.Calls().Watches != 0 {
		t.Fatal("read without being elected")
	}
	r.elect <- true
	r.elect <- false
	if at, ok := r.reader.Contact(); !ok || at != 1 || version(r.shelf) != 1 {
		t.Fatalf("contact %d %t, version %d", at, ok, version(r.shelf))
	}
	<-r.pauses.asked
	r.stop()
}

func TestReaderKeepsContactOfEmptyWatch(t *testing.T) {
	r := newReaderTest(t)
	r.elect <- true
	r.elect <- true
	r.elect <- true
	if at, ok := r.reader.Contact(); !ok || at < 2 {
		t.Fatalf("contact %d %t", at, ok)
	}
	r.stop()
}

func TestReaderBacksOffInOutage(t *testing.T) {
	r := newReaderTest(t)
	r.platform.SetFaults(platformer.Faults{Down: true})
	for _, ceiling := range []time.Duration{1, 2, 4, 8, 8} {
		r.elect <- true
		if d := <-r.pauses.asked; d > ceiling*time.Second {
			t.Fatalf("paused %s above the ceiling of %ds", d, ceiling)
		}
	}
	if _, ok := r.reader.Contact(); ok {
		t.Fatal("contact without an answer")
	}
	r.platform.SetFaults(platformer.Faults{})
	r.put(t, 0)
	r.elect <- true
	r.elect <- true
	if _, ok := r.reader.Contact(); !ok || version(r.shelf) != 1 {
		t.Fatalf("version %d after the outage", version(r.shelf))
	}
	r.stop()
}

func TestReaderDoesNotFetchRefusedVersionAgain(t *testing.T) {
	r := newReaderTest(t, 1)
	r.put(t, 0)
	for range 4 {
		r.elect <- true
	}
	if version(r.shelf) != 0 || len(r.shelf.Behind()) != 0 {
		t.Fatalf("version %d, behind %v", version(r.shelf), r.shelf.Behind())
	}
	if got := r.reader.Offered(doc); got != 1 {
		t.Fatalf("the refused version was offered, got %d", got)
	}
	l, err := r.client.Watch(context.Background(), DocumentPrefix, 1, 0)
	if err != nil || len(l.Objects) != 0 {
		t.Fatalf("would fetch %+v again, %v", l, err)
	}
	r.stop()
}

// hastyPlatform answers every watch at once.
type hastyPlatform struct{}

func (hastyPlatform) Watch(context.Context, string, uint64, time.Duration) (storer.Listing, error) {
	return storer.Listing{}, nil
}

func TestReaderPacesHastyPlatform(t *testing.T) {
	p := pauses{asked: make(chan time.Duration, 1)}
	r := NewReader(ReaderConfig{
		Platform: hastyPlatform{},
		Wait:     time.Hour,
		Backoff:  pacer.New(time.Second, time.Second, rand.New(rand.NewSource(1)), p),
		Now:      func() timer.Instant { return 0 },
	})
	r.elected = true
	if err := r.step(context.Background()); err != nil || len(p.asked) != 1 {
		t.Fatalf("%v after %d pauses", err, len(p.asked))
	}
}
