package exchanger

import (
	"bytes"
	"io"
	"net/http"
	"net/url"
	"strings"

	"github.com/pkg/errors"

	"github.com/fescuethread/fescuethread/timer"
)

// HeaderRequestID is the default header field for the request ID; a server may echo it.
const HeaderRequestID = "Fescuethread-Request"

// headEstimateBytes is the usual size of a request's head.
const headEstimateBytes = 1 << 10

// Request is a request to a server.
type Request struct {
	// ID is sent in the header field IDHeader. A response that echoes another ID is rejected. ID may
	// be empty.
	ID string
	// IDHeader is the header field that carries ID; empty stands for HeaderRequestID.
	IDHeader string
	// EchoRequired rejects responses without an ID on a connection that has carried other requests.
	EchoRequired bool
	// Check marks a health check: if the server ends the connection after it, that isn't told.
	Check bool
	// Method is the HTTP method.
	Method string
	// Path is an absolute path with an optional query.
	Path string
	// Host is the value of the Host header; empty stands for the server's address.
	Host string
	// Header holds the header fields.
	Header http.Header
	// Body is the whole body.
	Body []byte
}

// Response is a complete HTTP response.
type Response struct {
	// Status is the status code.
	Status int
	// Header holds the header fields as received.
	Header http.Header
	// Body is the whole body.
	Body []byte
	// Identified is set when the response echoes the ID of its request, or when its connection
	// carried no other request: it can't belong to an earlier one.
	Identified bool
	// ConnectedAt is when the connection was opened.
	ConnectedAt timer.Instant
}

func (r *Request) encode(address string) ([]byte, error) {
	u, err := parsePath(r.Path)
	if err != nil {
		return nil, err
	}
	q := &http.Request{Method: r.Method, URL: u, Host: r.host(address), Header: r.header()}
	if len(r.Body) > 0 {
		q.Body = io.NopCloser(bytes.NewReader(r.Body))
		q.ContentLength = int64(len(r.Body))
	}
	var b bytes.Buffer
	b.Grow(len(r.Body) + headEstimateBytes)
	if err := q.Write(&b); err != nil {
		return nil, errors.WithMessage(ErrRequest, err.Error())
	}
	return b.Bytes(), nil
}

func (r *Request) host(address string) string {
	if r.Host == "" {
		return address
	}
	return r.Host
}

func (r *Request) idHeader() string {
	if r.IDHeader == "" {
		return HeaderRequestID
	}
	return r.IDHeader
}

func (r *Request) header() http.Header {
	h := r.Header.Clone()
	if h == nil {
		h = http.Header{}
	}
	if r.ID != "" {
		h.Set(r.idHeader(), r.ID)
	}
	if _, ok := h["User-Agent"]; !ok {
		h.Set("User-Agent", "")
	}
	return h
}

func parsePath(path string) (*url.URL, error) {
	if !strings.HasPrefix(path, "/") {
		return nil, errors.WithMessage(ErrRequest, "path is not absolute")
	}
	if strings.ContainsFunc(path, invalidInPath) {
		return nil, errors.WithMessage(ErrRequest, "path contains a space or control character")
	}
	u, err := url.ParseRequestURI(path)
	if err != nil {
		return nil, errors.WithMessage(ErrRequest, err.Error())
	}
	return u, nil
}

func invalidInPath(c rune) bool {
	return c <= ' ' || c == 0x7f
}
