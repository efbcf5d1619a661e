package limiter

import (
	"math"
	"time"

	"github.com/fescuethread/fescuethread/messenger"
	"github.com/fescuethread/fescuethread/timer"
)

// reserve is the part of an idle home share that its host keeps for the first requests to come.
const reserve = 0.1

// claim is a borrower's demand for an account.
type claim struct {
	demand float64
	until  timer.Instant
}

// bid is what a borrower states about one account.
type bid struct {
	held   Share
	tokens int64
	demand float64
}

func bidOf(loan *messenger.Loan) bid {
	return bid{
		held:   Share{Rate: clamp(loan.GetRate()), Burst: clamp(loan.GetBurst())},
		tokens: clamp(loan.GetTokens()),
		demand: float64(loan.GetDemand()),
	}
}

func clamp(n uint64) int64 {
	return int64(min(n, uint64(maxUnits)*scale))
}

// lend takes a bid and returns the loan that the borrower holds from now on.
func (a *account) lend(now timer.Instant, to party, b bid, cfg Config) *messenger.Loan {
	a.settle(now)
	held := a.release(to, b)
	a.claim(now, to.host, b.demand, 2*cfg.Renewal)
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

func (a *account) claim(now timer.Instant, host string, demand float64, lifetime time.Duration) {
	for h, c := range a.claims {
		if !now.Before(c.until) {
			delete(a.claims, h)
		}
	}
	delete(a.claims, host)
	if demand > 0 {
		a.claims[host] = claim{demand: demand, until: now.Add(lifetime)}
	}
}

// grant splits the spare part of the home share among the claims in proportion to demand.
func (a *account) grant(host string, held Share) Share {
	c, ok := a.claims[host]
	if !ok {
		return Share{}
	}
	total := 0.0
	for _, other := range a.claims {
		total += other.demand
	}
	kept := a.kept()
	spare := a.home.Minus(kept)
	free := a.home.Minus(a.lentOut()).Minus(kept)
	return spare.fraction(c.demand / total).Min(held.Plus(free)).whole()
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
	f = math.Min(1, math.Max(reserve, f))
	return a.home.fraction(f)
}
