package identifier

// Outcome says what a caller of Begin has to do.
type Outcome uint8

const (
	// OutcomeRun tells the caller, and only it, to run the operation now.
	OutcomeRun Outcome = iota + 1
	// OutcomeJoin tells the caller to wait for Done and then to call Resume.
	OutcomeJoin
	// OutcomeDone tells the caller to return the kept answer.
	OutcomeDone
	// OutcomeSpent is an operation that was answered, whose answer is no longer kept.
	OutcomeSpent
	// OutcomeUnknown is an operation whose only run ended without a known outcome.
	OutcomeUnknown
	// OutcomeRefused is an operation that was not run and that this token can no longer run.
	OutcomeRefused
)

var outcomeNames = map[Outcome]string{
	OutcomeRun:     "run",
	OutcomeJoin:    "join",
	OutcomeDone:    "done",
	OutcomeSpent:   "spent",
	OutcomeUnknown: "unknown",
	OutcomeRefused: "refused",
}

// String returns the outcome's name.
func (o Outcome) String() string {
	return outcomeNames[o]
}

// Claim is the place of one request in the life of its operation.
type Claim struct {
	// Outcome says what to do.
	Outcome Outcome
	// Answer is the kept answer of OutcomeDone; it must not be changed.
	Answer []byte
	// Reason is the cause of OutcomeRefused.
	Reason string
	// Renewed is the token that may run the operation after OutcomeRefused.
	Renewed string
	// Done is closed when the run that OutcomeJoin waits for has ended.
	Done <-chan struct{}

	identity Identity
	ledger   *ledger
	record   *record
}

// Identity returns the identity that the claim was made with.
func (c Claim) Identity() Identity {
	return c.identity
}

// startable reports whether the claim's token may run the operation.
func (c Claim) startable() bool {
	return c.record.phase == phaseFree && c.record.generation == c.identity.Generation
}

// Result is how a run ended.
type Result struct {
	phase  phase
	answer []byte
	reason string
}

// Answered is the result of a run whose target answered; the encoded answer is kept.
func Answered(answer []byte) Result {
	return Result{phase: phaseAnswered, answer: answer}
}

// NotRun is the result of a run that surely reached no target.
func NotRun(reason string) Result {
	return Result{phase: phaseFree, reason: reason}
}

// Unknown is the result of a run that may have reached a target and brought no whole answer.
func Unknown() Result {
	return Result{phase: phaseUnknown}
}
