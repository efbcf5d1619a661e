package arbiter

import "time"

// Source is where a signal comes from; a lower source outranks a higher one.
type Source uint8

const (
	// SourcePlan is what operators, or the subject itself, announced: a drain, a start or a stop.
	SourcePlan Source = iota
	// SourceResult is what became of this host's own requests.
	SourceResult
	// SourceMeasurement is what this host measured itself.
	SourceMeasurement
	// SourcePeer is what another entry host reports.
	SourcePeer
	// SourceReport is what the subject reports of its own health or load.
	SourceReport
	// SourceList is the platform's list of live and leaving hosts.
	SourceList
	// SourceStanding is the configuration, for want of anything newer.
	SourceStanding
	sources
)

var sourceNames = [sources]string{
	SourcePlan:        "plan",
	SourceResult:      "own result",
	SourceMeasurement: "own measurement",
	SourcePeer:        "peer's report",
	SourceReport:      "subject's report",
	SourceList:        "platform's list",
	SourceStanding:    "configuration",
}

// String returns the source's name.
func (s Source) String() string {
	if s >= sources {
		return "unknown"
	}
	return sourceNames[s]
}

// Claim is what a signal says of its subject; a higher claim is the more cautious one.
type Claim uint8

const (
	// ClaimUse is a subject that takes work.
	ClaimUse Claim = iota
	// ClaimProbe is a subject that takes work only as a trial, or after all others.
	ClaimProbe
	// ClaimAvoid is a subject that takes no work.
	ClaimAvoid
	claims
)

var claimNames = [claims]string{
	ClaimUse:   "use",
	ClaimProbe: "probe",
	ClaimAvoid: "avoid",
}

// String returns the claim's name.
func (c Claim) String() string {
	if c >= claims {
		return "unknown"
	}
	return claimNames[c]
}

// Unbounded is the bound of a signal that does not age.
const Unbounded time.Duration = 0

// Signal is one piece of evidence.
type Signal struct {
	// Source is where it comes from.
	Source Source
	// Claim is what it says.
	Claim Claim
	// Age is the time since it was true.
	Age time.Duration
	// Bound is the age from which it counts as absent.
	Bound time.Duration
	// Doubted says that most of the subject's set looks bad at once, so that the signal counts
	// as absent.
	Doubted bool
	// Detail says in words what was seen.
	Detail string
}

// Counts reports whether the signal may decide.
func (s Signal) Counts() bool {
	return !s.Doubted && (s.Bound == Unbounded || s.Age < s.Bound)
}

// outranks reports whether s decides rather than other: by its source, then by its age, then by
// caution.
func (s Signal) outranks(other Signal) bool {
	switch {
	case s.Source != other.Source:
		return s.Source < other.Source
	case s.Age != other.Age:
		return s.Age < other.Age
	default:
		return s.Claim > other.Claim
	}
}
