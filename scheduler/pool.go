package scheduler

import (
	"time"

	"github.com/fescuethread/fescuethread/arbiter"
	"github.com/fescuethread/fescuethread/timer"
)

// averageWeight is the part of a new value in a moving average, as a divisor.
const averageWeight = 8

func average(old, value time.Duration) time.Duration {
	if old == 0 {
		return value
	}
	return old + (value-old)/averageWeight
}

// pool is the targets and the queue of one service.
type pool struct {
	service string
	cfg     *Config
	targets []*target
	shares  shares
	queue   *fairQueue
	alone   aloneQueue
	took    time.Duration
	choose  chooser
	// bound and floor are the service's own settings.
	bound int
	floor int
}

func newPool(service string, cfg *Config) *pool {
	return &pool{
		service: service,
		cfg:     cfg,
		queue:   newFairQueue(),
		choose:  fastest,
		bound:   cfg.Queue,
		floor:   arbiter.FloorPercent,
	}
}

// enqueue grants, queues or refuses t.
func (p *pool) enqueue(now timer.Instant, t *Ticket) {
	if p.capacity(now) == 0 {
		t.refuse(ReasonNoTarget)
		return
	}
	if t.work.Alone {
		p.enqueueAlone(now, t)
		return
	}
	if p.queue.size == 0 && p.start(now, t) {
		return
	}
	if reason := p.refusal(now, t); reason != ReasonGranted {
		t.refuse(reason)
		return
	}
	p.queue.push(t)
}

func (p *pool) refusal(now timer.Instant, t *Ticket) Reason {
	if p.hopeless(now, t) {
		return ReasonDeadline
	}
	if p.queue.length(t.work.Customer) >= p.cfg.CustomerQueue {
		return ReasonCustomer
	}
	if p.queue.size >= p.bound && !p.makeRoom(t.work.Customer) {
		return ReasonFull
	}
	return ReasonGranted
}

// hopeless reports whether t can't meet its deadline behind what goes before it.
func (p *pool) hopeless(now timer.Instant, t *Ticket) bool {
	ahead := p.queue.ahead(p.queue.nextStart(t.work.Customer))
	return !t.work.meets(now.Add(p.estimate(ahead+1, p.capacity(now))))
}

// estimate is the time until a request is answered that is served after the given number of
// others.
func (p *pool) estimate(ahead, capacity int) time.Duration {
	d := p.wait(ahead, capacity) + p.took
	return d * (100 + marginPercent) / 100
}

// wait estimates how long a request is queued that is served after the given number of others.
func (p *pool) wait(ahead, capacity int) time.Duration {
	return p.took * time.Duration(ahead) / time.Duration(max(capacity, 1))
}

// makeRoom refuses the newest request of the customer with the longest queue, unless that is
// the newcomer's.
func (p *pool) makeRoom(customer string) bool {
	long := p.queue.longest()
	if long == nil || p.queue.length(customer)+1 >= len(long.tickets) {
		return false
	}
	last := long.tickets[len(long.tickets)-1]
	p.queue.remove(last)
	last.refuse(ReasonFull)
	return true
}

// start gives t a slot if one is free.
func (p *pool) start(now timer.Instant, t *Ticket) bool {
	g := p.choose(p.candidates(now, &t.work))
	if g == nil {
		return false
	}
	t.grant(now, g)
	return true
}

// dispatch gives free slots to the queue.
func (p *pool) dispatch(now timer.Instant) {
	p.startAlone(now)
	for p.queue.size > 0 {
		head := p.queue.head()
		if !head.work.meets(now.Add(p.estimate(0, 1))) {
			p.queue.remove(head)
			head.refuse(ReasonDeadline)
			continue
		}
		if !p.serve(now, head) {
			break
		}
	}
	if p.capacity(now) == 0 {
		p.refuseAll(ReasonNoTarget)
	}
}

// serve starts the head, or the first idempotent request when only probes are free.
func (p *pool) serve(now timer.Instant, head *Ticket) bool {
	if p.start(now, head) {
		p.queue.serve(head)
		return true
	}
	if head.work.Idempotent {
		return false
	}
	other := p.queue.idempotent()
	if other == nil || !p.start(now, other) {
		return false
	}
	p.queue.serve(other)
	return true
}

func (p *pool) tick(now timer.Instant) {
	p.refuseLate(now)
	p.dispatch(now)
}

