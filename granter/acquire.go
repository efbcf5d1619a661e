package granter

import (
	"context"

	"github.com/pkg/errors"

	"github.com/fescuethread/fescuethread/carrier"
	"github.com/fescuethread/fescuethread/isolator"
	"github.com/fescuethread/fescuethread/scheduler"
)

// Acquire waits for a slot of the zone; a request that is suspected of crashing targets gets one
// only alone, or none.
func (g *Granter) Acquire(ctx context.Context, q carrier.SlotQuery) (carrier.Slot, error) {
	w := q.Work
	fingerprint := isolator.NewFingerprint(w.Customer, w.Service, w.Method, w.Path, w.Body)
	permit := g.isolator.Admit(g.now(), fingerprint)
	s, err := g.schedule(ctx, q, permit)
	if err != nil {
		g.isolator.End(g.now(), permit, isolator.OutcomeNotRun)
		return nil, err
	}
	return s, nil
}

func (g *Granter) schedule(
	ctx context.Context, q carrier.SlotQuery, permit *isolator.Permit,
) (*slot, error) {
	if permit.Verdict == isolator.VerdictWait || permit.Verdict == isolator.VerdictRefuse {
		return nil, refused(carrier.KindSuspect, errors.New(string(permit.Verdict)))
	}
	z := g.zone(q.Zone)
	ticket := z.scheduler.Enqueue(g.now(), scheduler.Work{
		ID:         q.Work.ID,
		Customer:   q.Work.Customer,
		Service:    q.Work.Service,
		Deadline:   q.Work.Deadline,
		Idempotent: q.Work.Idempotent,
		Avoid:      q.Avoid,
		Alone:      permit.Verdict == isolator.VerdictAlone,
	})
	select {
	case d := <-ticket.C:
		return g.granted(z, ticket, d, permit)
	case <-ctx.Done():
		z.scheduler.Cancel(g.now(), ticket)
		return nil, refused(carrier.KindDeadline, ctx.Err())
	}
}

func (g *Granter) granted(
	z *zone, t *scheduler.Ticket, d scheduler.Decision, permit *isolator.Permit,
) (*slot, error) {
	if !d.Granted() {
		return nil, refused(kindOf(d.Reason), errors.New(string(d.Reason)))
	}
	g.mu.Lock()
	target, ok := z.targets[d.Target.Name]
	g.mu.Unlock()
	if !ok {
		z.scheduler.Cancel(g.now(), t)
		return nil, refused(carrier.KindCapacity, errors.New("the target was removed"))
	}
	if !g.isolator.Start(g.now(), permit, target.Name) {
		z.scheduler.Cancel(g.now(), t)
		return nil, refused(carrier.KindSuspect, errors.New("suspected while it waited"))
	}
	return &slot{
		granter: g, zone: z, ticket: t, target: target, permit: permit, since: g.now(),
	}, nil
}

func kindOf(r scheduler.Reason) carrier.Kind {
	if r == scheduler.ReasonDeadline {
		return carrier.KindDeadline
	}
	return carrier.KindCapacity
}

func refused(kind carrier.Kind, cause error) error {
	return &carrier.Error{Op: "acquire", Kind: kind, Err: cause}
}
