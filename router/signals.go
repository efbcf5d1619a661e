package router

import (
	"fmt"

	"github.com/fescuethread/fescuethread/arbiter"
)

// Signals returns what is known of the zone as evidence for the arbiter. Its vote agrees with
// Decide on which zones may be tried, but for those whose allotment is used up.
func (z *Zone) Signals() []arbiter.Signal {
	var out []arbiter.Signal
	if z.Draining {
		out = append(out, arbiter.Signal{
			Source: arbiter.SourcePlan,
			Claim:  arbiter.ClaimAvoid,
			Detail: "drained by the configuration",
		})
	}
	if z.Unlinked {
		out = append(out, arbiter.Signal{
			Source: arbiter.SourcePlan,
			Claim:  arbiter.ClaimAvoid,
			Detail: string(OmitNoLink),
		})
	}
	switch {
	case z.Near:
	case len(z.Hosts) == 0:
		out = append(out, arbiter.Signal{
			Source: arbiter.SourceMeasurement,
			Claim:  arbiter.ClaimAvoid,
			Detail: string(OmitNoHost),
		})
	case z.Refused:
		out = append(out, arbiter.Signal{
			Source: arbiter.SourceResult,
			Claim:  arbiter.ClaimProbe,
			Detail: "refused a request after its report",
		})
	}
	if z.Load.Known {
		out = append(out, z.report())
	}
	return append(out, z.standing())
}

func (z *Zone) report() arbiter.Signal {
	s := arbiter.Signal{
		Source: arbiter.SourcePeer,
		Claim:  arbiter.ClaimUse,
		Age:    z.Load.Age,
		Bound:  MaxReportAge + 1,
		Detail: fmt.Sprintf("%d slots ready, %d busy, %d queued",
			z.Load.Ready, z.Load.Busy, z.Load.Queued),
	}
	if z.Near {
		s.Source = arbiter.SourceMeasurement
	}
	if z.Load.Ready == 0 {
		s.Claim = arbiter.ClaimAvoid
	}
	return s
}

// standing is what holds without news: the own zone is used, others after all that are known.
func (z *Zone) standing() arbiter.Signal {
	s := arbiter.Signal{
		Source: arbiter.SourceStanding,
		Claim:  arbiter.ClaimProbe,
		Detail: fmt.Sprintf("standing weight %d", z.Weight),
	}
	if z.Near {
		s.Claim = arbiter.ClaimUse
	}
	return s
}
