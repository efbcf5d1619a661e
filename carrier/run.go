package carrier

import (
	"context"
	"net/http"
	"time"

	"github.com/pkg/errors"

	"github.com/fescuethread/fescuethread/connector"
	"github.com/fescuethread/fescuethread/exchanger"
	"github.com/fescuethread/fescuethread/forwarder"
	"github.com/fescuethread/fescuethread/logger"
	"github.com/fescuethread/fescuethread/messenger"
	"github.com/fescuethread/fescuethread/retrier"
	"github.com/fescuethread/fescuethread/router"
)

// maxHops bounds how often a request is passed on.
const maxHops = 3

// run tries the availability zones that the router orders until one answers. It tries again only
// what surely did not run, or what is idempotent, and within the customer's budget.
func (c *Carrier) run(ctx context.Context, w Work) Result {
	now := c.now()
	c.parts.Budget.First(now, w.Customer)
	decision := c.route(ctx, w)
	result := notRun(http.StatusServiceUnavailable, ReasonCapacity)
	mayHaveRun := false
	for i, choice := range decision.Choices {
		c.logRoute(w, choice, i)
		result = c.try(ctx, w, choice)
		mayHaveRun = mayHaveRun || result.Outcome == messenger.Outcome_OUTCOME_UNKNOWN
		if !c.tryAgain(ctx, w, result, i+1) {
			break
		}
	}
	if mayHaveRun && result.Outcome == messenger.Outcome_OUTCOME_NOT_RUN {
		return result.WithOutcome(messenger.Outcome_OUTCOME_UNKNOWN)
	}
	return result
}

const (
	// roomStep is the time between two looks for room in other zones, and roomLooks the number of
	// looks; together they last for a quarter of a second.
	roomStep  = 10 * time.Millisecond
	roomLooks = 25
)

// route orders the zones. When all that could serve have this host's allotment in flight, it waits
// a little for a request of its own to end: there is room, and a refusal would be wrong.
func (c *Carrier) route(ctx context.Context, w Work) router.Decision {
	q := router.Query{Service: w.Service, Customer: w.Customer}
	d := c.parts.Router.Route(c.now(), q)
	if !d.LacksRoom() {
		return d
	}
	defer c.waiting.Add(-1)
	if c.waiting.Add(1) > maxWaiting {
		return d
	}
	for range roomLooks {
		if c.parts.Pauser.Pause(ctx, roomStep) != nil {
			return d
		}
		d = c.parts.Router.Route(c.now(), q)
		if !d.LacksRoom() {
			return d
		}
	}
	return d
}

// tryAgain reports whether a further try is made, once its wait has passed.
func (c *Carrier) tryAgain(ctx context.Context, w Work, r Result, tries int) bool {
	if ctx.Err() != nil || !mayRepeat(r, tries) {
		return false
	}
	d := c.parts.Budget.Decide(c.now(), retrier.Attempt{
		Customer:   w.Customer,
		Tries:      tries,
		Idempotent: w.Idempotent,
		NotRun:     r.Outcome == messenger.Outcome_OUTCOME_NOT_RUN,
		Deadline:   w.Deadline,
	})
	if !d.Retry() {
		return false
	}
	return c.parts.Pauser.Pause(ctx, d.Wait) == nil
}

// mayRepeat keeps answers, refusals that hold everywhere, and requests that may crash targets from
// being sent again: a request whose connection broke is tried on one more target at most.
func mayRepeat(r Result, tries int) bool {
	switch {
	case r.Outcome == messenger.Outcome_OUTCOME_ANSWERED:
		return false
	case r.Reason == ReasonKey || r.Reason == ReasonSuspect:
		return false
	case r.Reason == ReasonBroken:
		return tries < 2
	default:
		return true
	}
}

func (c *Carrier) try(ctx context.Context, w Work, choice router.Choice) Result {
	if choice.Host == "" {
		return c.runNear(ctx, w, choice.Zone)
	}
	if !c.parts.Router.Begin(c.now(), w.Service, choice) {
		return notRun(http.StatusServiceUnavailable, ReasonCap)
	}
	w.Zone = choice.Zone
	r := c.pass(ctx, w, choice.Host, messenger.Role_ROLE_CARRY)
	c.parts.Router.End(c.now(), w.Service, choice, r.feedback())
	return r
}

// runNear runs the request on a target that this host holds slots of; when that target cannot be
// reached it tries another one of the zone.
func (c *Carrier) runNear(ctx context.Context, w Work, zone string) Result {
	r := c.runOnce(ctx, SlotQuery{Work: w, Zone: zone})
	if r.Outcome != messenger.Outcome_OUTCOME_NOT_RUN || r.Reason != ReasonTarget {
		return r
	}
	if !c.tryAgain(ctx, w, r, 1) {
		return r
	}
	return c.runOnce(ctx, SlotQuery{Work: w, Zone: zone, Avoid: r.Target})
}

