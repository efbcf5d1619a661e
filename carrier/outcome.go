package carrier

import (
	"context"
	"net/http"
	"time"

	"github.com/pkg/errors"

	"github.com/fescuethread/fescuethread/messenger"
	"github.com/fescuethread/fescuethread/router"
)

// Reason is the short cause of an answer that is not a target's.
type Reason string

const (
	// ReasonMalformed is a request that cannot be understood.
	ReasonMalformed Reason = "malformed"
	// ReasonService is a service that the inventory does not name.
	ReasonService Reason = "unknown service"
	// ReasonKey is a missing, unknown or withdrawn key.
	ReasonKey Reason = "key"
	// ReasonStale is a keyed route on a host that may have missed a withdrawal.
	ReasonStale Reason = "keys stale"
	// ReasonForbidden is a service that the customer does not use.
	ReasonForbidden Reason = "forbidden"
	// ReasonIdentity is non-idempotent work without a usable operation identity.
	ReasonIdentity Reason = "operation identity"
	// ReasonConflict is an operation identity that was first used with another path or body.
	ReasonConflict Reason = "identity conflict"
	// ReasonLimit is a request above the customer's rate and burst.
	ReasonLimit Reason = "limit"
	// ReasonCapacity is a lack of free slots.
	ReasonCapacity Reason = "no capacity"
	// ReasonCaller is a caller who left.
	ReasonCaller Reason = "caller left"
	// ReasonCap is a cap on shifts or links that is used up.
	ReasonCap Reason = "cap"
	// ReasonDeadline is a deadline that has passed or cannot be met.
	ReasonDeadline Reason = "deadline"
	// ReasonTarget is a target that could not be reached or broke its answer off.
	ReasonTarget Reason = "target"
	// ReasonBroken is a target whose connection ended before the whole answer.
	ReasonBroken Reason = "connection broken"
	// ReasonPeer is a peer that could not be reached or did not answer.
	ReasonPeer Reason = "peer"
	// ReasonOwner is an operation whose owner is gone.
	ReasonOwner Reason = "owner gone"
	// ReasonSpent is an operation that was answered, whose answer is no longer kept.
	ReasonSpent Reason = "answer no longer kept"
	// ReasonSuspect is a request that is suspected of crashing targets.
	ReasonSuspect Reason = "suspect"
	// ReasonNotReady is a host without a configuration.
	ReasonNotReady Reason = "not ready"
)

// Loss tells how the connection to a target failed.
type Loss int

const (
	// LossNone is a connection that did not fail.
	LossNone Loss = iota
	// LossBroken is a connection that ended before the whole answer.
	LossBroken
	// LossRefused is a connection that the target refused.
	LossRefused
)

// Result is what is known of a request's run.
type Result struct {
	// Outcome tells whether the request was answered, not run or unknown.
	Outcome messenger.Outcome
	// Status is the HTTP status.
	Status int
	// Header holds the answer's header fields for the caller.
	Header http.Header
	// Body is the answer's whole body.
	Body []byte
	// Reason is the cause where no target answered.
	Reason Reason
	// Target is the target that answered.
	Target string
	// Loss tells how the connection to the target failed; it is known where the target was tried.
	Loss Loss
	// Host is the entry host that ran the request.
	Host string
	// Renewed is the token that may run a refused operation.
	Renewed string
	// Retry is the time after which a refused request may be sent again.
	Retry time.Duration
}

// notRun returns a refusal of something that surely did not run.
func notRun(status int, reason Reason) Result {
	return Result{Outcome: messenger.Outcome_OUTCOME_NOT_RUN, Status: status, Reason: reason}
}

// unknown returns a failure of something that may have run.
func unknown(status int, reason Reason) Result {
	return Result{Outcome: messenger.Outcome_OUTCOME_UNKNOWN, Status: status, Reason: reason}
}

// feedback is what the result tells of the zone that the request was passed to. A deadline says
// nothing: it may have been too short for any zone.
func (r Result) feedback() router.Feedback {
	if r.Outcome == messenger.Outcome_OUTCOME_ANSWERED {
		return router.FeedbackAnswered
	}
	if r.Outcome != messenger.Outcome_OUTCOME_NOT_RUN {
		return router.FeedbackNone
	}
	switch r.Reason {
	case ReasonCapacity, ReasonTarget, ReasonPeer, ReasonNotReady:
		return router.FeedbackRefused
	default:
		return router.FeedbackNone
	}
}

// WithOutcome returns the result with another outcome.
func (r Result) WithOutcome(o messenger.Outcome) Result {
	r.Outcome = o
	return r
}

// WithRetry returns the result with the time after which to send again.
func (r Result) WithRetry(d time.Duration) Result {
	r.Retry = d
	return r
}

// WithRenewed returns the result with a token that may run the refused operation.
func (r Result) WithRenewed(token string) Result {
	r.Renewed = token
	return r
}

// outcomeName returns the value of the outcome header.
func outcomeName(o messenger.Outcome) string {
	switch o {
	case messenger.Outcome_OUTCOME_ANSWERED:
		return "answered"
	case messenger.Outcome_OUTCOME_NOT_RUN:
		return "not run"
	default:
		return "unknown"
	}
}

// WithLoss returns the result with how the connection to the target failed.
func (r Result) WithLoss(l Loss) Result {
	r.Loss = l
	return r
}

// WithHost returns the result with the host that gave it.
func (r Result) WithHost(host string) Result {
	r.Host = host
	return r
}

// WithTarget returns the result with the target that was tried.
func (r Result) WithTarget(target string) Result {
	r.Target = target
	return r
}

// refusal turns an error of Slots into a refusal.
func refusal(err error) Result {
	var e *Error
	if errors.As(err, &e) && e.Kind == KindSuspect {
		return notRun(http.StatusServiceUnavailable, ReasonSuspect)
	}
	if errors.Is(err, context.DeadlineExceeded) || (e != nil && e.Kind == KindDeadline) {
		return notRun(http.StatusServiceUnavailable, ReasonDeadline)
	}
	return notRun(http.StatusServiceUnavailable, ReasonCapacity)
}

// answered returns an answer of this host's own.
func answered(status int, body []byte) Result {
	return Result{
		Outcome: messenger.Outcome_OUTCOME_ANSWERED,
		Status:  status,
		Header:  http.Header{"Content-Type": {"application/json"}},
		Body:    body,
	}
}
