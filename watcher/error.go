package watcher

import "fmt"

// Kind classifies the package's errors.
type Kind string

const (
	// KindRefused is a document that doesn't pass its check.
	KindRefused Kind = "refused"
	// KindFetch is a peer's answer that isn't the document asked for.
	KindFetch Kind = "fetch"
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
		return fmt.Sprintf("watcher: %s: %s", e.Op, e.Kind)
	}
	return fmt.Sprintf("watcher: %s: %s: %v", e.Op, e.Kind, e.Err)
}

// Unwrap returns the cause.
func (e *Error) Unwrap() error {
	return e.Err
}
