package authenticator

import (
	"fmt"
	"strings"

	"github.com/fescuethread/fescuethread/arbiter"
)

// Signals returns what a decision was made by as evidence for the arbiter, whose vote agrees with
// the decision.
func (p Policy) Signals(d Decision) []arbiter.Signal {
	out := []arbiter.Signal{{
		Source: arbiter.SourceMeasurement,
		Claim:  arbiter.ClaimUse,
		Age:    d.Age,
		Bound:  p.Bound + 1,
		Detail: "newest proof that the keys are in force",
	}}
	if d.Freshness == Outage {
		out = append(out, arbiter.Signal{
			Source: arbiter.SourcePeer,
			Claim:  arbiter.ClaimUse,
			Detail: "every availability zone has lost the platform",
		})
	}
	return append(out, p.standing(d))
}

func (p Policy) standing(d Decision) arbiter.Signal {
	s := arbiter.Signal{
		Source: arbiter.SourceStanding,
		Claim:  arbiter.ClaimAvoid,
		Detail: fmt.Sprintf("stale = %q", p.Stale),
	}
	if p.Stale == StaleServe {
		s.Claim = arbiter.ClaimUse
	}
	if len(d.Zones) > 0 {
		s.Detail += ", newer keys may be in " + strings.Join(d.Zones, ", ")
	}
	return s
}
