package applier

import "fmt"

// Kind classifies the package's errors.
type Kind string

const (
	// KindConflict is a change that another one came before; it had no effect and never will.
	KindConflict Kind = "conflict"
	// KindUnknown is a change that may have been accepted.
	KindUnknown Kind = "unknown"
	// KindRefused is a change that the platform doesn't take.
	KindRefused Kind = "refused"
	// KindPending is a change that isn't in force everywhere yet.
	KindPending Kind = "pending"
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
		return fmt.Sprintf("applier: %s: %s", e.Op, e.Kind)
	}
	return fmt.Sprintf("applier: %s: %s: %v", e.Op, e.Kind, e.Err)
}

// Unwrap returns the cause.
func (e *Error) Unwrap() error {
	return e.Err
}
