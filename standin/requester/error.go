package requester

import "fmt"

// Kind classifies the package's errors.
type Kind string

const (
	// KindConfig is a setting that is missing or out of bounds.
	KindConfig Kind = "config"
	// KindLookup is a look-up that no host answered with a usable host.
	KindLookup Kind = "lookup"
	// KindConnect is a connection that could not be opened.
	KindConnect Kind = "connect"
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
