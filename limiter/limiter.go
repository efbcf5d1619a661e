package limiter

import (
	"sync"
	"time"

	"github.com/pkg/errors"

	"github.com/fescuethread/fescuethread/timer"
)

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

// rehome brings the home shares up to date with the plans. News that can only raise them waits for
// the next tick, since it is frequent and looks at every host.
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

// Acknowledge notes the plan version that a host has in force, as its heartbeat tells. What that
// host knew of other hosts' incarnations when it sent the heartbeat must be noted before.
func (l *Limiter) Acknowledge(host string, incarnation, version uint64) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.settlement.acknowledge(host, incarnation, version)
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
}

// Confirm notes that the platform gave the plan version after this process started.
func (l *Limiter) Confirm(version uint64) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.settlement.confirm(version)
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
