package conductor

import "fmt"

// Kind classifies the package's errors.
type Kind string

const (
	// KindSettings is a settings file that can't be read or is invalid.
	KindSettings Kind = "settings"
	// KindStart is a component of the host that can't be built or can't listen.
	KindStart Kind = "start"
)

// Error is the error type of this package.
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
	return fmt.Sprintf("conductor: %s: %s: %v", e.Op, e.Kind, e.Err)
}

// Unwrap returns the cause.
func (e *Error) Unwrap() error {
	return e.Err
}
