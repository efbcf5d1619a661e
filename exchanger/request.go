package exchanger

import (
	"bytes"
	"io"
	"net/http"
	"net/url"
	"strings"

	"github.com/pkg/errors"
)

// HeaderRequest carries the request's id to the server; a server may echo it.
const HeaderRequest = "Fescuethread-Request"

// Request is one request to a server.
type Request struct {
	// ID is sent in the field IDHeader and compared with the answer's; it may be empty.
	ID string
	// IDHeader is the header field that carries ID; empty stands for HeaderRequest.
	IDHeader string
	// Method is the HTTP method.
	Method string
	// Path is the request target: an absolute path and perhaps a query.
	Path string
	// Host is sent as the Host header; empty stands for the server's address.
	Host string
	// Header holds the header fields.
	Header http.Header
	// Body is the whole body.
	Body []byte
}

// Answer is one whole answer.
type Answer struct {
	// Status is the status code.
	Status int
	// Header holds the header fields as received.
	Header http.Header
	// Body is the whole body.
	Body []byte
}

func (r *Request) encode(address string) ([]byte, error) {
	u, err := parseTarget(r.Path)
	if err != nil {
		return nil, err
	}
	q := &http.Request{Method: r.Method, URL: u, Host: r.host(address), Header: r.header()}
	if len(r.Body) > 0 {
		q.Body = io.NopCloser(bytes.NewReader(r.Body))
		q.ContentLength = int64(len(r.Body))
	}
	var b bytes.Buffer
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
		return HeaderRequest
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

func parseTarget(path string) (*url.URL, error) {
	if !strings.HasPrefix(path, "/") {
		return nil, errors.WithMessage(ErrRequest, "path is not absolute")
	}
	if strings.ContainsFunc(path, invalidInTarget) {
		return nil, errors.WithMessage(ErrRequest, "path holds a blank or control character")
	}
	u, err := url.ParseRequestURI(path)
	if err != nil {
		return nil, errors.WithMessage(ErrRequest, err.Error())
	}
	return u, nil
}

func invalidInTarget(c rune) bool {
	return c <= ' ' || c == 0x7f
}
