package limiter

import (
	"math"

	"github.com/fescuethread/fescuethread/timer"
)

const never = timer.Instant(math.MaxInt64)

// party is one process that a loan was made to or by.
type party struct {
	host        string
	incarnation uint64
}

// lending is a loan as its lender records it.
type lending struct {
	share Share
	until timer.Instant
}

// holding is a loan as its borrower records it.
type holding struct {
	share Share
	until timer.Instant
	// refund are tokens that left with a shrunk burst and go back with the next request.
	refund int64
}

// account is this host's part of one account.
type account struct {
	name   string
	limits Account
	// listed tells that the newest plan has the account.
	listed bool
	// leaving tells that the host needs nothing of it any more.
	leaving bool
	seats   []string
	home    Share
	lent    map[party]lending
	held    map[party]holding
	claims  map[string]claim
	meter   meter
	bucket  bucket
	// lapse is when the first holding ends; due is when the first lending ends.
	lapse timer.Instant
	due   timer.Instant
}

func newAccount(name string, now timer.Instant, cfg Config) *account {
	return &account{
		name:   name,
		lent:   make(map[party]lending),
		held:   make(map[party]holding),
		claims: make(map[string]claim),
		meter:  meter{at: now},
		bucket: bucket{at: now, driftPPM: cfg.DriftPPM},
		lapse:  never,
		due:    never,
	}
}

// own is what the host may spend: what is left of the home share and what it holds of others.
func (a *account) own() Share {
	return a.home.Minus(a.lentOut()).Plus(a.heldIn())
}

func (a *account) heldIn() Share {
	var s Share
	for _, h := range a.held {
		s = s.Plus(h.share)
	}
	return s
}

func (a *account) lentOut() Share {
	var s Share
	for _, l := range a.lent {
		s = s.Plus(l.share)
	}
	return s
}

// settle accrues tokens, drops holdings and takes lendings back, each at its own instant.
func (a *account) settle(now timer.Instant) {
	for !now.Before(a.lapse) {
		a.bucket.advance(a.lapse)
		a.dropHoldings(a.lapse)
	}
	a.bucket.advance(now)
	if !now.Before(a.due) {
		a.takeBack(now)
	}
}

func (a *account) dropHoldings(now timer.Instant) {
	for p, h := range a.held {
		if !now.Before(h.until) {
			delete(a.held, p)
		}
	}
	a.resize()
}

func (a *account) takeBack(now timer.Instant) {
	for p, l := range a.lent {
		if !now.Before(l.until) {
			delete(a.lent, p)
		}
	}
	a.resize()
}

// resize fits the bucket and the next instants to the loans.
func (a *account) resize() {
	a.lapse = never
	for _, h := range a.held {
		a.lapse = min(a.lapse, h.until)
	}
	a.due = never
	for _, l := range a.lent {
		a.due = min(a.due, l.until)
	}
	a.bucket.resize(a.own())
}

// rehome changes the home share.
func (a *account) rehome(now timer.Instant, home Share) {
	a.settle(now)
	if a.home == home {
		return
	}
	a.home = home
	a.resize()
}
