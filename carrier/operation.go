package carrier

import (
	"context"
	"net/http"

	"github.com/pkg/errors"
	"google.golang.org/protobuf/proto"

	"github.com/fescuethread/fescuethread/identifier"
	"github.com/fescuethread/fescuethread/messenger"
)

// operate runs non-idempotent work at its owner: here, or at the peer that issued its identity.
func (c *Carrier) operate(ctx context.Context, w Work) Result {
	id, err := identifier.Parse(w.Operation)
	if err != nil {
		return notRun(http.StatusBadRequest, ReasonIdentity)
	}
	owner := c.parts.Members.Owner(id.Owner)
	if owner == c.cfg.Host {
		return c.own(ctx, w)
	}
	r := c.pass(ctx, w, owner, messenger.Role_ROLE_OWN)
	if r.Host == "" && (r.Reason == ReasonPeer || r.Reason == ReasonCap) {
		// An earlier try may have run, so nobody but the owner can say that the work was not run.
		return unknown(http.StatusBadGateway, ReasonOwner)
	}
	return r
}

// own claims the operation and runs it if it never ran.
func (c *Carrier) own(ctx context.Context, w Work) Result {
	claim, err := c.parts.Registry.Begin(c.now(), w.Operation, w.identity(), w.fingerprint())
	if err != nil {
		return refusedIdentity(err).WithHost(c.cfg.Host)
	}
	if claim.Outcome != identifier.OutcomeRun {
		return c.await(ctx, claim).WithHost(c.cfg.Host)
	}
	select {
	case r := <-c.start(ctx, w, claim):
		return r
	case <-ctx.Done():
		return unknown(http.StatusGatewayTimeout, ReasonDeadline).WithHost(c.cfg.Host)
	}
}

// start runs the operation on its own goroutine, so that it ends even when its caller has left
// and the caller's next try gets the answer.
func (c *Carrier) start(ctx context.Context, w Work, claim identifier.Claim) <-chan Result {
	ctx, cancel := context.WithTimeout(context.WithoutCancel(ctx), w.left(c.now()))
	out := make(chan Result, 1)
	c.inFlight.Add(1)
	go func() {
		defer c.inFlight.Add(-1)
		defer cancel()
		r := c.admitAndRun(ctx, w)
		claim = c.parts.Registry.Finish(claim, settled(w, r))
		out <- r.WithRenewed(claim.Renewed)
	}()
	return out
}

func (c *Carrier) admitAndRun(ctx context.Context, w Work) Result {
	if refused, ok := c.admit(ctx, w); !ok {
		return refused
	}
	return c.run(ctx, w)
}

// settled turns a run's result into what the registry keeps.
func settled(w Work, r Result) identifier.Result {
	switch r.Outcome {
	case messenger.Outcome_OUTCOME_ANSWERED:
		body, err := proto.Marshal(r.toReply(w.ID))
		if err != nil {
			return identifier.Unknown()
		}
		return identifier.Answered(body)
	case messenger.Outcome_OUTCOME_NOT_RUN:
		return identifier.NotRun(string(r.Reason))
	default:
		return identifier.Unknown()
	}
}

// await waits for the operation's run and returns what came of it.
func (c *Carrier) await(ctx context.Context, claim identifier.Claim) Result {
	if claim.Outcome == identifier.OutcomeJoin {
		select {
		case <-claim.Done:
		case <-ctx.Done():
			return unknown(http.StatusGatewayTimeout, ReasonDeadline)
		}
		claim = c.parts.Registry.Resume(claim)
	}
	switch claim.Outcome {
	case identifier.OutcomeDone:
		return decodeAnswer(claim.Answer)
	case identifier.OutcomeRefused:
		reason := Reason(claim.Reason)
		return notRun(refusalStatus(reason), reason).WithRenewed(claim.Renewed)
	case identifier.OutcomeSpent:
		return unknown(http.StatusGone, ReasonSpent)
	default:
		return unknown(http.StatusBadGateway, ReasonTarget)
	}
}

func decodeAnswer(body []byte) Result {
	var reply messenger.Reply
	if err := proto.Unmarshal(body, &reply); err != nil {
		return unknown(http.StatusBadGateway, ReasonSpent)
	}
	return fromReply(&reply)
}

func refusedIdentity(err error) Result {
	var e *identifier.Error
	switch {
	case !errors.As(err, &e):
		return unknown(http.StatusConflict, ReasonOwner)
	case e.Kind == identifier.KindConflict:
		return unknown(http.StatusConflict, ReasonConflict)
	case e.NotRun():
		return notRun(http.StatusConflict, ReasonIdentity)
	default:
		return unknown(http.StatusConflict, ReasonOwner)
	}
}

func refusalStatus(reason Reason) int {
	switch reason {
	case ReasonLimit:
		return http.StatusTooManyRequests
	case ReasonKey, ReasonStale:
		return http.StatusUnauthorized
	default:
		return http.StatusServiceUnavailable
	}
}

// operationName returns what the target is told of the operation; the whole token would let a
// target send the operation again in its customer's name.
func operationName(w Work) string {
	if w.Operation == "" {
		return ""
	}
	id, err := identifier.Parse(w.Operation)
	if err != nil {
		return ""
	}
	return id.Name()
}
