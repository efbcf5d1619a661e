package carrier

import (
	"context"
	"net/http"

	"github.com/fescuethread/fescuethread/logger"
	"github.com/fescuethread/fescuethread/messenger"
)

// Forward runs a request that a peer passes on.
func (c *Carrier) Forward(
	ctx context.Context, in *messenger.Request,
) (*messenger.Reply, error) {
	c.inFlight.Add(1)
	defer c.inFlight.Add(-1)
	idempotent, ok := c.knows(in)
	if !ok {
		return notRun(http.StatusServiceUnavailable, ReasonService).toReply(in.GetId()), nil
	}
	c.parts.Suspects.Hear(c.now(), in.GetVia(), in.GetSuspects())
	w := fromRequest(c.now(), in, idempotent)
	ctx, cancel := context.WithTimeout(ctx, w.left(c.now()))
	defer cancel()
	r := c.answerPeer(ctx, w, in.GetRole())
	if err := c.parts.Router.Reply(ctx, w.Sender, int64(len(r.Body))); err != nil {
		r = unknown(http.StatusGatewayTimeout, ReasonCap).WithHost(c.cfg.Host)
	}
	c.parts.Log.Log(eventPassed,
		logger.F("request", w.ID),
		logger.F("origin", w.Origin),
		logger.F("outcome", outcomeName(r.Outcome)),
		logger.F("reason", string(r.Reason)),
		logger.F("target", r.Target),
	)
	reply := r.toReply(in.GetId())
	reply.Suspects = c.parts.Suspects.Tell(c.now())
	return reply, nil
}

func (c *Carrier) answerPeer(ctx context.Context, w Work, role messenger.Role) Result {
	switch {
	case !c.granted(w):
		return notRun(http.StatusUnauthorized, ReasonKey).WithHost(c.cfg.Host)
	case role == messenger.Role_ROLE_OWN:
		return c.own(ctx, w)
	case w.Zone != "":
		return c.runNear(ctx, w, w.Zone)
	default:
		return c.runNear(ctx, w, c.cfg.Zone)
	}
}

// knows reports whether the service is in this host's inventory, and whether the method is
// idempotent there.
func (c *Carrier) knows(in *messenger.Request) (idempotent, ok bool) {
	s := c.parts.Configuration.Snapshot()
	if s == nil {
		return false, false
	}
	service, ok := s.Inventory.Service(in.GetService())
	return service.IsIdempotent(in.GetMethod()), ok
}
