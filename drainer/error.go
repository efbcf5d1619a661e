package drainer

import "fmt"

// Kind classifies the package's errors.
type Kind string

const (
	// KindSyntax is a document that does not parse.
	KindSyntax Kind = "syntax"
	// KindUnknown is a drain of something that the inventory does not name.
	KindUnknown Kind = "unknown"
	// KindLast is a drain that would leave a service without a target or the fleet without a host.
	KindLast Kind = "last"
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
	return fmt.Sprintf("drainer: %s: %s: %v", e.Op, e.Kind, e.Err)
}

// Unwrap returns the cause.
func (e *Error) Unwrap() error {
	return e.Err
}
