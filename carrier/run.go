package carrier

import (
	"context"
	"net/http"

	"github.com/pkg/errors"

	"github.com/fescuethread/fescuethread/connector"
	"github.com/fescuethread/fescuethread/forwarder"
	"github.com/fescuethread/fescuethread/logger"
	"github.com/fescuethread/fescuethread/messenger"
	"github.com/fescuethread/fescuethread/router"
)

// maxHops bounds how often a request is passed on.
const maxHops = 3

// run tries the availability zones that the router orders until one answers. It tries again only
// what surely did not run, or what is idempotent, and within the budget.
func (c *Carrier) run(ctx context.Context, w Work) Result {
	c.parts.Budget.First()
	decision := c.parts.Router.Route(c.now(), router.Query{
		Service: w.Service, Customer: w.Customer,
	})
	result := notRun(http.StatusServiceUnavailable, ReasonCapacity)
	mayHaveRun := false
	for i, choice := range decision.Choices {
		if i > 0 && !c.parts.Budget.Retry() {
			break
		}
		c.logRoute(w, choice, i)
		result = c.try(ctx, w, choice)
		mayHaveRun = mayHaveRun || result.Outcome == messenger.Outcome_OUTCOME_UNKNOWN
		if !c.tryAgain(ctx, w, result) {
			break
		}
	}
	if mayHaveRun && result.Outcome == messenger.Outcome_OUTCOME_NOT_RUN {
		return result.WithOutcome(messenger.Outcome_OUTCOME_UNKNOWN)
	}
	return result
}

func (c *Carrier) tryAgain(ctx context.Context, w Work, r Result) bool {
	if ctx.Err() != nil || w.left(c.now()) <= 0 {
		return false
	}
	switch r.Outcome {
	case messenger.Outcome_OUTCOME_NOT_RUN:
		return r.Reason != ReasonKey && r.Reason != ReasonSuspect
	case messenger.Outcome_OUTCOME_UNKNOWN:
		return w.Idempotent
	default:
		return false
	}
}

func (c *Carrier) try(ctx context.Context, w Work, choice router.Choice) Result {
	if choice.Host == "" {
		return c.runNear(ctx, w, choice.Zone)
	}
	if !c.parts.Router.Begin(c.now(), w.Service, choice, int64(len(w.Body))) {
		return notRun(http.StatusServiceUnavailable, ReasonCap)
	}
	w.Zone = choice.Zone
	r := c.pass(ctx, w, choice.Host, messenger.Role_ROLE_CARRY)
	c.parts.Router.End(c.now(), w.Service, choice, r.feedback())
	return r
}

// runNear runs the request on a target that this host holds slots of.
func (c *Carrier) runNear(ctx context.Context, w Work, zone string) Result {
	slot, err := c.parts.Slots.Acquire(ctx, SlotQuery{Work: w, Zone: zone})
	if err != nil {
		return refusal(err).WithHost(c.cfg.Host)
	}
	if !c.granted(w) {
		r := notRun(http.StatusUnauthorized, ReasonKey).WithHost(c.cfg.Host)
		slot.Release(r)
		return r
	}
	r := c.exchange(ctx, w, slot)
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
	if forwarder.NotRun(err) {
		return notRun(http.StatusServiceUnavailable, ReasonTarget)
	}
	if ctx.Err() != nil {
		return unknown(http.StatusGatewayTimeout, ReasonDeadline)
	}
	return unknown(http.StatusBadGateway, ReasonTarget)
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
	reply, err := c.parts.Peers.Forward(ctx, peer.Peer, w.toRequest(c.now(), role))
	if err == nil {
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
