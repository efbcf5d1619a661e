package limiter

import (
	"sort"
	"sync"
	"time"

	"github.com/pkg/errors"

	"github.com/fescuethread/fescuethread/messenger"
	"github.com/fescuethread/fescuethread/timer"
)

// maxGreetings bounds the greetings of one tick.
const maxGreetings = 8

// Reason says why units were admitted or refused.
type Reason string

const (
	// ReasonAdmitted means that the units were spent.
	ReasonAdmitted Reason = "admitted"
	// ReasonRate means that the account's tokens at this host are spent.
	ReasonRate Reason = "rate"
	// ReasonBurst means that the units exceed the account's whole burst.
	ReasonBurst Reason = "burst"
	// ReasonUnknown means that the plan has no such account.
	ReasonUnknown Reason = "unknown account"
	// ReasonStarting means that the host holds no share of the account yet.
	ReasonStarting Reason = "starting"
)

// Decision is the answer to a request for units.
type Decision struct {
	// Admitted tells that the units were spent.
	Admitted bool
	// At is the instant that the units count at; a caller that was paused since may give up.
	At timer.Instant
	// Retry is how long to wait before asking again.
	Retry time.Duration
	// Reason says why.
	Reason Reason
}

// Ask is a request to be sent to a peer.
type Ask struct {
	// Peer is the host to send the request to.
	Peer string
	// Request is the message.
	Request *messenger.LoanRequest
}

// Limiter holds one host's shares of all accounts; its methods may be called from any goroutine.
type Limiter struct {
	cfg Config

	mu         sync.Mutex
	settlement *settlement
	accounts   map[string]*account
	peers      map[string]*peer
	sequence   uint64
	// usable is when loans of earlier processes of this host have surely lapsed.
	usable timer.Instant
	open   bool
	wake   chan struct{}
}

// New returns a limiter without a plan; it admits nothing.
func New(cfg Config) (*Limiter, error) {
	cfg = cfg.withDefaults()
	if err := cfg.validate(); err != nil {
		return nil, &Error{Op: "new", Kind: KindConfig, Err: err}
	}
	l := &Limiter{
		cfg:        cfg,
		settlement: newSettlement(cfg.Host),
		accounts:   make(map[string]*account),
		peers:      make(map[string]*peer),
		usable:     never,
		wake:       make(chan struct{}, 1),
	}
	if cfg.Exclusive {
		l.usable = cfg.Now().Add(cfg.hold())
	}
	return l, nil
}

