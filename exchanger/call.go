package exchanger

import (
	"bytes"
	"io"
	"net/http"
	"strings"

	"github.com/lesismal/nbio/nbhttp"
	"github.com/pkg/errors"
)

// MaxInterim is the number of interim answers (1xx) that are skipped before the answer.
const MaxInterim = 8

// headerEnd ends the header of an answer.
var headerEnd = []byte("\r\n\r\n")

// call collects the answer to one request from the parser's callbacks; its connection's lock
// guards it.
type call struct {
	method   string
	id       string
	idHeader string
	bounds   Bounds
	parser   *nbhttp.Parser
	answer   Answer
	headSize int
	interim  int
	started  bool
	finished bool
	// last says that the connection can't carry another exchange.
	last bool
	// unframed says that the body ends with the connection.
	unframed bool
	// head holds what was received up to the end of the header.
	head []byte
	err  error
	done chan struct{}
}

func newCall(r *Request, b Bounds) *call {
	c := &call{
		method:   r.Method,
		id:       r.ID,
		idHeader: r.idHeader(),
		bounds:   b,
		done:     make(chan struct{}),
	}
	c.answer.Header = http.Header{}
	return c
}

// feed parses data and reports whether the connection stays usable.
func (c *call) feed(data []byte) error {
	c.started = true
	if c.unframed {
		return c.appendUnframed(data)
	}
	if c.bounds.Unframed && c.answer.Status == 0 {
		c.head = append(c.head, data...)
	}
	err := c.parser.Parse(data)
	if c.unframed && !c.finished {
		return c.startUnframed()
	}
	if !c.finished {
		return c.reject(err)
	}
	if err != nil || c.err != nil || c.last || !c.clean() {
		c.last = true
		return ErrUnsolicited
	}
	return nil
}

// startUnframed takes what the parser got beyond the header for the beginning of the body.
func (c *call) startUnframed() error {
	body := c.head
	c.head = nil
	for range c.interim + 1 {
		_, rest, found := bytes.Cut(body, headerEnd)
		if !found {
			c.fail(ErrMalformed)
			return ErrMalformed
		}
		body = rest
	}
	return c.appendUnframed(body)
}

func (c *call) appendUnframed(data []byte) error {
	if len(c.answer.Body)+len(data) > c.bounds.BodyBytes {
		c.fail(ErrTooLarge)
		return ErrTooLarge
	}
	c.answer.Body = append(c.answer.Body, data...)
	return nil
}

// endUnframed ends a body that ends with the connection; only an orderly end makes it whole.
func (c *call) endUnframed(cause error) {
	if c.finished {
		return
	}
	if errors.Is(cause, io.EOF) {
		c.complete()
		return
	}
	c.fail(ErrTruncated)
}

func (c *call) reject(err error) error {
	if err == nil {
		return nil
	}
	if errors.Is(err, nbhttp.ErrTooLong) {
		c.fail(ErrTooLarge)
		return err
	}
	c.fail(errors.WithMessage(ErrMalformed, err.Error()))
	return err
}

// clean reports whether the parser holds no byte beyond the answer: only between two messages
// does it refuse a zero byte.
func (c *call) clean() bool {
	return errors.Is(c.parser.Parse([]byte{0}), nbhttp.ErrInvalidMethod)
}

func (c *call) fail(err error) {
	if c.finished {
		return
	}
	c.err = err
	c.finish()
}

func (c *call) finish() {
	c.finished = true
	close(c.done)
}

// OnMethod implements nbhttp.Processor.
func (c *call) OnMethod(*nbhttp.Parser, string) {}

// OnURL implements nbhttp.Processor.
func (c *call) OnURL(*nbhttp.Parser, string) error { return nil }

// OnTrailerHeader implements nbhttp.Processor.
func (c *call) OnTrailerHeader(*nbhttp.Parser, string, string) {
	c.fail(errors.WithMessage(ErrUnsupported, "trailer"))
}

// Close implements nbhttp.Processor.
func (c *call) Close(*nbhttp.Parser, error) {}

// Clean implements nbhttp.Processor.
func (c *call) Clean(*nbhttp.Parser) {}

// OnProto implements nbhttp.Processor.
func (c *call) OnProto(_ *nbhttp.Parser, proto string) error {
	if c.finished || c.unframed {
		c.last = true
		return ErrUnsolicited
	}
	switch proto {
	case "HTTP/1.1":
	case "HTTP/1.0":
		c.last = true
	default:
		return errors.Errorf("protocol %q", proto)
	}
	return nil
}

// OnStatus implements nbhttp.Processor.
func (c *call) OnStatus(_ *nbhttp.Parser, code int, reason string) {
	if code < http.StatusContinue || code > 999 {
		c.fail(errors.WithMessage(ErrMalformed, "status code"))
	}
	// The parser takes the first header field for the reason when the reason is empty.
	if strings.Contains(reason, ":") {
		c.fail(errors.WithMessage(ErrMalformed, "reason phrase"))
	}
	c.answer.Status = code
}

