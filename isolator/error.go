package isolator

import "fmt"

// Kind classifies the package's errors.
type Kind string

// KindEncoding is an encoded suspect that can't be decoded.
const KindEncoding Kind = "encoding"

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
		return fmt.Sprintf("isolator: %s: %s", e.Op, e.Kind)
	}
	return fmt.Sprintf("isolator: %s: %s: %v", e.Op, e.Kind, e.Err)
}

// Unwrap returns the cause.
func (e *Error) Unwrap() error {
	return e.Err
}