// refuseLate refuses each request that can't meet its deadline behind those that go before it.
func (p *pool) refuseLate(now timer.Instant) {
	if p.queue.size == 0 {
		return
	}
	ahead, capacity := 0, p.capacity(now)
	for _, t := range p.queue.ordered() {
		if !t.work.meets(now.Add(p.estimate(ahead, capacity))) {
			p.queue.remove(t)
			t.refuse(ReasonDeadline)
			continue
		}
		ahead++
	}
}

func (p *pool) refuseAll(r Reason) {
	p.alone.refuseAll(r)
	for p.queue.size > 0 {
		head := p.queue.head()
		p.queue.serve(head)
		head.refuse(r)
	}
}

func (p *pool) done(now timer.Instant, t *Ticket, r Result) {
	took := now.Sub(t.granted)
	t.state = ticketEnded
	t.target.finish(now, took, r)
	if r == ResultOK {
		p.took = average(p.took, took)
	}
	p.forget()
	p.dispatch(now)
}

func (p *pool) forget() {
	kept := p.targets[:0]
	for _, t := range p.targets {
		if !t.removed || t.busy > 0 {
			kept = append(kept, t)
		}
	}
	clear(p.targets[len(kept):])
	p.targets = kept
}

// doubted reports whether so few targets pass that the measurement is doubted.
func (p *pool) doubted(now timer.Instant) bool {
	ready, all := 0, 0
	for _, t := range p.targets {
		switch t.state(now, false) {
		case StateDraining:
			continue
		case StateReady:
			ready++
		}
		all++
	}
	return arbiter.DoubtsBelow(ready, all, p.floor)
}

func (p *pool) capacity(now timer.Instant) int {
	s, doubted, sum := p.shares.at(now), p.doubted(now), 0
	for _, t := range p.targets {
		sum += t.capacity(now, s.part(t.Target), doubted)
	}
	return sum
}

func (p *pool) candidates(now timer.Instant, w *Work) []candidate {
	s, doubted := p.shares.at(now), p.doubted(now)
	var free []candidate
	for _, t := range p.targets {
		capacity := t.capacity(now, s.part(t.Target), doubted)
		c := candidate{target: t, capacity: capacity, latency: p.latency(now, t)}
		if t == p.alone.reserved || t.exclusive {
			continue
		}
		if t.busy < capacity && t.accepts(now, w, doubted) {
			free = append(free, c)
		}
	}
	return withoutAvoided(free, w.Avoid)
}

// latency is the target's own while it is fresh, and otherwise the service's, so that a target
// that was slow is tried again.
func (p *pool) latency(now timer.Instant, t *target) time.Duration {
	if t.latency == 0 || now.Sub(t.own) >= p.cfg.OwnAge {
		return max(p.took, 1)
	}
	return t.latency
}

func withoutAvoided(free []candidate, name string) []candidate {
	if name == "" || len(free) < 2 {
		return free
	}
	kept := make([]candidate, 0, len(free))
	for _, c := range free {
		if c.target.Name != name {
			kept = append(kept, c)
		}
	}
	return kept
}

// configure adds t or takes in its new settings; its history stays.
func (p *pool) configure(now timer.Instant, t Target) {
	for _, old := range p.targets {
		if old.Name == t.Name {
			old.Target = t
			old.limit = min(old.limit, t.Slots)
			old.removed = false
			return
		}
	}
	p.targets = append(p.targets, newTarget(t, p.cfg, now))
}

// retire marks the targets that the list lacks.
func (p *pool) retire(targets []Target) {
	for _, old := range p.targets {
		old.removed = true
		for _, t := range targets {
			if t.Name == old.Name && t.Service == p.service {
				old.removed = false
			}
		}
	}
}

func (p *pool) load(now timer.Instant) Load {
	l := Load{Service: p.service, Ready: p.capacity(now), Took: p.took}
	l.Queued = p.queue.size + len(p.alone.tickets)
	s := p.shares.at(now)
	for _, t := range p.targets {
		l.Busy += t.busy
		if !t.draining && !t.removed {
			l.Slots += s.part(t.Target)
		}
	}
	return l
}

func (p *pool) standings(now timer.Instant) []Standing {
	s, doubted := p.shares.at(now), p.doubted(now)
	list := make([]Standing, 0, len(p.targets))
	for _, t := range p.targets {
		list = append(list, Standing{
			Target:   t.Target,
			State:    t.state(now, doubted),
			Capacity: t.capacity(now, s.part(t.Target), doubted),
			Busy:     t.busy,
			Failures: t.failures,
			Own:      t.own,
			Report:   t.report,
			Doubted:  doubted,
			Signals:  t.signals(now, doubted),
		})
	}
	return list
}
