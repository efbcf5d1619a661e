package scheduler

import (
	"fmt"

	"github.com/fescuethread/fescuethread/arbiter"
	"github.com/fescuethread/fescuethread/timer"
)

// signals returns what is known of the target as evidence for the arbiter.
func (t *target) signals(now timer.Instant, doubted bool) []arbiter.Signal {
	var out []arbiter.Signal
	if t.draining || t.removed {
		out = append(out, arbiter.Signal{
			Source: arbiter.SourcePlan,
			Claim:  arbiter.ClaimAvoid,
			Detail: "drained or removed by the configuration",
		})
	}
	out = append(out, t.ownResult(now, doubted))
	if t.report != nil {
		out = append(out, t.ownReport(now, doubted))
	}
	return append(out, arbiter.Signal{
		Source: arbiter.SourceStanding,
		Claim:  arbiter.ClaimUse,
		Detail: "in the inventory",
	})
}

// ownResult is what became of this host's requests. After failures it counts until a request is
// answered: the target is avoided during its ejection, then probed.
func (t *target) ownResult(now timer.Instant, doubted bool) arbiter.Signal {
	s := arbiter.Signal{
		Source: arbiter.SourceResult,
		Claim:  arbiter.ClaimUse,
		Age:    now.Sub(t.own),
		Bound:  t.cfg.OwnAge,
		Detail: fmt.Sprintf("%d failures in a row", t.failures),
	}
	if t.failures < t.cfg.EjectAfter {
		return s
	}
	s.Bound = arbiter.Unbounded
	s.Claim = arbiter.ClaimProbe
	if now.Before(t.ejectedUntil(doubted)) {
		s.Claim = arbiter.ClaimAvoid
	}
	return s
}

func (t *target) ownReport(now timer.Instant, doubted bool) arbiter.Signal {
	s := arbiter.Signal{
		Source:  arbiter.SourceReport,
		Claim:   arbiter.ClaimUse,
		Age:     now.Sub(t.report.At),
		Bound:   t.cfg.ReportAge,
		Doubted: doubted,
		Detail:  fmt.Sprintf("ready %t, busy %d", t.report.Ready, t.report.Busy),
	}
	if !t.report.Ready {
		s.Claim = arbiter.ClaimProbe
	}
	return s
}
