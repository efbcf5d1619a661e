package relayer

import "fmt"

// Kind classifies the package's errors.
type Kind string

const (
	// KindUnknown is an unknown peer or subject, or content that this host doesn't have.
	KindUnknown Kind = "unknown"
	// KindCall is a failed call of a peer.
	KindCall Kind = "call"
	// KindMalformed is content that can't be encoded or decoded.
	KindMalformed Kind = "malformed"
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
		return fmt.Sprintf("relayer: %s: %s", e.Op, e.Kind)
	}
	return fmt.Sprintf("relayer: %s: %s: %v", e.Op, e.Kind, e.Err)
}

// Unwrap returns the cause.
func (e *Error) Unwrap() error {
	return e.Err
}