func (c *Carrier) runOnce(ctx context.Context, q SlotQuery) Result {
	slot, err := c.parts.Slots.Acquire(ctx, q)
	if err != nil {
		return refusal(err).WithHost(c.cfg.Host)
	}
	if !c.granted(q.Work) {
		r := notRun(http.StatusUnauthorized, ReasonKey).WithHost(c.cfg.Host)
		slot.Release(r)
		return r
	}
	r := c.exchange(ctx, q.Work, slot)
	slot.Release(r)
	return r
}

// granted reports whether the key of a request that has waited is still granted.
func (c *Carrier) granted(w Work) bool {
	if w.Customer == "" {
		return true
	}
	s := c.parts.Configuration.Snapshot()
	return s != nil && s.Ring.Admits(w.Digest, w.Customer, w.Keys)
}

func (c *Carrier) exchange(ctx context.Context, w Work, slot Slot) Result {
	t := slot.Target()
	answer, err := c.parts.Targets.Do(ctx, forwarder.Target{
		Name:        t.Name,
		Address:     t.Address,
		Connections: t.Connections,
	}, &forwarder.Request{
		ID:         w.ID,
		Customer:   w.Customer,
		Operation:  operationName(w),
		Method:     w.Method,
		Path:       w.Path,
		Header:     w.Header,
		Body:       w.Body,
		Idempotent: w.Idempotent,
	})
	if err != nil {
		return c.exchangeFailed(ctx, err).WithTarget(t.Name).WithHost(c.cfg.Host)
	}
	return Result{
		Outcome: messenger.Outcome_OUTCOME_ANSWERED,
		Status:  answer.Status,
		Header:  answer.Header,
		Body:    answer.Body,
		Target:  t.Name,
		Host:    c.cfg.Host,
	}
}

func (c *Carrier) exchangeFailed(ctx context.Context, err error) Result {
	switch {
	case exchanger.Refused(err):
		return notRun(http.StatusServiceUnavailable, ReasonTarget).WithLoss(LossRefused)
	case forwarder.NotRun(err):
		return notRun(http.StatusServiceUnavailable, ReasonTarget)
	case errors.Is(ctx.Err(), context.Canceled):
		return unknown(http.StatusGatewayTimeout, ReasonCaller)
	case ctx.Err() != nil:
		return unknown(http.StatusGatewayTimeout, ReasonDeadline)
	case exchanger.Lost(err):
		return unknown(http.StatusBadGateway, ReasonBroken).WithLoss(LossBroken)
	default:
		return unknown(http.StatusBadGateway, ReasonTarget)
	}
}

// pass hands the request to a peer.
func (c *Carrier) pass(ctx context.Context, w Work, host string, role messenger.Role) Result {
	s := c.parts.Configuration.Snapshot()
	if s == nil {
		return notRun(http.StatusServiceUnavailable, ReasonNotReady)
	}
	peer, ok := s.Inventory.Host(host)
	if !ok || w.Hops >= maxHops {
		return notRun(http.StatusServiceUnavailable, ReasonPeer)
	}
	w.Sender = c.cfg.Zone
	if !c.parts.Router.Send(peer.Zone, int64(len(w.Body))) {
		return notRun(http.StatusServiceUnavailable, ReasonCap)
	}
	in := w.toRequest(c.now(), role)
	in.Via = c.cfg.Host
	in.Suspects = c.parts.Suspects.Tell(c.now())
	reply, err := c.parts.Peers.Forward(ctx, peer.Peer, in)
	if err == nil {
		c.parts.Suspects.Hear(c.now(), host, reply.GetSuspects())
		return fromReply(reply)
	}
	var e *connector.Error
	if errors.As(err, &e) && e.Kind == connector.KindUnsent {
		return notRun(http.StatusServiceUnavailable, ReasonPeer)
	}
	if ctx.Err() != nil {
		return unknown(http.StatusGatewayTimeout, ReasonDeadline)
	}
	return unknown(http.StatusBadGateway, ReasonPeer)
}

func (c *Carrier) logRoute(w Work, choice router.Choice, try int) {
	c.parts.Log.Log(eventRouted,
		logger.F("request", w.ID),
		logger.F("customer", w.Customer),
		logger.F("service", w.Service),
		logger.F("zone", choice.Zone),
		logger.F("host", choice.Host),
		logger.F("rule", choice.Rule),
		logger.F("try", try),
	)
}
