package assembler

import (
	"fmt"

	"github.com/fescuethread/fescuethread/reporter"
	"github.com/fescuethread/fescuethread/scheduler"
)

// targetVerdict shows a target's signals and the part of the standing rule that decided.
func (h *Host) targetVerdict(s scheduler.Standing) reporter.Verdict {
	signals := []string{fmt.Sprintf("%d failures in a row", s.Failures)}
	if s.Report != nil {
		report := fmt.Sprintf("reports ready %t, busy %d", s.Report.Ready, s.Report.Busy)
		signals = append(signals, report)
	}
	rule := "own results go before the target's report while they are fresh"
	if s.Doubted {
		rule = "too few targets pass, so the measurement is doubted"
	}
	return reporter.Verdict{
		Subject: s.Target.Name,
		Signals: signals,
		Rule:    rule,
		Outcome: fmt.Sprintf("%s, %d of %d slots", s.State, s.Capacity, s.Target.Slots),
	}
}
