package server

import (
	"bytes"
	"context"
	"io"
	"maps"
	"net/http"

	"github.com/pkg/errors"

	"github.com/fescuethread/fescuethread/limiter"
)

var errNoMemory = errors.New("too many bytes of responses are in transit")

// bufferedResponse holds a response until it is its turn to be written.
type bufferedResponse struct {
	// method is the request's method.
	method string
	// ctx is the request's context; it ends when the caller has left.
	ctx    context.Context
	header http.Header
	status int
	// account holds the bytes of body.
	account *limiter.Account
	body    [][]byte
	// dropped is set when there was no memory for the body.
	dropped bool
}

// Header implements http.ResponseWriter.
func (b *bufferedResponse) Header() http.Header {
	return b.header
}

// WriteHeader implements http.ResponseWriter.
func (b *bufferedResponse) WriteHeader(status int) {
	if b.status == 0 {
		b.status = status
	}
}

// Write implements http.ResponseWriter; it fails if the caller has left.
func (b *bufferedResponse) Write(data []byte) (int, error) {
	return b.writeBody(append([]byte(nil), data...))
}

// WriteBody writes data to w, which must not change afterwards: a Server's response refers to it.
func WriteBody(w http.ResponseWriter, data []byte) (int, error) {
	if b, ok := w.(*bufferedResponse); ok {
		return b.writeBody(data)
	}
	return w.Write(data)
}

func (b *bufferedResponse) writeBody(data []byte) (int, error) {
	b.WriteHeader(http.StatusOK)
	if err := b.ctx.Err(); err != nil {
		return 0, err
	}
	if b.dropped || !b.account.Take(len(data)) {
		b.drop()
		return 0, &Error{Op: "write response", Kind: KindMemory, Err: errNoMemory}
	}
	b.body = append(b.body, data)
	return len(data), nil
}

// drop replaces the response with 502, which promises nothing about the request.
func (b *bufferedResponse) drop() {
	b.dropped = true
	b.status = http.StatusBadGateway
	b.header = http.Header{"Content-Length": {"0"}}
	b.body = nil
}

// bodyAllowed reports whether a body may be sent; a caller would take it for the next response.
func (b *bufferedResponse) bodyAllowed() bool {
	return b.method != http.MethodHead &&
		b.status != http.StatusNoContent && b.status != http.StatusNotModified
}

// statusNamed reports whether the status has a registered name; the default, 200, has one.
func (b *bufferedResponse) statusNamed() bool {
	return b.status == 0 || http.StatusText(b.status) != ""
}

// encode returns the response to r as bytes, with the fields of header added.
func (b *bufferedResponse) encode(r *http.Request, header http.Header) []byte {
	h := b.header.Clone()
	maps.Copy(h, header)
	body := bytes.Join(b.body, nil)
	resp := http.Response{
		StatusCode: b.status, ProtoMajor: r.ProtoMajor, ProtoMinor: r.ProtoMinor, Request: r,
		Header: h, Body: io.NopCloser(bytes.NewReader(body)), ContentLength: int64(len(body)),
	}
	var data bytes.Buffer
	_ = resp.Write(&data) // A buffer's writes don't fail.
	return data.Bytes()
}

// copyTo writes the response to w.
func (b *bufferedResponse) copyTo(w http.ResponseWriter) {
	for name, values := range b.header {
		w.Header()[name] = values
	}
	if b.status == 0 {
		b.status = http.StatusOK
	}
	w.WriteHeader(b.status)
	if !b.bodyAllowed() {
		return
	}
	for _, data := range b.body {
		_, _ = w.Write(data)
	}
}
