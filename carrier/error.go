package carrier

import "fmt"

// Kind classifies the package's errors.
type Kind string

const (
	// KindCapacity is a lack of free slots.
	KindCapacity Kind = "capacity"
	// KindDeadline is a deadline that has passed or cannot be met.
	KindDeadline Kind = "deadline"
	// KindSuspect is a request that is suspected of crashing targets.
	KindSuspect Kind = "suspect"
)

// Error is the package's error: the operation, its kind and the cause.
type Error struct {
	// Op is the operation that failed.
	Op string
	// Kind classifies the failure.
	Kind Kind
	// Err is the cause.
	Err error
}

// Error formats the operation, the kind and the cause.
func (e *Error) Error() string {
	return fmt.Sprintf("carrier: %s: %s: %v", e.Op, e.Kind, e.Err)
}

// Unwrap returns the cause.
func (e *Error) Unwrap() error {
	return e.Err
}
