package steerer

// Reason says how a request ended; it is written to responses, logs and metrics.
type Reason string

const (
	// ReasonAnswered means that a target's response was returned.
	ReasonAnswered Reason = "answered"
	// ReasonNoPlan means that the host has no configuration yet.
	ReasonNoPlan Reason = "no plan"
	// ReasonNoRoute means that no route matches.
	ReasonNoRoute Reason = "no route"
	// ReasonMalformed means that the deadline header is invalid or the body could not be read.
	ReasonMalformed Reason = "malformed"
	// ReasonUnknownKey means that the API key is missing, repeated or unknown.
	ReasonUnknownKey Reason = "unknown key"
	// ReasonStaleKeys means that the host's API keys or host list may be outdated, or that the key
	// was revoked while the request was being served.
	ReasonStaleKeys Reason = "keys not proved"
	// ReasonRateLimit means that the customer exceeds its rate limit.
	ReasonRateLimit Reason = "rate"
	// ReasonStopping means that the host is shutting down.
	ReasonStopping Reason = "stopping"
	// ReasonCrashesTargets means that the request is suspected of crashing targets.
	ReasonCrashesTargets Reason = "crashes targets"
	// ReasonFull means that no target has the capacity to respond in time.
	ReasonFull Reason = "full"
	// ReasonNoTarget means that the service has no usable target.
	ReasonNoTarget Reason = "no target"
	// ReasonHeldOff means that all usable targets have asked for a pause.
	ReasonHeldOff Reason = "held off"
	// ReasonShortage means that the host lacks descriptors, memory or buffers for a connection to a
	// target.
	ReasonShortage Reason = "shortage"
	// ReasonRetryBudget means that the service's retry budget is exhausted.
	ReasonRetryBudget Reason = "retry budget"
	// ReasonAttempts means that the maximum number of attempts was reached.
	ReasonAttempts Reason = "attempts"
	// ReasonResponseLost means that the request may have run, but its response was lost or unusable.
	ReasonResponseLost Reason = "answer lost"
	// ReasonTimeout means that the caller's deadline or the route's timeout was reached.
	ReasonTimeout Reason = "timeout"
	// ReasonCallerDisconnected means that the caller closed its connection.
	ReasonCallerDisconnected Reason = "caller left"
)
