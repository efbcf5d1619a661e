package limiter

import (
	"math"
	"time"

	"github.com/fescuethread/fescuethread/messenger"
	"github.com/fescuethread/fescuethread/timer"
)

// reserve is the part of an idle home share that its host keeps for the first requests to come.
const reserve = 0.1

// crumb is the part of a home share under which a spare part is not worth lending.
const crumb = 0.125

// claim is a borrower's demand for an account.
type claim struct {
	demand  float64
	average float64
	until   timer.Instant
}

// bid is what a borrower states about one account.
type bid struct {
	held   Share
	tokens int64
	claim  claim
}

func bidOf(loan *messenger.Loan) bid {
	return bid{
		held:   Share{Rate: clamp(loan.GetRate()), Burst: clamp(loan.GetBurst())},
		tokens: clamp(loan.GetTokens()),
		claim: claim{
			demand:  float64(loan.GetDemand()),
			average: float64(loan.GetAverage()),
		},
	}
}

func clamp(n uint64) int64 {
	return int64(min(n, uint64(maxUnits)*scale))
}

// lend takes a bid and returns the loan that the borrower holds from now on.
func (a *account) lend(now timer.Instant, to party, b bid, cfg Config) *messenger.Loan {
	a.settle(now)
	held := a.release(to, b)
	b.claim.until = now.Add(2 * cfg.Renewal)
	a.claim(now, to.host, b.claim)
	grant := a.grant(to.host, held)
	moved := held.Max(grant).Minus(held)
	tokens := a.bucket.portion(moved.Burst)
	a.bucket.take(tokens)
	a.debit(now, to, held, grant, cfg.hold())
	return &messenger.Loan{
		Account: a.name,
		Rate:    uint64(grant.Rate),
		Burst:   uint64(grant.Burst),
		Tokens:  uint64(tokens),
	}
}

// release gives up the debit of what the borrower no longer holds and takes its tokens back.
func (a *account) release(to party, b bid) Share {
	l, ok := a.lent[to]
	if !ok {
		return Share{}
	}
	held := b.held.Min(l.share)
	freed := l.share.Minus(held)
	l.share = held
	a.lent[to] = l
	a.resize()
	a.bucket.put(min(b.tokens, freed.Burst))
	return held
}

// debit records the loan before the reply leaves; it covers what the borrower holds and may hold.
func (a *account) debit(now timer.Instant, to party, held, grant Share, hold time.Duration) {
	l := a.lent[to]
	l.share = held.Max(grant)
	if !grant.IsZero() {
		l.until = max(l.until, now.Add(hold))
	}
	a.lent[to] = l
	if l.share.IsZero() {
		delete(a.lent, to)
	}
	a.resize()
}

func (a *account) claim(now timer.Instant, host string, c claim) {
	for h, c := range a.claims {
		if !now.Before(c.until) {
			delete(a.claims, h)
		}
	}
	delete(a.claims, host)
	if c.demand > 0 {
		a.claims[host] = c
	}
}

// grant is the part of the home share that a claim comes to.
func (a *account) grant(host string, held Share) Share {
	c, ok := a.claims[host]
	if !ok {
		return Share{}
	}
	kept := a.kept()
	spare := a.home.Minus(kept)
	if !a.spares() {
		return Share{}
	}
	most := held.Plus(a.home.Minus(a.lentOut()).Minus(kept))
	grant := spare.fraction(a.portion(c, spare)).Min(most).whole()
	if grant.IsZero() && a.strongest() == host {
		return spare.Min(most).whole()
	}
	return grant
}

// strongest is the claim that gets the whole spare part when its portions are less than a unit.
func (a *account) strongest() string {
	best := ""
	for host, c := range a.claims {
		top := a.claims[best]
		if best == "" || c.demand > top.demand || c.demand == top.demand && host < best {
			best = host
		}
	}
	return best
}

// spares reports whether a part of the home share is worth lending, be it lent already or not.
func (a *account) spares() bool {
	spare := a.home.Minus(a.kept())
	return float64(spare.Rate) > crumb*float64(a.home.Rate)
}

// portion splits the spare part by demand if it is short; otherwise each claim gets what it needs,
// and what is left is split by the longer average, so that it waits where bursts come.
func (a *account) portion(c claim, spare Share) float64 {
	var demand float64
	average := a.meter.average
	for _, other := range a.claims {
		demand += other.demand
		average += other.average
	}
	mine := float64(a.home.Rate) / float64(a.limits.Rate*scale)
	left := float64(spare.Rate) - demand*headroom*mine
	if left <= 0 {
		return c.demand / demand
	}
	return (c.demand*headroom*mine + left*c.average/average) / float64(spare.Rate)
}

// kept is the part of the home share that the host's own demand needs.
func (a *account) kept() Share {
	if a.leaving {
		return Share{}
	}
	if a.home.Rate == 0 {
		return a.home
	}
	f := a.meter.rate * headroom / float64(a.home.Rate)
	f = math.Min(1, math.Max(a.reserve(), f))
	return a.home.fraction(f)
}

// reserve is nothing on a home share of which the reserved part would be less than a unit: it
// could admit nothing here and would keep a whole unit from where it is needed.
func (a *account) reserve() float64 {
	if float64(a.home.Burst)*reserve < scale {
		return 0
	}
	return reserve
}
