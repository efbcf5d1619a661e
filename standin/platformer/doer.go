package platformer

import (
	"bytes"
	"io"
	"net/http"

	"github.com/pkg/errors"
)

// errAborted stands for a connection that was closed without an answer.
var errAborted = errors.New("platformer: the connection was closed without an answer")

// Do serves a request in the caller's goroutine, as an HTTP client without a network would.
func (s *Server) Do(req *http.Request) (resp *http.Response, err error) {
	defer func() {
		v := recover()
		if v == nil {
			return
		}
		if v != http.ErrAbortHandler {
			panic(v)
		}
		resp, err = nil, errAborted
	}()
	if err := req.Context().Err(); err != nil {
		return nil, err
	}
	w := &recorder{header: make(http.Header), status: http.StatusOK}
	s.ServeHTTP(w, req)
	if err := req.Context().Err(); err != nil {
		return nil, err
	}
	return w.response(), nil
}

// recorder keeps a handler's answer.
type recorder struct {
	header http.Header
	status int
	body   bytes.Buffer
}

func (w *recorder) Header() http.Header { return w.header }

func (w *recorder) WriteHeader(status int) { w.status = status }

func (w *recorder) Write(b []byte) (int, error) { return w.body.Write(b) }

func (w *recorder) response() *http.Response {
	return &http.Response{StatusCode: w.status, Header: w.header, Body: io.NopCloser(&w.body)}
}
