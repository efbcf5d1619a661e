package server

import (
	"fmt"
	"net/http"
	"time"

	"github.com/lesismal/nbio/nbhttp"
	"github.com/pkg/errors"

	"github.com/fescuethread/fescuethread/decoder"
)

// fault is an error response that ends a connection.
type fault struct {
	status  int
	message string
	// retryAfter is sent as the Retry-After header; 0 omits it.
	retryAfter time.Duration
}

func newFault(status int, message string) *fault {
	return &fault{status: status, message: message}
}

// Error formats the fault.
func (f *fault) Error() string {
	return fmt.Sprintf("%d: %s", f.status, f.message)
}

func headerTooLarge() *fault {
	return newFault(http.StatusRequestHeaderFieldsTooLarge, "the request header is too large")
}

func bodyTooLarge() *fault {
	return newFault(http.StatusRequestEntityTooLarge, "the request body is too large")
}

func ambiguousLength() *fault {
	return newFault(http.StatusBadRequest, "the request states its length more than once")
}

func malformedField(name string) *fault {
	return newFault(http.StatusBadRequest, "the header field "+name+" is malformed")
}

func malformedLine() *fault {
	return newFault(http.StatusBadRequest, "the request line is malformed")
}

func spaceInName() *fault {
	return newFault(http.StatusBadRequest, "a header field's name holds a blank")
}

func invalidHost() *fault {
	return newFault(http.StatusBadRequest, "the request does not name one host")
}

func unsupportedVersion() *fault {
	return newFault(http.StatusHTTPVersionNotSupported, "only HTTP/1.0 and HTTP/1.1 are spoken")
}

// outOfMemory refuses a request that wasn't read whole: it has not run, and others may be served.
func outOfMemory() *fault {
	f := newFault(http.StatusServiceUnavailable, "too many bytes of requests are in transit")
	f.retryAfter = overloadRetryAfter
	return f
}

// tooManyConnections refuses a request on a connection for which there is no descriptor.
func tooManyConnections() *fault {
	f := newFault(http.StatusServiceUnavailable, "too many connections")
	f.retryAfter = overloadRetryAfter
	return f
}

func requestTimeout() *fault {
	return newFault(http.StatusRequestTimeout, "the request did not arrive in time")
}

// toFault converts an error of the parser to a fault.
func toFault(err error) *fault {
	var f *fault
	if errors.As(err, &f) {
		return f
	}
	if errors.Is(err, nbhttp.ErrTooLong) {
		return headerTooLarge()
	}
	var e *decoder.Error
	if errors.As(err, &e) && e.Kind == decoder.KindBodyTooLarge {
		return bodyTooLarge()
	}
	if errors.As(err, &e) && e.Kind == decoder.KindTrailerTooLarge {
		return headerTooLarge()
	}
	return newFault(http.StatusBadRequest, "the request is malformed")
}

// response returns the complete HTTP response, with the header Connection: close.
func (f *fault) response() []byte {
	body := fmt.Sprintf("{\"error\":%q}\n", f.message)
	retryAfter := ""
	if f.retryAfter > 0 {
		retryAfter = fmt.Sprintf("Retry-After: %.3f\r\n", f.retryAfter.Seconds())
	}
	return fmt.Appendf(nil, "HTTP/1.1 %d %s\r\nContent-Type: application/json\r\n%s"+
		"Content-Length: %d\r\nConnection: close\r\n\r\n%s",
		f.status, http.StatusText(f.status), retryAfter, len(body), body)
}
