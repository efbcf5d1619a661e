package pacer

import (
	"context"
	"math/rand"
	"sync"
	"time"
)

// Sleeper waits for a duration.
type Sleeper interface {
	// Sleep returns nil after d, or the context's error once ctx ends.
	Sleep(ctx context.Context, d time.Duration) error
}

// Clock is the Sleeper that waits in real time.
type Clock struct{}

// Sleep waits for d or until ctx ends.
func (Clock) Sleep(ctx context.Context, d time.Duration) error {
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-ctx.Done():
		return ctx.Err()
	case <-t.C:
		return nil
	}
}

// Backoff yields exponentially growing, jittered delays; it is safe for concurrent use.
type Backoff struct {
	initialDelay time.Duration
	maxDelay     time.Duration
	sleeper      Sleeper

	mu      sync.Mutex
	rand    *rand.Rand
	ceiling time.Duration
}

// New returns a backoff. Its delays are random between zero and a ceiling that doubles with each
// delay from initialDelay up to maxDelay.
func New(initialDelay, maxDelay time.Duration, r *rand.Rand, s Sleeper) *Backoff {
	return &Backoff{
		initialDelay: initialDelay, maxDelay: maxDelay, rand: r, sleeper: s, ceiling: initialDelay,
	}
}

// Delay returns the next delay, uniformly distributed between zero and the ceiling, and doubles
// the ceiling.
func (b *Backoff) Delay() time.Duration {
	b.mu.Lock()
	defer b.mu.Unlock()
	d := time.Duration(b.rand.Int63n(int64(b.ceiling) + 1))
	b.ceiling = min(2*b.ceiling, b.maxDelay)
	return d
}

// Reset sets the ceiling back to the initial delay.
func (b *Backoff) Reset() {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.ceiling = b.initialDelay
}

// Wait waits for the next delay, or returns the context's error once ctx ends.
func (b *Backoff) Wait(ctx context.Context) error {
	return b.sleeper.Sleep(ctx, b.Delay())
}