// OnHeader implements nbhttp.Processor.
func (c *call) OnHeader(_ *nbhttp.Parser, key, value string) {
	if c.finished {
		return
	}
	c.headSize += len(key) + len(value)
	if c.headSize > c.bounds.HeaderBytes {
		c.fail(ErrTooLarge)
		return
	}
	if strings.ContainsAny(value, "\n\x00") {
		c.fail(errors.WithMessage(ErrMalformed, "header value"))
		return
	}
	c.answer.Header.Add(key, value)
}

// OnContentLength implements nbhttp.Processor; the parser calls it at the end of the header.
func (c *call) OnContentLength(_ *nbhttp.Parser, length int) {
	if c.finished {
		return
	}
	if err := c.checkHeader(); err != nil {
		c.fail(err)
		return
	}
	chunked := c.answer.Header.Get("Transfer-Encoding") != ""
	if c.answer.Status < http.StatusOK {
		c.checkInterim(length, chunked)
		return
	}
	if !c.hasBody() {
		c.endAtHeader(length, chunked)
		return
	}
	c.checkLength(length, chunked)
}

func (c *call) checkInterim(length int, chunked bool) {
	if c.answer.Status == http.StatusSwitchingProtocols {
		c.fail(errors.WithMessage(ErrUnsupported, "upgrade"))
		return
	}
	if length > 0 || chunked {
		c.fail(errors.WithMessage(ErrMalformed, "interim answer with a body"))
	}
}

// endAtHeader ends an answer without a body, whose length field speaks of no bytes that follow.
func (c *call) endAtHeader(length int, chunked bool) {
	if length > 0 || chunked {
		c.last = true
		c.complete()
	}
}

func (c *call) checkLength(length int, chunked bool) {
	if length > c.bounds.BodyBytes {
		c.fail(ErrTooLarge)
		return
	}
	if length >= 0 || chunked {
		return
	}
	if !c.bounds.Unframed {
		c.fail(ErrUnframed)
		return
	}
	c.unframed = true
	c.last = true
}

func (c *call) hasBody() bool {
	if c.method == http.MethodHead {
		return false
	}
	return c.answer.Status != http.StatusNoContent && c.answer.Status != http.StatusNotModified
}

func (c *call) checkHeader() error {
	h := c.answer.Header
	lengths := h.Values("Content-Length")
	if len(lengths) > 1 {
		return errors.WithMessage(ErrMalformed, "several content lengths")
	}
	if len(lengths) == 1 && !isNumber(lengths[0]) {
		return errors.WithMessage(ErrMalformed, "content length")
	}
	if len(lengths) == 1 && h.Get("Transfer-Encoding") != "" {
		return errors.WithMessage(ErrMalformed, "content length and transfer encoding")
	}
	if h.Get("Trailer") != "" {
		return errors.WithMessage(ErrUnsupported, "trailer")
	}
	return nil
}

func isNumber(s string) bool {
	s = strings.TrimSpace(s)
	return s != "" && strings.Trim(s, "0123456789") == ""
}

// OnBody implements nbhttp.Processor.
func (c *call) OnBody(_ *nbhttp.Parser, data []byte) error {
	if c.finished {
		return ErrUnsolicited
	}
	if len(c.answer.Body)+len(data) > c.bounds.BodyBytes {
		c.fail(ErrTooLarge)
		return ErrTooLarge
	}
	c.answer.Body = append(c.answer.Body, data...)
	return nil
}

// OnComplete implements nbhttp.Processor.
func (c *call) OnComplete(*nbhttp.Parser) {
	if c.finished {
		return
	}
	if c.answer.Status < http.StatusOK {
		c.skipInterim()
		return
	}
	if !c.unframed {
		c.complete()
	}
}

func (c *call) skipInterim() {
	c.interim++
	if c.interim > MaxInterim {
		c.fail(errors.WithMessage(ErrMalformed, "too many interim answers"))
		return
	}
	c.answer = Answer{Header: http.Header{}}
}

func (c *call) complete() {
	if c.crossed() {
		c.fail(ErrCrossed)
		return
	}
	if hasToken(c.answer.Header.Values("Connection"), "close") {
		c.last = true
	}
	c.finish()
}

func (c *call) crossed() bool {
	if c.id == "" {
		return false
	}
	for _, echo := range c.answer.Header.Values(c.idHeader) {
		if echo != c.id {
			return true
		}
	}
	return false
}

func hasToken(values []string, token string) bool {
	for _, v := range values {
		for t := range strings.SplitSeq(v, ",") {
			if strings.EqualFold(strings.TrimSpace(t), token) {
				return true
			}
		}
	}
	return false
}
