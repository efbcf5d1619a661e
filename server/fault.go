package server

import (
	"fmt"
	"net/http"

	"github.com/lesismal/nbio/nbhttp"
	"github.com/pkg/errors"
)

// fault is an error response that ends a connection.
type fault struct {
	status  int
	message string
}

// Error formats the fault.
func (f *fault) Error() string {
	return fmt.Sprintf("%d: %s", f.status, f.message)
}

func headerTooLarge() *fault {
	return &fault{http.StatusRequestHeaderFieldsTooLarge, "the request header is too large"}
}

func bodyTooLarge() *fault {
	return &fault{http.StatusRequestEntityTooLarge, "the request body is too large"}
}

func ambiguousLength() *fault {
	return &fault{http.StatusBadRequest, "the request states its length more than once"}
}

func malformedField(name string) *fault {
	return &fault{http.StatusBadRequest, "the header field " + name + " is malformed"}
}

func malformedLine() *fault {
	return &fault{http.StatusBadRequest, "the request line is malformed"}
}

func spaceInName() *fault {
	return &fault{http.StatusBadRequest, "a header field's name holds a blank"}
}

func invalidHost() *fault {
	return &fault{http.StatusBadRequest, "the request does not name one host"}
}

func unsupportedVersion() *fault {
	return &fault{http.StatusHTTPVersionNotSupported, "only HTTP/1.0 and HTTP/1.1 are spoken"}
}

func requestTimeout() *fault {
	return &fault{http.StatusRequestTimeout, "the request did not arrive in time"}
}

// toFault converts an error of the parser to a fault.
func toFault(err error) *fault {
	var f *fault
	if errors.As(err, &f) {
		return f
	}
	if errors.Is(err, nbhttp.ErrTooLong) {
		return bodyTooLarge()
	}
	return &fault{http.StatusBadRequest, "the request is malformed"}
}

// response returns the complete HTTP response, with the header Connection: close.
func (f *fault) response() []byte {
	body := fmt.Sprintf("{\"error\":%q}\n", f.message)
	return fmt.Appendf(nil, "HTTP/1.1 %d %s\r\nContent-Type: application/json\r\n"+
		"Content-Length: %d\r\nConnection: close\r\n\r\n%s",
		f.status, http.StatusText(f.status), len(body), body)
}
