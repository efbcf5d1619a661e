package requester

import "fmt"

// Kind classifies the package's errors.
type Kind string

const (
	// KindRequest is an invalid request that was not sent.
	KindRequest Kind = "request"
	// KindUnreachable is a host that did not return a complete response.
	KindUnreachable Kind = "unreachable"
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
	return fmt.Sprintf("requester: %s: %s: %v", e.Op, e.Kind, e.Err)
}

// Unwrap returns the cause.
func (e *Error) Unwrap() error {
	return e.Err
}
