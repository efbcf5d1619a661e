package scheduler

import (
	"cmp"
	"slices"
	"sync"
	"time"

	"github.com/pkg/errors"

	"github.com/fescuethread/fescuethread/arbiter"
	"github.com/fescuethread/fescuethread/timer"
)

// Scheduler holds the slots of the targets near a host; it is safe for concurrent use.
type Scheduler struct {
	mu     sync.Mutex
	cfg    Config
	pools  map[string]*pool
	shares shares
	seq    uint64
}

// Load is the state of one service's slots and queue.
type Load struct {
	// Service is the service.
	Service string
	// Slots is the number of slots that this host holds of targets that don't drain.
	Slots int
	// Busy is the number of requests that run.
	Busy int
	// Queued is the number of requests that wait.
	Queued int
	// Ready is the number of slots that may be used now.
	Ready int
	// Took is the moving average of the time that a request runs.
	Took time.Duration
}

// Standing is one target's state with the signals that it was decided by.
type Standing struct {
	// Target is the target.
	Target Target
	// State is the outcome.
	State State
	// Capacity is the number of requests that may run now.
	Capacity int
	// Busy is the number of requests that run.
	Busy int
	// Failures is the number of consecutive failures.
	Failures int
	// Own is the instant of the newest own result.
	Own timer.Instant
	// Report is the target's newest report; nil stands for none.
	Report *Report
	// Doubted says that too few targets pass, so that health counts less.
	Doubted bool
	// Signals are the same signals as evidence for the arbiter, whose vote agrees with State.
	Signals []arbiter.Signal
}

// New returns a scheduler that holds all slots of no targets.
func New(cfg Config) *Scheduler {
	return &Scheduler{
		cfg:    cfg.withDefaults(),
		pools:  map[string]*pool{},
		shares: shares{{count: 1}},
	}
}

// Configure replaces the targets; a target that is left out finishes what it runs.
func (s *Scheduler) Configure(now timer.Instant, targets []Target) error {
	if err := check(targets); err != nil {
		return err
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, p := range s.pools {
		p.retire(targets)
	}
	for _, t := range targets {
		s.pool(t.Service).configure(now, t)
	}
	for _, p := range s.pools {
		p.forget()
		p.dispatch(now)
	}
	return nil
}

// Service is what the operators set for one service; a zero queue stands for the default.
type Service struct {
	// Name identifies the service.
	Name string
	// Queue bounds the requests that wait.
	Queue int
	// FloorPercent is the part of the targets below which their health is doubted.
	FloorPercent int
}

// SetService puts a service's own settings in force.
func (s *Scheduler) SetService(service Service) {
	s.mu.Lock()
	defer s.mu.Unlock()
	p := s.pool(service.Name)
	p.bound = orDefault(service.Queue, s.cfg.Queue)
	p.floor = service.FloorPercent
}

// SetShare sets this host's place among the hosts that hold the targets' slots; slots that it
// did not hold before are used from the instant after on. A negative index holds none. Every
// change of the holders has to be passed, in order: one that is skipped may have given slots of
// this host away.
func (s *Scheduler) SetShare(now timer.Instant, index, count int, after timer.Instant) {
	s.mu.Lock()
	defer s.mu.Unlock()
	next := share{index: index, count: count, after: after}
	s.shares = s.shares.at(now).with(next).at(now)
	for _, p := range s.pools {
		p.shares = s.shares
		p.dispatch(now)
	}
}

// Enqueue asks for a slot; the ticket's channel delivers the decision.
func (s *Scheduler) Enqueue(now timer.Instant, w Work) *Ticket {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.seq++
	p, ok := s.pools[w.Service]
	if !ok {
		t := newTicket(w, nil, s.seq)
		t.refuse(ReasonNoTarget)
		return t
	}
	t := newTicket(w, p, s.seq)
	p.enqueue(now, t)
	p.dispatch(now)
	return t
}

// Done ends granted work and frees its slot; only the first call counts.
func (s *Scheduler) Done(now timer.Instant, t *Ticket, r Result) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if t.state == ticketGranted {
		t.pool.done(now, t, r)
	}
}

// Cancel ends the ticket of a caller that left, whether it waits or runs.
func (s *Scheduler) Cancel(now timer.Instant, t *Ticket) {
	s.mu.Lock()
	defer s.mu.Unlock()
	switch t.state {
	case ticketQueued:
		t.pool.cancel(t)
	case ticketGranted:
		t.pool.done(now, t, ResultCancelled)
	}
}

// Tick refuses what can't meet its deadline any more and uses slots that have become free.
func (s *Scheduler) Tick(now timer.Instant) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, p := range s.pools {
		p.tick(now)
	}
}

// Report takes in what a target says of itself.
func (s *Scheduler) Report(now timer.Instant, name string, r Report) {
	s.each(now, name, func(t *target) { t.report = &r })
}

// Drain ends new work for a target.
func (s *Scheduler) Drain(now timer.Instant, name string) {
	s.each(now, name, func(t *target) { t.draining = true })
}

// Undrain lets a target take new work again.
func (s *Scheduler) Undrain(now timer.Instant, name string) {
	s.each(now, name, func(t *target) { t.draining = false })
}

// Wait estimates how long the customer's next request to the service would wait for a slot.
func (s *Scheduler) Wait(now timer.Instant, service, customer string) time.Duration {
	s.mu.Lock()
	defer s.mu.Unlock()
	p, ok := s.pools[service]
	if !ok || p.queue.size == 0 && len(p.candidates(now, &Work{Idempotent: true})) > 0 {
		return 0
	}
	ahead := p.queue.ahead(p.queue.nextStart(customer))
	return p.wait(ahead+1, p.capacity(now))
}

// Loads returns the state of each service.
func (s *Scheduler) Loads(now timer.Instant) []Load {
	s.mu.Lock()
	defer s.mu.Unlock()
	loads := make([]Load, 0, len(s.pools))
	for _, p := range s.pools {
		loads = append(loads, p.load(now))
	}
	slices.SortFunc(loads, func(a, b Load) int { return cmp.Compare(a.Service, b.Service) })
	return loads
}

// Standings returns the state of each target of a service.
func (s *Scheduler) Standings(now timer.Instant, service string) []Standing {
	s.mu.Lock()
	defer s.mu.Unlock()
	p, ok := s.pools[service]
	if !ok {
		return nil
	}
	return p.standings(now)
}

func (s *Scheduler) each(now timer.Instant, name string, do func(*target)) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, p := range s.pools {
		for _, t := range p.targets {
			if t.Name == name {
				do(t)
				p.dispatch(now)
			}
		}
	}
}

func (s *Scheduler) pool(service string) *pool {
	p, ok := s.pools[service]
	if !ok {
		p = newPool(service, &s.cfg)
		p.shares = s.shares
		s.pools[service] = p
	}
	return p
}

func check(targets []Target) error {
	names := map[string]bool{}
	for _, t := range targets {
		if t.Name == "" || t.Service == "" || t.Slots <= 0 || names[t.Name] {
			return &Error{Op: "configure", Kind: KindTarget, Err: errors.Errorf("%+v", t)}
		}
		names[t.Name] = true
	}
	return nil
}
