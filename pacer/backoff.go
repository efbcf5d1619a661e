package pacer

import (
	"context"
	"math/rand"
	"sync"
	"time"
)

// Pauser waits for a duration.
type Pauser interface {
	// Pause returns nil after d, or the context's error once ctx ends.
	Pause(ctx context.Context, d time.Duration) error
}

// Clock is the Pauser on the process's clock.
type Clock struct{}

// Pause waits for d or until ctx ends.
func (Clock) Pause(ctx context.Context, d time.Duration) error {
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-ctx.Done():
		return ctx.Err()
	case <-t.C:
		return nil
	}
}

// Backoff yields growing, jittered delays; it is safe for concurrent use.
type Backoff struct {
	first   time.Duration
	longest time.Duration
	pauser  Pauser

	mu      sync.Mutex
	rand    *rand.Rand
	ceiling time.Duration
}

// New returns a backoff whose delays lie below a ceiling that doubles from first to longest.
func New(first, longest time.Duration, r *rand.Rand, p Pauser) *Backoff {
	return &Backoff{first: first, longest: longest, rand: r, pauser: p, ceiling: first}
}

// Delay returns the next delay, uniform between zero and the ceiling, and doubles the ceiling.
func (b *Backoff) Delay() time.Duration {
	b.mu.Lock()
	defer b.mu.Unlock()
	d := time.Duration(b.rand.Int63n(int64(b.ceiling) + 1))
	b.ceiling = min(2*b.ceiling, b.longest)
	return d
}

// Reset puts the ceiling back to its first value.
func (b *Backoff) Reset() {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.ceiling = b.first
}

// Wait pauses for the next delay, or returns the context's error once ctx ends.
func (b *Backoff) Wait(ctx context.Context) error {
	return b.pauser.Pause(ctx, b.Delay())
}
