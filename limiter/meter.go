package limiter

import (
	"math"
	"time"

	"github.com/fescuethread/fescuethread/timer"
)

const (
	// smoothing is the time constant of the demand's moving average.
	smoothing = 200 * time.Millisecond
	// memory is the time constant of the average that bursts leave a trace in.
	memory = 30 * time.Second
	// headroom is how many times the demand a host wants as its rate.
	headroom = 1.25
	// patience is how long a host goes on borrowing after it last needed to.
	patience = 30 * time.Second
)

// meter follows the demand for one account at this host.
type meter struct {
	at      timer.Instant
	offered int64
	short   bool
	// rate is in thousandths of a unit a second.
	rate float64
	// average is the same over a longer time.
	average float64
	// stated is the rate that lenders were last told.
	stated float64
	// wanted is until when the host borrows.
	wanted timer.Instant
	// retry is when the next urgent request may go out, backoff the pause after it.
	retry   timer.Instant
	backoff time.Duration
	urgent  bool
}

// offer counts demand, and whether the bucket ran low by it.
func (m *meter) offer(tokens int64, low bool) {
	m.offered += tokens
	m.short = m.short || low
}

// observe closes the running interval; home is what the host has without loans from others.
func (m *meter) observe(now timer.Instant, home Share) {
	elapsed := now.Sub(m.at)
	if elapsed <= 0 {
		return
	}
	m.smooth(elapsed)
	hot := m.short || m.rate*headroom > float64(home.Rate)
	if hot {
		m.wanted = now.Add(patience)
	}
	m.urgent = m.short && !now.Before(m.retry)
	m.short = false
	m.at = now
	m.offered = 0
}

func (m *meter) smooth(elapsed time.Duration) {
	sample := float64(m.offered) / elapsed.Seconds()
	m.rate += weight(elapsed, smoothing) * (sample - m.rate)
	m.average += weight(elapsed, memory) * (sample - m.average)
}

func weight(elapsed, constant time.Duration) float64 {
	return 1 - math.Exp(-elapsed.Seconds()/constant.Seconds())
}

// fell reports whether the demand is far under what lenders were told.
func (m *meter) fell() bool {
	return 2*m.rate < m.stated
}

// asked notes an urgent request; each one that brings nothing doubles the pause up to limit.
func (m *meter) asked(now timer.Instant, tick, limit time.Duration) {
	m.backoff = min(max(2*m.backoff, tick), limit)
	m.retry = now.Add(m.backoff)
	m.urgent = false
}

// grew notes that a request brought more share.
func (m *meter) grew() {
	m.backoff = 0
	m.retry = 0
}

// borrowing reports whether the host wants loans.
func (m *meter) borrowing(now timer.Instant) bool {
	return now.Before(m.wanted)
}

// state returns the demand and its longer average in thousandths of a unit a second, at least one.
func (m *meter) state() (demand, average uint64) {
	m.stated = m.rate
	return uint64(max(1, m.rate)), uint64(max(1, m.average))
}
