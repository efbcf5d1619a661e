package loader

import "fmt"

// Kind classifies the package's errors.
type Kind string

const (
	// KindRead is a file that cannot be read.
	KindRead Kind = "read"
	// KindSyntax is a file that is not TOML, or holds an unknown field or a wrong type.
	KindSyntax Kind = "syntax"
	// KindValue is a value that is impossible or clashes with another.
	KindValue Kind = "value"
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
	return fmt.Sprintf("loader: %s: %s: %v", e.Op, e.Kind, e.Err)
}

// Unwrap returns the cause.
func (e *Error) Unwrap() error {
	return e.Err
}
