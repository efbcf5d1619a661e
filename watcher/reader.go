package watcher

import (
	"context"
	"sync"
	"sync/atomic"
	"time"

	"github.com/fescuethread/fescuethread/logger"
	"github.com/fescuethread/fescuethread/pacer"
	"github.com/fescuethread/fescuethread/storer"
	"github.com/fescuethread/fescuethread/timer"
)

const (
	// DocumentPrefix is the prefix of the documents' names.
	DocumentPrefix = "config/"

	electionPeriod = time.Second
)

// Platform is the part of the platform's API that the reader calls.
type Platform interface {
	Watch(ctx context.Context, prefix string, after uint64, wait time.Duration) (
		storer.Listing, error)
}

// Elector tells whether this host is one of the readers of its availability zone.
type Elector interface {
	Elected() bool
}

// ReaderConfig holds a reader's parts.
type ReaderConfig struct {
	// Platform is watched for documents.
	Platform Platform
	// Elector decides whether this host watches.
	Elector Elector
	// Shelf is offered the documents.
	Shelf *Shelf
	// Wait is how long a watch waits; the age of the contact stays below about twice of it.
	Wait time.Duration
	// Backoff spaces the retries of failed watches.
	Backoff *pacer.Backoff
	// Pauser waits for the next look at the election.
	Pauser pacer.Pauser
	// Now reads the clock that Contact is told on.
	Now func() timer.Instant
	// Log receives the reader's events.
	Log *logger.Logger
}

// Reader takes documents from the platform while this host is elected to.
type Reader struct {
	cfg      ReaderConfig
	revision uint64
	elected  bool
	failing  bool
	// contact is the instant of the newest contact plus one; 0 stands for none.
	contact atomic.Int64

	mu      sync.Mutex
	offered map[string]uint64
}

// NewReader returns a reader that has had no contact with the platform.
func NewReader(cfg ReaderConfig) *Reader {
	return &Reader{cfg: cfg, offered: make(map[string]uint64)}
}

// Offered returns the newest version of a document that the platform gave to this process, in
// force or not; 0 is none.
func (r *Reader) Offered(name string) uint64 {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.offered[name]
}

// Contact returns the instant at which the newest answered watch was sent: the shelf was offered
// every document that the platform had accepted by then.
func (r *Reader) Contact() (timer.Instant, bool) {
	c := r.contact.Load()
	return timer.Instant(c - 1), c > 0
}

// Run watches the platform until ctx ends.
func (r *Reader) Run(ctx context.Context) error {
	for ctx.Err() == nil {
		r.elect()
		if err := r.step(ctx); err != nil {
			return nil
		}
	}
	return nil
}

func (r *Reader) elect() {
	elected := r.cfg.Elector.Elected()
	if elected == r.elected {
		return
	}
	r.elected = elected
	if elected {
		r.cfg.Log.Log(eventElected)
	} else {
		r.cfg.Log.Log(eventReleased)
	}
}

// step makes one watch, or waits for the next; it returns an error only once ctx has ended.
func (r *Reader) step(ctx context.Context) error {
	if !r.elected {
		return r.cfg.Pauser.Pause(ctx, electionPeriod)
	}
	sent := r.cfg.Now()
	l, err := r.cfg.Platform.Watch(ctx, DocumentPrefix, r.revision, r.cfg.Wait)
	if err != nil {
		r.fail(ctx, err)
		return r.cfg.Backoff.Wait(ctx)
	}
	r.succeed()
	r.take(l)
	r.contact.Store(int64(sent) + 1)
	if len(l.Objects) == 0 && r.cfg.Now().Sub(sent) < r.cfg.Wait/2 {
		// A platform that answers without waiting must not be asked in a tight loop.
		return r.cfg.Backoff.Wait(ctx)
	}
	return nil
}

func (r *Reader) fail(ctx context.Context, err error) {
	if !r.failing && ctx.Err() == nil {
		r.cfg.Log.Log(eventCutOff, logger.F("cause", err.Error()))
	}
	r.failing = true
}

func (r *Reader) succeed() {
	if r.failing {
		r.cfg.Log.Log(eventReached)
	}
	r.failing = false
	r.cfg.Backoff.Reset()
}

func (r *Reader) take(l storer.Listing) {
	for _, o := range l.Objects {
		// The shelf logs a refusal; the revision moves on, so that it isn't fetched again.
		_, _ = r.cfg.Shelf.Offer(Document(o))
		r.note(o.Name, o.Version)
	}
	r.revision = l.Revision
}

func (r *Reader) note(name string, version uint64) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.offered[name] = max(r.offered[name], version)
}
