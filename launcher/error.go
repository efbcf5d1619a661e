package launcher

import "fmt"

// Kind classifies the package's errors.
type Kind string

const (
	// KindDuplicate is a name that is registered twice.
	KindDuplicate Kind = "duplicate"
	// KindMissing is a name without a registered service.
	KindMissing Kind = "missing"
	// KindRun is a service that ended with an error.
	KindRun Kind = "run"
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
		return fmt.Sprintf("launcher: %s: %s", e.Op, e.Kind)
	}
	return fmt.Sprintf("launcher: %s: %s: %v", e.Op, e.Kind, e.Err)
}

// Unwrap returns the cause.
func (e *Error) Unwrap() error {
	return e.Err
}
