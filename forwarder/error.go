package forwarder

import (
	"fmt"

	"github.com/pkg/errors"
)

// Kind says what is known of a failed request's run.
type Kind string

const (
	// KindNotRun is a request of which no byte can have reached the target.
	KindNotRun Kind = "not run"
	// KindUnknown is a request of which some byte may have reached the target.
	KindUnknown Kind = "unknown"
	// KindStart is a forwarder that could not be started.
	KindStart Kind = "start"
)

// Error is the package's error: the operation, its kind and the cause.
type Error struct {
	// Op is the operation that failed.
	Op string
	// Kind says what is known of the request's run.
	Kind Kind
	// Err is the cause; it may be nil.
	Err error
}

// Error formats the operation, the kind and the cause.
func (e *Error) Error() string {
	if e.Err == nil {
		return fmt.Sprintf("forwarder: %s: %s", e.Op, e.Kind)
	}
	return fmt.Sprintf("forwarder: %s: %s: %v", e.Op, e.Kind, e.Err)
}

// Unwrap returns the cause.
func (e *Error) Unwrap() error {
	return e.Err
}

// NotRun reports whether err proves that no byte of the request reached the target.
func NotRun(err error) bool {
	var e *Error
	return errors.As(err, &e) && e.Kind == KindNotRun
}
