package connector

import "fmt"

// Kind classifies the package's errors.
type Kind string

const (
	// KindUnsent is a call that was not sent, because no connection could be set up.
	KindUnsent Kind = "unsent"
	// KindUnanswered is a call that failed after it may have reached the peer.
	KindUnanswered Kind = "unanswered"
	// KindProtocol is a peer with another protocol version, a call before the handshake, or a
	// protocol that could not be registered.
	KindProtocol Kind = "protocol"
	// KindListen is a failure to listen on an address.
	KindListen Kind = "listen"
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
	return fmt.Sprintf("connector: %s: %s: %v", e.Op, e.Kind, e.Err)
}

// Unwrap returns the cause.
func (e *Error) Unwrap() error {
	return e.Err
}
