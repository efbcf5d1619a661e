package limiter

import (
	"math/bits"
	"time"

	"github.com/fescuethread/fescuethread/timer"
)

const (
	second  = uint64(time.Second)
	million = 1_000_000
)

// bucket is a token bucket that counts thousandths of a unit exactly.
type bucket struct {
	share  Share
	tokens int64
	// carry is the part of a token that has accrued, in thousandths times nanoseconds a second.
	carry    uint64
	at       timer.Instant
	driftPPM int64
}

// advance accrues tokens up to now.
func (b *bucket) advance(now timer.Instant) {
	if !b.at.Before(now) {
		return
	}
	elapsed := b.trusted(now.Sub(b.at))
	b.at = now
	hi, lo := bits.Mul64(uint64(b.share.Rate), elapsed)
	lo, over := bits.Add64(lo, b.carry, 0)
	hi += over
	if hi >= second {
		b.fill()
		return
	}
	accrued, carry := bits.Div64(hi, lo, second)
	if accrued >= uint64(b.share.Burst-b.tokens) {
		b.fill()
		return
	}
	b.tokens += int64(accrued)
	b.carry = carry
}

// trusted is the least time that has passed if the clock runs fast by the worst drift.
func (b *bucket) trusted(d time.Duration) uint64 {
	whole, rest := int64(d)/million, int64(d)%million
	drift := whole*b.driftPPM + (rest*b.driftPPM+million-1)/million
	return uint64(int64(d) - drift)
}

func (b *bucket) fill() {
	b.tokens = b.share.Burst
	b.carry = 0
}

// resize changes the share and drops the tokens that no longer fit.
func (b *bucket) resize(s Share) {
	b.share = s
	if b.tokens >= s.Burst {
		b.fill()
	}
}

// put adds tokens as far as they fit.
func (b *bucket) put(tokens int64) {
	if tokens >= b.share.Burst-b.tokens {
		b.fill()
		return
	}
	b.tokens += tokens
}

// take removes tokens and reports whether there were enough.
func (b *bucket) take(tokens int64) bool {
	if tokens > b.tokens {
		return false
	}
	b.tokens -= tokens
	return true
}

// portion is the part of the tokens that goes with a part of the burst.
func (b *bucket) portion(burst int64) int64 {
	if b.share.Burst <= 0 || burst <= 0 {
		return 0
	}
	hi, lo := bits.Mul64(uint64(b.tokens), uint64(min(burst, b.share.Burst)))
	tokens, _ := bits.Div64(hi, lo, uint64(b.share.Burst))
	return int64(tokens)
}

// wait is how long it takes until the bucket holds the tokens; ok is false if it never will.
func (b *bucket) wait(tokens int64) (d time.Duration, ok bool) {
	if tokens <= b.tokens {
		return 0, true
	}
	if tokens > b.share.Burst || b.share.Rate == 0 {
		return 0, false
	}
	seconds := float64(tokens-b.tokens) / float64(b.share.Rate)
	return time.Duration(min(seconds*float64(time.Second), float64(time.Hour))), true
}
