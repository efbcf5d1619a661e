package scheduler

import "github.com/fescuethread/fescuethread/timer"

// Work is a request that needs a slot.
type Work struct {
	// ID names the request.
	ID string
	// Customer is the customer that the request is charged to.
	Customer string
	// Service is the service that the request asks for.
	Service string
	// Deadline is the instant after which an answer is worthless; zero stands for none.
	Deadline timer.Instant
	// Cost is what the request takes of its customer's part; zero stands for CostUnit.
	Cost int64
	// Idempotent says that the request may run more than once.
	Idempotent bool
	// Alone says that nothing else may run on the target meanwhile.
	Alone bool
	// Avoid names a target that an earlier try failed on; it is used only for want of another.
	Avoid string
}

// Reason says why work was granted or refused.
type Reason string

const (
	// ReasonGranted is work that has a slot.
	ReasonGranted Reason = "granted"
	// ReasonDeadline is work that can't meet its deadline.
	ReasonDeadline Reason = "deadline"
	// ReasonFull is work that found the service's queue full.
	ReasonFull Reason = "full"
	// ReasonCustomer is work that found its customer's part of the queue full.
	ReasonCustomer Reason = "customer full"
	// ReasonNoTarget is work for a service without a usable target.
	ReasonNoTarget Reason = "no target"
	// ReasonCancelled is work that was cancelled while it waited.
	ReasonCancelled Reason = "cancelled"
)

// Decision is the outcome of waiting for a slot; a refused request was not run.
type Decision struct {
	// Reason says why the work was granted or refused.
	Reason Reason
	// Target is the target whose slot was granted.
	Target Target
}

// Granted reports whether the work has a slot.
func (d Decision) Granted() bool {
	return d.Reason == ReasonGranted
}

// Result is how granted work ended on its target.
type Result uint8

const (
	// ResultCancelled is work that says nothing about the target: its caller left, or its
	// deadline was too short.
	ResultCancelled Result = iota
	// ResultOK is work that the target answered.
	ResultOK
	// ResultFailed is work on which the connection failed or the target was too late.
	ResultFailed
	// ResultShed is work that the target shed because of its load.
	ResultShed
)

// Ticket stands for work from Enqueue to Done or Cancel.
type Ticket struct {
	// C delivers the one decision.
	C <-chan Decision

	c       chan Decision
	work    Work
	pool    *pool
	target  *target
	granted timer.Instant
	start   int64
	seq     uint64
	state   ticketState
}

type ticketState uint8

const (
	ticketQueued ticketState = iota
	ticketGranted
	ticketEnded
)

func newTicket(w Work, p *pool, seq uint64) *Ticket {
	if w.Cost <= 0 {
		w.Cost = CostUnit
	}
	c := make(chan Decision, 1)
	return &Ticket{C: c, c: c, work: w, pool: p, seq: seq}
}

// meets reports whether an answer at the given instant is in time.
func (w *Work) meets(answer timer.Instant) bool {
	return w.Deadline == 0 || !w.Deadline.Before(answer)
}

func (t *Ticket) refuse(r Reason) {
	t.state = ticketEnded
	t.c <- Decision{Reason: r}
}

func (t *Ticket) grant(now timer.Instant, g *target) {
	t.state = ticketGranted
	t.target = g
	t.granted = now
	g.take(now)
	g.exclusive = t.work.Alone
	t.c <- Decision{Reason: ReasonGranted, Target: g.Target}
}
