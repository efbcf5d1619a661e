package locator

import "fmt"

// Kind classifies the package's errors.
type Kind string

const (
	// KindQuery is a query that can't be read.
	KindQuery Kind = "query"
	// KindUnknown is a query for a service or place that the inventory doesn't list.
	KindUnknown Kind = "unknown"
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
		return fmt.Sprintf("locator: %s: %s", e.Op, e.Kind)
	}
	return fmt.Sprintf("locator: %s: %s: %v", e.Op, e.Kind, e.Err)
}

// Unwrap returns the cause.
func (e *Error) Unwrap() error {
	return e.Err
}
