package assembler

import (
	"sync"

	"github.com/fescuethread/fescuethread/timer"
)

const (
	// retryPart is the number of first tries that earn one retry.
	retryPart = 10
	// retryFloor is the number of retries a second that are always allowed.
	retryFloor = 10
	// retryLimit bounds the retries that may be saved up.
	retryLimit = 100
)

// budget bounds retries to a part of first tries.
type budget struct {
	mu    sync.Mutex
	saved float64
	at    timer.Instant
}

func newBudget() *budget {
	return &budget{saved: retryFloor}
}

// First counts a first try.
func (b *budget) First() {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.saved = min(b.saved+1.0/retryPart, retryLimit)
}

// Retry reports whether one more try may be made now.
func (b *budget) Retry() bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.saved < 1 {
		return false
	}
	b.saved--
	return true
}

// refill lets some retries through even when there are few first tries.
func (b *budget) refill(now timer.Instant) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.at != 0 {
		b.saved = min(b.saved+retryFloor*now.Sub(b.at).Seconds(), retryLimit)
	}
	b.at = now
}
