package exchanger

import (
	"net/http"
	"strings"

	"github.com/lesismal/nbio/nbhttp"
	"github.com/pkg/errors"

	"github.com/fescuethread/fescuethread/decoder"
)

const (
	// fieldOverheadBytes is the memory that a header field takes besides its bytes.
	fieldOverheadBytes = 128
	// maxStatus is the highest valid status code (RFC 9110, 15).
	maxStatus = 599
	// maxTrailerBytes is 0 because trailer fields aren't supported.
	maxTrailerBytes = 0
)

// OnProto implements nbhttp.Processor.
func (c *call) OnProto(_ *nbhttp.Parser, proto string) error {
	if c.finished || c.closeDelimited {
		c.closeAfter = true
		return ErrUnsolicited
	}
	c.http10 = proto == "HTTP/1.0"
	switch {
	case proto == "HTTP/1.1":
	case c.http10:
		c.closeAfter = true
	default:
		return errors.Errorf("unsupported protocol version %q", proto)
	}
	return nil
}

// OnStatus implements nbhttp.Processor.
func (c *call) OnStatus(_ *nbhttp.Parser, code int, reason string) {
	if code < http.StatusContinue || code > maxStatus {
		c.fail(errors.WithMessage(ErrMalformed, "invalid status code"))
	}
	// If the reason phrase is empty, the parser returns the first header field in its place.
	if strings.Contains(reason, ":") {
		c.fail(errors.WithMessage(ErrMalformed, "invalid reason phrase"))
	}
	c.response.Status = code
}

// OnHeader implements nbhttp.Processor.
func (c *call) OnHeader(_ *nbhttp.Parser, key, value string) {
	if c.finished {
		return
	}
	c.headerSize += len(key) + len(value)
	if c.headerSize > c.limits.MaxHeaderBytes {
		c.fail(ErrTooLarge)
		return
	}
	if strings.ContainsFunc(value, isControl) {
		c.fail(errors.WithMessage(ErrMalformed, "invalid character in a header value"))
		return
	}
	if !c.account.Take(fieldOverheadBytes) {
		c.fail(ErrEvicted)
		return
	}
	c.response.Header.Add(key, value)
}

// OnContentLength implements nbhttp.Processor; the parser calls it before the head's last byte.
func (c *call) OnContentLength(_ *nbhttp.Parser, length int) {
	c.headParsed = true
	c.statedLength = length
}

// endHead checks the head, which has arrived whole, and determines where the body ends.
func (c *call) endHead() {
	if c.finished || c.headEnded {
		return
	}
	c.headEnded = true
	if err := c.checkHeader(); err != nil {
		c.fail(err)
		return
	}
	length := c.statedLength
	chunked := c.response.Header.Get("Transfer-Encoding") != ""
	if c.response.Status < http.StatusOK {
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
	if c.response.Status == http.StatusSwitchingProtocols {
		c.fail(errors.WithMessage(ErrUnsupported, "protocol upgrade"))
		return
	}
	if length > 0 || chunked {
		c.fail(errors.WithMessage(ErrMalformed, "interim response with a body"))
	}
}

// endAtHeader completes a response that has no body although its header announces one, as for HEAD
// requests. The parser waits for that body, so the connection can't be reused.
func (c *call) endAtHeader(length int, chunked bool) {
	if length > 0 || chunked {
		c.closeAfter = true
		c.complete()
	}
}

func (c *call) checkLength(length int, chunked bool) {
	if length > c.limits.MaxBodyBytes {
		c.fail(ErrTooLarge)
		return
	}
	if chunked {
		c.chunked = decoder.NewChunked(c.limits.MaxBodyBytes, maxTrailerBytes)
		return
	}
	if length >= 0 {
		c.bytesLeft = length
		return
	}
	if !c.limits.AllowCloseDelimited {
		c.fail(ErrNoLength)
		return
	}
	c.closeDelimited = true
	c.closeAfter = true
}

func (c *call) hasBody() bool {
	if c.method == http.MethodHead {
		return false
	}
	return c.response.Status != http.StatusNoContent && c.response.Status != http.StatusNotModified
}

func (c *call) checkHeader() error {
	h := c.response.Header
	lengths := h.Values("Content-Length")
	if len(lengths) > 1 {
		return errors.WithMessage(ErrMalformed, "more than one Content-Length")
	}
	if len(lengths) == 1 && !isNumber(lengths[0]) {
		return errors.WithMessage(ErrMalformed, "invalid Content-Length")
	}
	if len(lengths) == 1 && h.Get("Transfer-Encoding") != "" {
		return errors.WithMessage(ErrMalformed, "both Content-Length and Transfer-Encoding")
	}
	if c.http10 && h.Get("Transfer-Encoding") != "" {
		return errors.WithMessage(ErrMalformed, "Transfer-Encoding in HTTP/1.0")
	}
	if h.Get("Trailer") != "" {
		return errors.WithMessage(ErrUnsupported, "trailer fields")
	}
	return nil
}

// isControl reports whether r is a control character that is forbidden in a field's value.
func isControl(r rune) bool {
	return r < ' ' && r != '\t' || r == '\x7f'
}

func isNumber(s string) bool {
	s = strings.TrimSpace(s)
	return s != "" && strings.Trim(s, "0123456789") == ""
}
