package storer

import (
	"fmt"

	"github.com/pkg/errors"
)

// Kind classifies the package's errors.
type Kind string

const (
	// KindMissing is an object that doesn't exist.
	KindMissing Kind = "missing"
	// KindConflict is a write whose expected version wasn't the object's version; it had no effect.
	KindConflict Kind = "conflict"
	// KindTooLarge is a value above MaxBodyBytes.
	KindTooLarge Kind = "too large"
	// KindUnavailable is a call whose answer wasn't received; a write may have taken effect.
	KindUnavailable Kind = "unavailable"
	// KindInvalid is a call that the platform or the client refuses as malformed.
	KindInvalid Kind = "invalid"
	// KindUnknown is a write of which it can't be told whether it took effect.
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
		return fmt.Sprintf("storer: %s: %s", e.Op, e.Kind)
	}
	return fmt.Sprintf("storer: %s: %s: %v", e.Op, e.Kind, e.Err)
}

// Unwrap returns the cause.
func (e *Error) Unwrap() error {
	return e.Err
}

// IsKind reports whether err is an Error of a kind.
func IsKind(err error, kind Kind) bool {
	var e *Error
	return errors.As(err, &e) && e.Kind == kind
}
