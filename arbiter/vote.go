package arbiter

// FloorPercent is the part of a set that must look usable; below it the measurement is doubted.
const FloorPercent = 50

// Rule is the part of the standing rule that decided.
type Rule string

const (
	// RuleNone is the rule where no signal counts: the subject is probed.
	RuleNone Rule = "no signal counts, so it is probed"
)

var rules = [sources]Rule{
	SourcePlan:        "1: what was announced goes before all that is seen",
	SourceResult:      "2: own fresh results go before measurements and reports",
	SourceMeasurement: "3: own fresh measurements go before what others report",
	SourcePeer:        "4: a peer's fresh report goes before what the subject says of itself",
	SourceReport:      "5: the subject's fresh report goes before the platform's list",
	SourceList:        "6: the platform's list goes before the configuration",
	SourceStanding:    "7: without news the configuration stands",
}

// Verdict is the outcome of a vote.
type Verdict struct {
	// Subject is what the signals are about.
	Subject string
	// Claim is the outcome.
	Claim Claim
	// Rule is the part of the standing rule that decided.
	Rule Rule
	// Deciding is the signal that decided; it is empty under RuleNone.
	Deciding Signal
	// Overruled are the signals that count and say otherwise.
	Overruled []Signal
	// Absent are the signals that are too old or doubted.
	Absent []Signal
}

// Vote applies the standing rule: the signal of the highest source decides, of those that count.
func Vote(subject string, signals []Signal) Verdict {
	v := Verdict{Subject: subject, Claim: ClaimProbe, Rule: RuleNone}
	decided := false
	for _, s := range signals {
		if !s.Counts() {
			v.Absent = append(v.Absent, s)
			continue
		}
		if !decided || s.outranks(v.Deciding) {
			v.Deciding = s
			decided = true
		}
	}
	if !decided {
		return v
	}
	v.Claim = v.Deciding.Claim
	v.Rule = rules[v.Deciding.Source]
	for _, s := range signals {
		if s.Counts() && s.Claim != v.Claim {
			v.Overruled = append(v.Overruled, s)
		}
	}
	return v
}

// Doubts reports whether so few of a set are usable that the measurement is doubted.
func Doubts(usable, all int) bool {
	return DoubtsBelow(usable, all, FloorPercent)
}

// DoubtsBelow is Doubts with the operators' floor in place of FloorPercent.
func DoubtsBelow(usable, all, floorPercent int) bool {
	return usable*100 < all*floorPercent
}
