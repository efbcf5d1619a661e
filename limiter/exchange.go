package limiter

import (
	"sort"
	"time"

	"github.com/pkg/errors"

	"github.com/fescuethread/fescuethread/messenger"
	"github.com/fescuethread/fescuethread/timer"
)

const (
	// maxGreetings bounds the greetings of one tick.
	maxGreetings = 8
	// maxBarren bounds how often the renewal of nothing is put off by doubling its period.
	maxBarren = 3
)

// Ask is a request to be sent to a peer.
type Ask struct {
	// Peer is the host to send the request to.
	Peer string
	// Request is the message.
	Request *messenger.LoanRequest
}

// Requests returns what is to be sent to peers; it is called each tick and whenever Wake tells.
func (l *Limiter) Requests() []Ask {
	l.mu.Lock()
	defer l.mu.Unlock()
	now := l.cfg.Now()
	l.rehome(now)
	urgent := l.observe(now)
	var asks []Ask
	greetings := 0
	for _, host := range l.hosts() {
		p := l.peer(host)
		greet := greetings < maxGreetings && l.greets(now, p)
		if !greet && !urgent[host] && !p.due(now) || p.awaits(now, l.cfg.Renewal/2) {
			continue
		}
		wants := l.wants(now, host, p)
		if len(wants) == 0 && !greet {
			continue
		}
		if greet {
			greetings++
		}
		asks = append(asks, l.ask(now, host, p, wants))
	}
	return asks
}

// observe closes the demand's interval and returns the peers that cannot wait for their renewal.
func (l *Limiter) observe(now timer.Instant) map[string]bool {
	urgent := make(map[string]bool)
	for _, a := range l.accounts {
		a.meter.observe(now, a.home.Minus(a.lentOut()))
		l.mark(now, a, urgent)
	}
	return urgent
}

// mark adds the hosts that an urgent account asks.
func (l *Limiter) mark(now timer.Instant, a *account, urgent map[string]bool) {
	if !a.listed {
		return
	}
	if a.meter.fell() {
		for from := range a.held {
			urgent[from.host] = true
		}
	}
	if !a.meter.urgent {
		return
	}
	for _, seat := range a.seats {
		urgent[seat] = true
	}
	a.meter.asked(now, l.cfg.Tick, l.cfg.Renewal)
}

// greets reports whether a peer must still learn of this incarnation or may tell what is settled.
func (l *Limiter) greets(now timer.Instant, p *peer) bool {
	if l.settlement.confirmed && l.settlement.settled != 0 {
		return false
	}
	return !now.Before(p.greet)
}

// hosts returns the other hosts of the plan and all that lend to this one, sorted.
func (l *Limiter) hosts() []string {
	seen := make(map[string]bool)
	if n := len(l.settlement.plans); n > 0 {
		for _, h := range l.settlement.plans[n-1].others {
			seen[h] = true
		}
	}
	for _, a := range l.accounts {
		for p := range a.held {
			seen[p.host] = true
		}
	}
	names := make([]string, 0, len(seen))
	for h := range seen {
		names = append(names, h)
	}
	sort.Strings(names)
	return names
}

func (l *Limiter) peer(host string) *peer {
	p, ok := l.peers[host]
	if !ok {
		p = &peer{}
		l.peers[host] = p
	}
	return p
}

// wants states all holdings from a lender and all accounts that it may lend of.
func (l *Limiter) wants(now timer.Instant, host string, p *peer) []*messenger.Loan {
	from := party{host: host, incarnation: p.incarnation}
	var wants []*messenger.Loan
	for _, name := range l.names() {
		a := l.accounts[name]
		a.settle(now)
		borrowing := a.borrows(now, host)
		if loan := a.state(from, borrowing); loan != nil {
			wants = append(wants, loan)
		}
	}
	return wants
}

// borrows reports whether the account wants loans from a host.
func (a *account) borrows(now timer.Instant, host string) bool {
	return a.listed && !a.leaving && a.meter.borrowing(now) && a.sits(host)
}

func (a *account) sits(host string) bool {
	for _, seat := range a.seats {
		if seat == host {
			return true
		}
	}
	return false
}

func (l *Limiter) names() []string {
	names := make([]string, 0, len(l.accounts))
	for name := range l.accounts {
		names = append(names, name)
	}
	sort.Strings(names)
	return names
}

