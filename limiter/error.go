package limiter

import "fmt"

// Kind classifies the package's errors.
type Kind string

const (
	// KindConfig is a limiter configuration that cannot work.
	KindConfig Kind = "config"
	// KindPlan is a plan with an invalid host, account or limit.
	KindPlan Kind = "plan"
	// KindVersion is a plan older than one that is already in force.
	KindVersion Kind = "version"
	// KindSequence is a loan request that was sent before one already taken.
	KindSequence Kind = "sequence"
	// KindReply is a loan reply that answers no outstanding request.
	KindReply Kind = "reply"
)

// Error is the package's error: the operation, its kind and the cause.
type Error struct {
	// Op is the operation that failed.
	Op string
	// Kind classifies the failure.
	Kind Kind
	// Err is the cause; it may be nil.
	Err error
}

// Error formats the operation, the kind and the cause.
func (e *Error) Error() string {
	if e.Err == nil {
		return fmt.Sprintf("limiter: %s: %s", e.Op, e.Kind)
	}
	return fmt.Sprintf("limiter: %s: %s: %v", e.Op, e.Kind, e.Err)
}

// Unwrap returns the cause.
func (e *Error) Unwrap() error {
	return e.Err
}
