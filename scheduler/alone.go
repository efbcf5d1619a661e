package scheduler

import (
	"slices"

	"github.com/fescuethread/fescuethread/timer"
)

// aloneQueue holds work that has to be the only one on its target; one such request at a time
// has a target, which takes nothing else from its reservation on.
type aloneQueue struct {
	tickets  []*Ticket
	reserved *target
}

func (q *aloneQueue) remove(t *Ticket) {
	q.tickets = slices.DeleteFunc(q.tickets, func(other *Ticket) bool { return other == t })
	if len(q.tickets) == 0 {
		q.reserved = nil
	}
}

func (q *aloneQueue) refuseAll(r Reason) {
	for _, t := range q.tickets {
		t.refuse(r)
	}
	q.tickets = nil
	q.reserved = nil
}

func (p *pool) enqueueAlone(now timer.Instant, t *Ticket) {
	if len(p.alone.tickets) >= maxAlone {
		t.refuse(ReasonFull)
		return
	}
	if !t.work.meets(now.Add(p.estimate(2*len(p.alone.tickets), 1))) {
		t.refuse(ReasonDeadline)
		return
	}
	p.alone.tickets = append(p.alone.tickets, t)
}

// startAlone reserves a target for the first work that has to be alone and starts it when
// nothing else runs there any more.
func (p *pool) startAlone(now timer.Instant) {
	p.refuseLateAlone(now)
	if len(p.alone.tickets) == 0 || p.runsAlone() {
		return
	}
	if !p.usable(now, p.alone.reserved) {
		p.alone.reserved = p.quietest(now)
	}
	if p.alone.reserved == nil || p.alone.reserved.busy > 0 {
		return
	}
	first, g := p.alone.tickets[0], p.alone.reserved
	p.alone.tickets = p.alone.tickets[1:]
	p.alone.reserved = nil
	first.grant(now, g)
}

func (p *pool) refuseLateAlone(now timer.Instant) {
	for _, t := range slices.Clone(p.alone.tickets) {
		if !t.work.meets(now.Add(p.estimate(0, 1))) {
			p.alone.remove(t)
			t.refuse(ReasonDeadline)
		}
	}
}

func (p *pool) runsAlone() bool {
	return slices.ContainsFunc(p.targets, func(t *target) bool { return t.exclusive })
}

func (p *pool) usable(now timer.Instant, t *target) bool {
	if t == nil {
		return false
	}
	part := p.shares.at(now).part(t.Target)
	return t.capacity(now, part, p.doubted(now)) > 0
}

// quietest returns the usable target that runs least.
func (p *pool) quietest(now timer.Instant) *target {
	var best *target
	for _, t := range p.targets {
		if p.usable(now, t) && (best == nil || t.busy < best.busy) {
			best = t
		}
	}
	return best
}

// cancel takes a ticket out that waits.
func (p *pool) cancel(t *Ticket) {
	if t.work.Alone {
		p.alone.remove(t)
	} else {
		p.queue.remove(t)
	}
	t.refuse(ReasonCancelled)
}
