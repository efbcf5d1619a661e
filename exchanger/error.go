package exchanger

import (
	"fmt"
	"syscall"

	"github.com/pkg/errors"
)

// Kind classifies an error by whether the server may have run the request.
type Kind string

const (
	// KindNotRun means that no byte of the request can have reached the server.
	KindNotRun Kind = "not run"
	// KindUnknown means that some bytes of the request may have reached the server.
	KindUnknown Kind = "unknown"
	// KindStart means that the exchanger failed to start.
	KindStart Kind = "start"
)

var (
	// ErrBusy is returned for an exchange on a connection that has one in flight.
	ErrBusy = errors.New("connection has an exchange in flight")
	// ErrClosed is returned when the connection, pool or exchanger is closed.
	ErrClosed = errors.New("connection, pool or exchanger is closed")
	// ErrDrained is the ErrClosed of a pool that was drained or closed.
	ErrDrained = errors.WithMessage(ErrClosed, "pool")
	// ErrFull is returned when a pool has reached its maximum of connections and none is idle.
	ErrFull = errors.New("all connections are in use")
	// ErrShortage is returned when this host lacks descriptors, memory or buffers for a connection;
	// it says nothing of the server.
	ErrShortage = errors.New("no descriptor, memory or buffer for a connection")
	// ErrRequest is returned for a request that can't be encoded.
	ErrRequest = errors.New("malformed request")
	// ErrNoResponse is returned when the connection fails before any byte of the response.
	ErrNoResponse = errors.New("connection closed before the response")
	// ErrStale is returned when a reused connection closes before any byte of the response.
	ErrStale = errors.New("reused connection closed before the response")
	// ErrTruncated is returned when the connection closes within the response.
	ErrTruncated = errors.New("connection closed within the response")
	// ErrUnread is returned when the connection closes within the request.
	ErrUnread = errors.New("connection closed before the server had the whole request")
	// ErrIDMismatch is returned for a response that carries the ID of another request.
	ErrIDMismatch = errors.New("response carries the ID of another request")
	// ErrUnidentified is returned for a response without the required ID on a reused connection: it
	// may belong to an earlier request.
	ErrUnidentified = errors.New("response without an ID on a reused connection")
	// ErrTooLarge is returned for a response that exceeds a size limit.
	ErrTooLarge = errors.New("response exceeds the size limit")
	// ErrEvicted is returned for a response that was given up because all responses together exceed
	// their limit.
	ErrEvicted = errors.New("response given up: too many bytes are being received")
	// ErrNoLength is returned for a close-delimited response where none is allowed.
	ErrNoLength = errors.New("response has no Content-Length or Transfer-Encoding")
	// ErrMalformed is returned for a response that violates HTTP.
	ErrMalformed = errors.New("malformed response")
	// ErrUnsupported is returned for a response that uses an unsupported part of HTTP.
	ErrUnsupported = errors.New("response uses an unsupported feature")
	// ErrUnsolicited is returned by Conn.Parse for data that belongs to no request.
	ErrUnsolicited = errors.New("unsolicited data")
)

// Error describes a failed operation.
type Error struct {
	// Op is the operation that failed.
	Op string
	// Kind tells whether the request may have run, or that the exchanger failed to start.
	Kind Kind
	// Err is the cause; it may be nil.
	Err error
}

// Error formats the operation, the kind and the cause.
func (e *Error) Error() string {
	if e.Err == nil {
		return fmt.Sprintf("exchanger: %s: %s", e.Op, e.Kind)
	}
	return fmt.Sprintf("exchanger: %s: %s: %v", e.Op, e.Kind, e.Err)
}

// Unwrap returns the cause.
func (e *Error) Unwrap() error {
	return e.Err
}

// NotRun reports whether err proves that no byte of the request reached the server.
func NotRun(err error) bool {
	var e *Error
	return errors.As(err, &e) && e.Kind == KindNotRun
}

// Disconnected reports whether the server ended the connection before the end of the response.
func Disconnected(err error) bool {
	return errors.Is(err, ErrStale) || errors.Is(err, ErrNoResponse) || errors.Is(err, ErrTruncated)
}

// Refused reports whether no connection could be opened because nothing listens at the address.
func Refused(err error) bool {
	return NotRun(err) && errors.Is(err, syscall.ECONNREFUSED)
}

// Shortage reports whether no connection could be opened because this host lacks what it takes.
func Shortage(err error) bool {
	return NotRun(err) && errors.Is(err, ErrShortage)
}

// shortage returns an ErrShortage with a cause.
func shortage(cause error) error {
	return errors.WithMessage(ErrShortage, cause.Error())
}

func notRun(op string, err error) error {
	return &Error{Op: op, Kind: KindNotRun, Err: err}
}

func unknown(op string, err error) error {
	return &Error{Op: op, Kind: KindUnknown, Err: err}
}
