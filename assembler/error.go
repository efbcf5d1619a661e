package assembler

import "fmt"

// Kind classifies the package's errors.
type Kind string

const (
	// KindStart is a service that cannot be built or started.
	KindStart Kind = "start"
	// KindCut is a stop that ended before the host had left.
	KindCut Kind = "cut"
	// KindPeer is a call to a host that the inventory does not name.
	KindPeer Kind = "peer"
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
	return fmt.Sprintf("assembler: %s: %s: %v", e.Op, e.Kind, e.Err)
}

// Unwrap returns the cause.
func (e *Error) Unwrap() error {
	return e.Err
}
