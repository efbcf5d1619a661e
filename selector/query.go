package selector

import (
	"time"

	"github.com/fescuethread/fescuethread/timer"
)

// Reason says whether a request got a target, and if not, why.
type Reason string

const (
	// ReasonChosen means that the request has a target.
	ReasonChosen Reason = "chosen"
	// ReasonNoTarget means that the service has no target that the request may be sent to.
	ReasonNoTarget Reason = "no target"
	// ReasonHeldOff means that the targets that the request may be sent to have asked for a pause.
	ReasonHeldOff Reason = "held off"
	// ReasonFull means that the targets are too loaded to take the request or to respond in time.
	ReasonFull Reason = "full"
)

// Query describes a request that needs a target.
type Query struct {
	// Service is the name of the service.
	Service string
	// Route is the name of the route.
	Route string
	// Object identifies the object that the request is about, for cache affinity; it may be empty.
	Object string
	// HomeRegions are the only regions that may serve the request; nil means any region.
	HomeRegions []string
	// Objective is the route's latency objective; 0 means none.
	Objective time.Duration
	// Timeout is the time until the request's deadline.
	Timeout time.Duration
	// Priority is the request's priority; 0 is the most urgent.
	Priority int
	// CallerRetry says that the caller is retrying after a refusal or a failure.
	CallerRetry bool
	// Exclude lists the IDs of the targets that the request was already sent to.
	Exclude []string
	// Exclusive requires a target without other requests of this host.
	Exclusive bool
}

// Choice is the target of a request, or the reason why it has none.
type Choice struct {
	// Reason says whether there is a target, and if not, why.
	Reason Reason
	// Target is the chosen target, or an overloaded one if the request is refused.
	Target Target
	// Rule is the rule by which the target was chosen.
	Rule Rule
	// Move says whether and why the object had another target the last time; empty without an object.
	Move Move
	// Load is the estimated number of requests that run or wait at the target.
	Load float64
	// ExpectedLatency is the estimated time to the response.
	ExpectedLatency time.Duration
	// ColdFor is for how long the target counts as cold, 0 if it doesn't.
	ColdFor time.Duration
	// Limited says that the target gets no more requests than a cold one.
	Limited bool
	// Recent is the number of requests that this host sent the target in the last second.
	Recent int
	// RetryAfter is the delay after which the caller should retry a refused request.
	RetryAfter time.Duration

	target      *target
	sentAt      timer.Instant
	baseLatency time.Duration
	// queued says that the request was expected to wait for a slot.
	queued bool
}

// Chosen reports whether the request has a target.
func (c *Choice) Chosen() bool {
	return c.Reason == ReasonChosen
}

// Result is the result of an attempt at a target.
type Result struct {
	// Outcome classifies the result.
	Outcome Outcome
	// Report is the load that the target reported in the response, or nil.
	Report *Load
	// Leaving means that the target said in the response that it is shutting down.
	Leaving bool
	// Disconnected means that the target ended the connection before the end of the response.
	Disconnected bool
	// Refused means that nothing listens at the target's address.
	Refused bool
	// HoldFor is how long the target wants no further requests of this host; 0 if it didn't say.
	HoldFor time.Duration
	// Latency is the time from sending the request to the end of the attempt.
	Latency time.Duration
	// ConnectedAt is when the connection of the response was opened; 0 if unknown.
	ConnectedAt timer.Instant
	// BaseLatency is the latency that was expected without waiting for a slot; End sets it.
	BaseLatency time.Duration
}
