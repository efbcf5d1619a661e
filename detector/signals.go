package detector

import (
	"time"

	"github.com/fescuethread/fescuethread/arbiter"
	"github.com/fescuethread/fescuethread/messenger"
	"github.com/fescuethread/fescuethread/timer"
)

// Signals returns what is known of a host as evidence for the arbiter, whose vote agrees with the
// host's state.
func (t *Table) Signals(now timer.Instant, host string) []arbiter.Signal {
	e := t.entries[host]
	if e == nil {
		return nil
	}
	b := &evidence{entry: e, direct: t.direct(e), known: e.member.Incarnation > 0}
	heard := e.heard
	b.late, b.silent = SuspectAfter, DeadAfter
	if !b.direct {
		z := t.zones[e.info.Zone]
		heard = z.heard
		b.known = z.known
		b.late, b.silent = t.remoteBounds()
	}
	b.age = now.Sub(heard)
	return b.signals()
}

// evidence is what the table holds of one host.
type evidence struct {
	entry  *entry
	direct bool
	// known says that the host, or its zone when it is remote, has been heard.
	known  bool
	age    time.Duration
	late   time.Duration
	silent time.Duration
}

func (b *evidence) signals() []arbiter.Signal {
	out := b.plans(nil)
	if b.age >= b.silent {
		out = append(out, arbiter.Signal{
			Source: arbiter.SourceMeasurement,
			Claim:  arbiter.ClaimAvoid,
			Detail: "silent for " + b.age.Round(time.Millisecond).String(),
		})
	}
	if b.known || b.missing() {
		out = append(out, b.heartbeat())
	}
	if b.known && b.entry.listed(ListedGone) {
		out = append(out, arbiter.Signal{
			Source: arbiter.SourceList,
			Claim:  arbiter.ClaimAvoid,
			Detail: "listed as gone",
		})
	}
	return append(out, arbiter.Signal{
		Source: arbiter.SourceStanding,
		Claim:  arbiter.ClaimProbe,
		Detail: "in the inventory",
	})
}

// missing reports whether the host's zone says that it doesn't hear it.
func (b *evidence) missing() bool {
	return !b.direct && b.entry.missing
}

// plans adds what the host or the platform announced. A departure that was announced is final,
// all else holds while the host is heard.
func (b *evidence) plans(out []arbiter.Signal) []arbiter.Signal {
	plan := arbiter.Signal{Source: arbiter.SourcePlan, Claim: arbiter.ClaimAvoid, Age: b.age}
	if b.entry.member.State == messenger.State_STATE_LEFT {
		plan.Detail = "the host left"
		return append(out, plan)
	}
	plan.Bound = b.late
	switch {
	case !b.known:
		return out
	case b.entry.member.State == messenger.State_STATE_LEAVING:
		plan.Detail = "the host is leaving"
	case b.entry.member.State == messenger.State_STATE_JOINING:
		plan.Detail = "the host is joining"
	case b.entry.listed(ListedLeaving):
		plan.Detail = reasonLeaving
	default:
		return out
	}
	return append(out, plan)
}

// heartbeat is the host's own heartbeat, or what its zone says of it.
func (b *evidence) heartbeat() arbiter.Signal {
	s := arbiter.Signal{Claim: arbiter.ClaimUse, Age: b.age, Bound: b.late}
	switch {
	case b.direct:
		s.Source = arbiter.SourceMeasurement
		s.Detail = "heartbeat"
	case b.missing():
		s.Source = arbiter.SourcePeer
		s.Claim = arbiter.ClaimAvoid
		s.Bound = arbiter.Unbounded
		s.Detail = reasonMissing
	default:
		s.Source = arbiter.SourcePeer
		s.Detail = reasonZone
	}
	return s
}

// Signals returns what is known of a host as evidence for the arbiter.
func (d *Detector) Signals(now timer.Instant, host string) []arbiter.Signal {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.table.Signals(now, host)
}
