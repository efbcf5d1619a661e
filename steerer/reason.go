package steerer

// Reason says why a request ended without a target's answer.
type Reason string

const (
	// ReasonAnswered is a request with a target's answer.
	ReasonAnswered Reason = "answered"
	// ReasonNoPlan is a host that knows no configuration yet.
	ReasonNoPlan Reason = "no plan"
	// ReasonRoute is a request that no route matches.
	ReasonRoute Reason = "no route"
	// ReasonMalformed is a request whose header can't be read.
	ReasonMalformed Reason = "malformed"
	// ReasonKey is a request without a known key.
	ReasonKey Reason = "unknown key"
	// ReasonProof is a keyed request while the known keys may be outdated.
	ReasonProof Reason = "keys not proved"
	// ReasonRate is a request beyond the customer's rate.
	ReasonRate Reason = "rate"
	// ReasonStopping is a host that takes no new work because it is about to end.
	ReasonStopping Reason = "stopping"
	// ReasonSuspect is a request that is held to crash targets.
	ReasonSuspect Reason = "crashes targets"
	// ReasonFull is a request that no target could answer in time.
	ReasonFull Reason = "full"
	// ReasonNoTarget is a service without a usable target.
	ReasonNoTarget Reason = "no target"
	// ReasonBudget is a request whose further try the budget of retries doesn't cover.
	ReasonBudget Reason = "retry budget"
	// ReasonAttempts is a request that has had all its tries.
	ReasonAttempts Reason = "attempts"
	// ReasonLost is a request whose target's answer was lost or unusable.
	ReasonLost Reason = "answer lost"
	// ReasonTimeout is a request that reached its deadline or its route's timeout.
	ReasonTimeout Reason = "timeout"
	// ReasonLeft is a request whose caller has left.
	ReasonLeft Reason = "caller left"
)
