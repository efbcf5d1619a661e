package server

import "fmt"

// Kind classifies the package's errors.
type Kind string

const (
	// KindListen is a failure to listen or to accept connections.
	KindListen Kind = "listen"
	// KindStart is a failure to start the engine.
	KindStart Kind = "start"
	// KindMemory means that there is no memory for a message.
	KindMemory Kind = "memory"
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
	return fmt.Sprintf("server: %s: %s: %v", e.Op, e.Kind, e.Err)
}

// Unwrap returns the cause.
func (e *Error) Unwrap() error {
	return e.Err
}
