package limiter

import (
	"sync"
	"sync/atomic"
)

// Limiter bounds the sum of the bytes that its accounts hold; it is safe for concurrent use.
type Limiter struct {
	maxBytes  int64
	evictions atomic.Int64

	mu sync.Mutex
	// used is the sum of the bytes of holders, and peak its maximum.
	used, peak int64
	// holders are the accounts that hold bytes.
	holders map[*Account]struct{}
}

// New returns a limiter for maxBytes bytes; 0 means no limit.
func New(maxBytes int64) *Limiter {
	return &Limiter{maxBytes: maxBytes, holders: map[*Account]struct{}{}}
}

// MaxBytes returns the limit, in bytes; 0 means none.
func (l *Limiter) MaxBytes() int64 {
	return l.maxBytes
}

// UsedBytes returns the bytes that all accounts hold.
func (l *Limiter) UsedBytes() int64 {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.used
}

// PeakBytes returns the maximum of UsedBytes so far.
func (l *Limiter) PeakBytes() int64 {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.peak
}

// Evictions returns the number of accounts that have lost their bytes to the limit.
func (l *Limiter) Evictions() int64 {
	return l.evictions.Load()
}

// Open returns an empty account. If another account exceeds the limit while this one is the
// largest, onEvict is called once in a goroutine of its own; it must free the memory.
func (l *Limiter) Open(onEvict func()) *Account {
	return &Account{limiter: l, onEvict: onEvict}
}

// makeRoom evicts the largest accounts until the limit is kept or nothing is left to evict; taker
// isn't told. The caller holds mu.
func (l *Limiter) makeRoom(taker *Account) {
	for l.maxBytes > 0 && l.used > l.maxBytes {
		largest := l.largest()
		if largest == nil {
			return
		}
		l.remove(largest)
		largest.closed = true
		l.evictions.Add(1)
		if largest != taker && largest.onEvict != nil {
			go largest.onEvict()
		}
	}
}

// largest returns the largest account that may be evicted, or nil.
func (l *Limiter) largest() *Account {
	var largest *Account
	for a := range l.holders {
		if !a.pinned && (largest == nil || a.bytes > largest.bytes) {
			largest = a
		}
	}
	return largest
}

// remove takes the account's bytes out of the sum.
func (l *Limiter) remove(a *Account) {
	l.used -= a.bytes
	a.bytes = 0
	delete(l.holders, a)
}

// Account holds the bytes of one message.
type Account struct {
	limiter *Limiter
	onEvict func()

	// The limiter's mutex guards the fields below.
	bytes  int64
	pinned bool
	// closed is set when the account was closed or evicted.
	closed bool
}

// Take adds n bytes. It returns false if the account was evicted or closed, and if there is no
// room because all other accounts are pinned; nothing was added then.
func (a *Account) Take(n int) bool {
	l := a.limiter
	l.mu.Lock()
	defer l.mu.Unlock()
	if a.closed {
		return false
	}
	a.bytes += int64(n)
	l.used += int64(n)
	l.holders[a] = struct{}{}
	l.makeRoom(a)
	if a.closed {
		return false
	}
	if l.maxBytes > 0 && l.used > l.maxBytes {
		a.release(int64(n))
		return false
	}
	l.peak = max(l.peak, l.used)
	return true
}

// Release returns n of the account's bytes.
func (a *Account) Release(n int) {
	a.limiter.mu.Lock()
	defer a.limiter.mu.Unlock()
	a.release(int64(n))
}

// Pin protects the account from eviction. It returns false if the account was evicted or closed.
func (a *Account) Pin() bool {
	a.limiter.mu.Lock()
	defer a.limiter.mu.Unlock()
	a.pinned = true
	return !a.closed
}

// Close returns all bytes of the account; later calls of Take fail.
func (a *Account) Close() {
	a.limiter.mu.Lock()
	defer a.limiter.mu.Unlock()
	a.limiter.remove(a)
	a.closed = true
}

// release returns n bytes, at most those that the account holds. The caller holds the mutex.
func (a *Account) release(n int64) {
	n = min(n, a.bytes)
	a.bytes -= n
	a.limiter.used -= n
	if a.bytes == 0 {
		delete(a.limiter.holders, a)
	}
}
