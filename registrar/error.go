package registrar

import "fmt"

// Kind classifies the package's errors.
type Kind string

const (
	// KindSyntax is a document that isn't TOML.
	KindSyntax Kind = "syntax"
	// KindSize is a document above MaxBytes.
	KindSize Kind = "size"
	// KindInvalid is an inventory with faults; the cause is of type Faults.
	KindInvalid Kind = "invalid"
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
		return fmt.Sprintf("registrar: %s: %s", e.Op, e.Kind)
	}
	return fmt.Sprintf("registrar: %s: %s: %v", e.Op, e.Kind, e.Err)
}

// Unwrap returns the cause.
func (e *Error) Unwrap() error {
	return e.Err
}
