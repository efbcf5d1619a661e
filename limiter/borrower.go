package limiter

import (
	"time"

	"github.com/fescuethread/fescuethread/messenger"
	"github.com/fescuethread/fescuethread/timer"
)

// peer is what the limiter knows of another host as a lender and as a borrower.
type peer struct {
	// incarnation is the lender's newest that answered.
	incarnation uint64
	// pending is the sequence of the request whose reply is awaited, sent the instant before it left.
	pending uint64
	sent    timer.Instant
	// renew is when the holdings are to be renewed, greet when the host is to be greeted.
	renew timer.Instant
	greet timer.Instant
	// barren counts the replies in a row after which nothing was held from the peer.
	barren int
	// confirm asks for a request that tells the lender of shrunk holdings.
	confirm bool
	// borrower and taken are the newest incarnation and sequence that requests came from.
	borrower uint64
	taken    uint64
}

// due reports whether the renewal's instant has come or shrunk holdings are to be told.
func (p *peer) due(now timer.Instant) bool {
	return p.confirm || !now.Before(p.renew)
}

// awaits reports whether a reply may still come.
func (p *peer) awaits(now timer.Instant, patience time.Duration) bool {
	return p.pending != 0 && now.Before(p.sent.Add(patience))
}

// state makes the loan entry of a request; it debits what is returned before the request leaves.
func (a *account) state(from party, borrowing bool) *messenger.Loan {
	h, ok := a.held[from]
	if !ok && !borrowing {
		return nil
	}
	loan := &messenger.Loan{Account: a.name}
	if borrowing {
		loan.Demand, loan.Average = a.meter.state()
	} else {
		h.refund += a.withdraw(h.share.Burst)
		h.share = Share{}
	}
	loan.Rate = uint64(h.share.Rate)
	loan.Burst = uint64(h.share.Burst)
	loan.Tokens = uint64(h.refund)
	h.refund = 0
	a.hold(from, h)
	return loan
}

// withdraw removes the tokens that go with a part of the burst.
func (a *account) withdraw(burst int64) int64 {
	tokens := a.bucket.portion(burst)
	a.bucket.take(tokens)
	return tokens
}

func (a *account) hold(from party, h holding) {
	a.held[from] = h
	if h.share.IsZero() && h.refund == 0 {
		delete(a.held, from)
	}
	a.resize()
}

// credit replaces what is held from a lender by its grant; it reports growth and shrinkage.
func (a *account) credit(from party, grant bid, until timer.Instant) (grew, shrank bool) {
	h := a.held[from]
	old := h.share
	h.refund += a.withdraw(old.Minus(grant.held).Burst)
	h.share = grant.held
	h.until = until
	a.hold(from, h)
	a.bucket.put(grant.tokens)
	return !old.Covers(grant.held), !grant.held.Covers(old)
}
