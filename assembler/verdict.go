package assembler

import (
	"fmt"
	"time"

	"github.com/fescuethread/fescuethread/arbiter"
	"github.com/fescuethread/fescuethread/reporter"
	"github.com/fescuethread/fescuethread/router"
	"github.com/fescuethread/fescuethread/timer"
)

// verdicts returns what the standing rule concludes on zones, hosts, targets and keys.
func (h *Host) verdicts(
	now timer.Instant, service string, zones []router.Zone,
) []reporter.Verdict {
	var verdicts []reporter.Verdict
	for _, z := range zones {
		v := arbiter.Vote(subjectOf(z), z.Signals())
		verdicts = append(verdicts, toVerdict(v, ""))
	}
	for _, m := range h.detector.Members(now) {
		v := arbiter.Vote("host "+m.Host.Name, h.detector.Signals(now, m.Host.Name))
		verdicts = append(verdicts, toVerdict(v, m.State.String()))
	}
	for _, zone := range h.granter.Near() {
		for _, s := range h.granter.Standings(zone, service) {
			v := arbiter.Vote("target "+s.Target.Name, s.Signals)
			state := fmt.Sprintf("%s, %d of %d slots", s.State, s.Capacity, s.Target.Slots)
			verdicts = append(verdicts, toVerdict(v, state))
		}
	}
	keys := h.keys.judge(now)
	v := arbiter.Vote("keys", h.keys.policy.Signals(keys))
	return append(verdicts, toVerdict(v, string(keys.Freshness)+", "+keys.Reason))
}

// subjectOf names the part of a zone whose slots this host holds apart from the others' part.
func subjectOf(z router.Zone) string {
	if z.Near {
		return "zone " + z.Name + " here"
	}
	return "zone " + z.Name
}

// toVerdict shows a vote; state is what the deciding package calls the outcome.
func toVerdict(v arbiter.Verdict, state string) reporter.Verdict {
	out := reporter.Verdict{
		Subject: v.Subject,
		Rule:    string(v.Rule),
		Outcome: v.Claim.String(),
	}
	if state != "" {
		out.Outcome += " (" + state + ")"
	}
	if v.Rule != arbiter.RuleNone {
		out.Signals = append(out.Signals, describe(v.Deciding, "decides"))
	}
	for _, s := range v.Overruled {
		out.Signals = append(out.Signals, describe(s, "overruled"))
	}
	for _, s := range v.Absent {
		out.Signals = append(out.Signals, describe(s, absence(s)))
	}
	return out
}

func absence(s arbiter.Signal) string {
	if s.Doubted {
		return "doubted"
	}
	return "too old"
}

func describe(s arbiter.Signal, part string) string {
	text := fmt.Sprintf("%s says %s: %s", s.Source, s.Claim, s.Detail)
	switch {
	case toMillis(s.Age) < 0:
		text += ", never"
	case s.Bound != arbiter.Unbounded:
		text += ", " + s.Age.Round(time.Millisecond).String() + " old"
	}
	return text + " (" + part + ")"
}