// Configure takes a newer plan; home shares stay at the least of all plans until it is settled.
func (l *Limiter) Configure(plan Plan) error {
	if err := plan.validate(); err != nil {
		return &Error{Op: "configure", Kind: KindPlan, Err: err}
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	newest := l.settlement.newest()
	if plan.Version == newest {
		return nil
	}
	if plan.Version < newest {
		err := errors.Errorf("version %d is below %d", plan.Version, newest)
		return &Error{Op: "configure", Kind: KindVersion, Err: err}
	}
	now := l.cfg.Now()
	l.settlement.add(plan)
	l.list(now, plan)
	l.rehome(now)
	return nil
}

// list adds the plan's accounts.
func (l *Limiter) list(now timer.Instant, plan Plan) {
	for _, a := range l.accounts {
		a.listed = false
	}
	for _, limits := range plan.Accounts {
		a, ok := l.accounts[limits.Name]
		if !ok {
			a = newAccount(limits.Name, now, l.cfg)
			l.accounts[limits.Name] = a
		}
		a.listed = true
		a.limits = limits
		a.seats = limits.seats(plan.Hosts)
	}
}

// rehome brings the home shares up to date with the plans.
func (l *Limiter) rehome(now timer.Instant) {
	opens := !l.open && !now.Before(l.usable)
	l.open = l.open || opens
	if !opens && !l.settlement.pending() {
		return
	}
	for again := true; again; {
		fits := l.open
		for name, a := range l.accounts {
			home := Share{}
			if l.open {
				home = l.settlement.home(name)
			}
			a.rehome(now, home)
			fits = fits && home.Covers(a.lentOut())
			if !a.listed && len(a.lent) == 0 {
				delete(l.accounts, name)
			}
		}
		again = l.settlement.advance(now, fits)
	}
}

// Admit spends units of an account if the host's tokens suffice at an instant read under the lock.
func (l *Limiter) Admit(name string, units int64) Decision {
	l.mu.Lock()
	defer l.mu.Unlock()
	a, ok := l.accounts[name]
	if !ok || !a.listed {
		return Decision{Reason: ReasonUnknown}
	}
	if units < 0 || units > a.limits.Burst {
		return Decision{Reason: ReasonBurst}
	}
	tokens := units * scale
	now := l.cfg.Now()
	a.settle(now)
	admitted := a.bucket.take(tokens)
	low := !admitted || 2*a.bucket.tokens < a.bucket.share.Burst
	a.meter.offer(tokens, low)
	if low && !a.bucket.at.Before(a.meter.retry) {
		l.signal()
	}
	if admitted {
		return Decision{Admitted: true, At: now, Reason: ReasonAdmitted}
	}
	return l.refuse(a, tokens)
}

func (l *Limiter) refuse(a *account, tokens int64) Decision {
	if a.bucket.share.IsZero() {
		return Decision{Retry: l.cfg.Renewal, Reason: ReasonStarting}
	}
	retry, ok := a.bucket.wait(tokens)
	if !ok {
		retry = l.cfg.Renewal
	}
	return Decision{Retry: retry, Reason: ReasonRate}
}

func (l *Limiter) signal() {
	select {
	case l.wake <- struct{}{}:
	default:
	}
}

// Wake returns a channel that tells when Requests should be called before the next tick.
func (l *Limiter) Wake() <-chan struct{} {
	return l.wake
}

// Requests returns what is to be sent to peers; it is called each tick and whenever Wake tells.
func (l *Limiter) Requests() []Ask {
	l.mu.Lock()
	defer l.mu.Unlock()
	now := l.cfg.Now()
	l.rehome(now)
	urgent := make(map[string]bool)
	for _, a := range l.accounts {
		a.meter.observe(now, a.home.Minus(a.lentOut()))
		l.mark(now, a, urgent)
	}
	var asks []Ask
	greetings := 0
	for _, host := range l.hosts() {
		p := l.peer(host)
		greet := greetings < maxGreetings && l.greets(now, p)
		if !greet && !urgent[host] && !p.confirm && now.Before(p.renew) {
			continue
		}
		if p.awaits(now, l.cfg.Renewal/2) {
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

// mark adds the hosts that an urgent account asks.
func (l *Limiter) mark(now timer.Instant, a *account, urgent map[string]bool) {
	if !a.meter.urgent || !a.listed {
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
	p.renew = now.Add(l.cfg.Renewal)
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
	l.rehome(now)
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
			b.demand = 0
		}
		grants = append(grants, a.lend(now, to, b, l.cfg))
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
	l.rehome(now)
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

// Acknowledge notes the plan version that a host has in force, as its heartbeat tells. What that
// host knew of other hosts' incarnations when it sent the heartbeat must be noted before.
func (l *Limiter) Acknowledge(host string, incarnation, version uint64) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.settlement.acknowledge(host, incarnation, version)
	l.rehome(l.cfg.Now())
}

// Stopped notes the proof that all processes of a host so far have ended; for this host's own name
// it means all processes before this one.
func (l *Limiter) Stopped(host string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	now := l.cfg.Now()
	if host == l.cfg.Host {
		l.usable = min(l.usable, now.Add(l.cfg.hold()))
	} else {
		l.settlement.stop(host, now.Add(l.cfg.hold()))
	}
	l.rehome(now)
}

// Confirm notes that the platform gave the plan version after this process started.
func (l *Limiter) Confirm(version uint64) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.settlement.confirm(version)
	l.rehome(l.cfg.Now())
}

// Version returns the plan version that this host has in force, for its heartbeat.
func (l *Limiter) Version() uint64 {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.settlement.held
}

// Release prepares for leaving: from now on all loans are returned and the whole home share may be
// lent. The home share itself waits for the host's next process or for a plan without the host.
func (l *Limiter) Release() {
	l.mu.Lock()
	defer l.mu.Unlock()
	for _, a := range l.accounts {
		a.leaving = true
	}
}