func (l *Limiter) ask(now timer.Instant, host string, p *peer, wants []*messenger.Loan) Ask {
	l.sequence++
	p.pending = l.sequence
	p.sent = now
	p.renew = now.Add(l.cfg.Renewal << min(p.barren, maxBarren))
	p.greet = now.Add(l.cfg.Renewal)
	p.confirm = false
	return Ask{Peer: host, Request: &messenger.LoanRequest{
		Borrower:    l.cfg.Host,
		Incarnation: l.cfg.Incarnation,
		Sequence:    l.sequence,
		Lender:      p.incarnation,
		Version:     l.settlement.held,
		Wants:       wants,
	}}
}

// Lend answers a peer's request; all loans in the reply are debited already.
func (l *Limiter) Lend(req *messenger.LoanRequest) (*messenger.LoanReply, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	now := l.cfg.Now()
	if err := l.accept(req); err != nil {
		return nil, &Error{Op: "lend", Kind: KindSequence, Err: err}
	}
	l.settlement.acknowledge(req.GetBorrower(), req.GetIncarnation(), req.GetVersion())
	reply := &messenger.LoanReply{
		Lender:      l.cfg.Host,
		Incarnation: l.cfg.Incarnation,
		Sequence:    req.GetSequence(),
		Term:        uint64(l.cfg.Term / time.Millisecond),
		Version:     l.settlement.held,
		Settled:     l.settlement.settled,
	}
	if lender := req.GetLender(); lender == 0 || lender == l.cfg.Incarnation {
		reply.Grants = l.grants(now, req)
	}
	return reply, nil
}

// accept takes each incarnation's requests in rising order; a request out of order states holdings
// that may have grown since.
func (l *Limiter) accept(req *messenger.LoanRequest) error {
	p := l.peer(req.GetBorrower())
	if req.GetIncarnation() < p.borrower {
		return errors.New("the borrower has restarted")
	}
	if req.GetIncarnation() == p.borrower && req.GetSequence() <= p.taken {
		return errors.New("a newer request was taken")
	}
	p.borrower = req.GetIncarnation()
	p.taken = req.GetSequence()
	return nil
}

func (l *Limiter) grants(now timer.Instant, req *messenger.LoanRequest) []*messenger.Loan {
	to := party{host: req.GetBorrower(), incarnation: req.GetIncarnation()}
	var grants []*messenger.Loan
	last := ""
	for _, want := range req.GetWants() {
		a, ok := l.accounts[want.GetAccount()]
		if !ok || want.GetAccount() <= last {
			continue
		}
		last = want.GetAccount()
		b := bidOf(want)
		if !l.settlement.lists(to.host) {
			b.claim.demand = 0
		}
		if grant := a.lend(now, to, b, l.cfg); !b.held.IsZero() || a.spares() {
			grants = append(grants, grant)
		}
	}
	return grants
}

// Credit takes a peer's reply to the newest request that was sent to it.
func (l *Limiter) Credit(host string, reply *messenger.LoanReply) error {
	l.mu.Lock()
	defer l.mu.Unlock()
	p := l.peer(host)
	if p.pending == 0 || reply.GetSequence() != p.pending {
		return &Error{Op: "credit", Kind: KindReply, Err: errors.New("not awaited")}
	}
	now := l.cfg.Now()
	p.pending = 0
	p.incarnation = reply.GetIncarnation()
	l.settlement.acknowledge(host, reply.GetIncarnation(), reply.GetVersion())
	l.settlement.meet(host, reply.GetVersion())
	l.settlement.assert(reply.GetSettled())
	p.barren++
	if len(reply.GetGrants()) > 0 {
		p.barren = 0
	}
	until := p.sent.Add(time.Duration(clamp(reply.GetTerm())) * time.Millisecond)
	if now.Before(until) {
		from := party{host: host, incarnation: p.incarnation}
		l.credit(now, from, reply.GetGrants(), until)
	}
	return nil
}

func (l *Limiter) credit(
	now timer.Instant, from party, grants []*messenger.Loan, until timer.Instant,
) {
	for _, grant := range grants {
		a, ok := l.accounts[grant.GetAccount()]
		if !ok || !a.listed {
			continue
		}
		a.settle(now)
		grew, shrank := a.credit(from, bidOf(grant), until)
		if grew {
			a.meter.grew()
		}
		if shrank {
			l.peers[from.host].confirm = true
		}
	}
}
