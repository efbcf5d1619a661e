package exchanger

import (
	"io"
	"net/http"
	"strings"

	"github.com/lesismal/nbio/nbhttp"
	"github.com/pkg/errors"

	"github.com/fescuethread/fescuethread/decoder"
	"github.com/fescuethread/fescuethread/limiter"
)

// MaxInterimResponses is the number of interim responses (1xx) accepted before the final one.
const MaxInterimResponses = 8

// call collects the response to one request from the parser's callbacks. The connection's mutex
// guards it.
type call struct {
	method   string
	id       string
	idHeader string
	limits   Limits
	// echoRequired is Request.EchoRequired.
	echoRequired bool
	// parser parses the heads; bodies don't go through it, because it keeps what it can't parse yet.
	parser *nbhttp.Parser
	head   headCheck
	// headParsed is set when the parser has found the end of the head, too.
	headParsed bool
	// headEnded is set when endHead was called.
	headEnded bool
	// statedLength is the Content-Length of the head; negative if it has none.
	statedLength int
	// account holds the bytes that were received.
	account      *limiter.Account
	response     Response
	headerSize   int
	interimCount int
	// http10 is set when the head's version is HTTP/1.0.
	http10 bool
	// firstOnConn is set when the connection carried no earlier exchange.
	firstOnConn bool
	started     bool
	finished    bool
	// closeAfter is set when the connection can't be reused after this exchange.
	closeAfter bool
	// bytesLeft is the number of bytes that a body of known length lacks.
	bytesLeft int
	// chunked decodes a chunked body; nil if the body isn't chunked.
	chunked *decoder.Chunked
	// closeDelimited is set when the end of the connection marks the end of the body.
	closeDelimited bool
	err            error
	done           chan struct{}
}

// newCall returns the call for the response to r. If all responses together exceed their limit and
// this one is the largest, onEvict is called in a goroutine of its own.
func newCall(r *Request, limits Limits, onEvict func(*call)) *call {
	c := &call{
		method:       r.Method,
		id:           r.ID,
		idHeader:     r.idHeader(),
		limits:       limits,
		echoRequired: r.EchoRequired,
		head:         headCheck{maxBytes: limits.MaxHeaderBytes},
		done:         make(chan struct{}),
	}
	c.account = limits.Transit.Open(func() { onEvict(c) })
	c.response.Header = http.Header{}
	return c
}

// feed parses data. The connection can't be used again after an error.
func (c *call) feed(data []byte) error {
	c.started = true
	if !c.account.Take(len(data)) {
		c.fail(ErrEvicted)
		return ErrEvicted
	}
	rest, err := c.feedHead(data)
	if err == nil {
		rest, err = c.feedBody(rest)
	}
	if !c.finished {
		return c.reject(err)
	}
	if err != nil || c.err != nil || c.closeAfter || len(rest) > 0 {
		c.closeAfter = true
		return ErrUnsolicited
	}
	return nil
}

// feedHead checks and parses the heads of interim responses and of the final one; it returns the
// data behind them.
func (c *call) feedHead(data []byte) ([]byte, error) {
	for !c.head.done && len(data) > 0 {
		n, err := c.head.scan(data)
		if err != nil {
			return nil, err
		}
		if err := c.parser.Parse(data[:n]); err != nil {
			return nil, err
		}
		data = data[n:]
	}
	if !c.head.done {
		return data, nil
	}
	if !c.headParsed {
		return nil, errors.WithMessage(ErrMalformed, "head without end for the parser")
	}
	c.endHead()
	return data, nil
}

// feedBody adds data to the body; it returns the data behind its end.
func (c *call) feedBody(data []byte) ([]byte, error) {
	for len(data) > 0 && !c.finished {
		n, err := c.feedBodyPart(data)
		if err != nil {
			return nil, err
		}
		data = data[n:]
	}
	return data, nil
}

// feedBodyPart adds the start of data to the body; it returns how many bytes it has read.
func (c *call) feedBodyPart(data []byte) (int, error) {
	n, part := len(data), data
	switch {
	case c.chunked != nil:
		var err error
		if n, part, err = c.chunked.Next(data); err != nil {
			return 0, chunkedError(err)
		}
	case !c.closeDelimited:
		n = min(n, c.bytesLeft)
		part = data[:n]
		c.bytesLeft -= n
	}
	if err := c.appendBody(part); err != nil {
		return 0, err
	}
	complete := c.bytesLeft == 0
	if c.chunked != nil {
		complete = c.chunked.Done()
	}
	if complete && !c.closeDelimited {
		c.complete()
	}
	return n, nil
}

// chunkedError converts an error of the decoder.
func chunkedError(err error) error {
	var e *decoder.Error
	if errors.As(err, &e) && e.Kind == decoder.KindBodyTooLarge {
		return ErrTooLarge
	}
	return errors.WithMessage(ErrMalformed, err.Error())
}

// appendBody adds data to the body, up to the limit.
func (c *call) appendBody(data []byte) error {
	if len(c.response.Body)+len(data) > c.limits.MaxBodyBytes {
		c.fail(ErrTooLarge)
		return ErrTooLarge
	}
	c.response.Body = append(c.response.Body, data...)
	return nil
}

// endCloseDelimited ends the response when the connection has closed. The response is complete
// only if the server closed the connection without a reset (io.EOF).
func (c *call) endCloseDelimited(cause error) {
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
		err = ErrTooLarge
	}
	if errors.Is(err, ErrTooLarge) || errors.Is(err, ErrMalformed) {
		c.fail(err)
		return err
	}
	c.fail(errors.WithMessage(ErrMalformed, err.Error()))
	return err
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

func (c *call) skipInterim() {
	c.interimCount++
	if c.interimCount > MaxInterimResponses {
		c.fail(errors.WithMessage(ErrMalformed, "too many interim responses"))
		return
	}
	c.response = Response{Header: http.Header{}}
	c.head = headCheck{maxBytes: c.limits.MaxHeaderBytes}
	c.headParsed = false
	c.headEnded = false
}

func (c *call) complete() {
	if c.idMismatch() {
		c.fail(ErrIDMismatch)
		return
	}
	c.response.Identified = c.firstOnConn || c.echoesID()
	if c.echoRequired && c.id != "" && !c.response.Identified {
		c.fail(ErrUnidentified)
		return
	}
	if hasToken(c.response.Header.Values("Connection"), "close") {
		c.closeAfter = true
	}
	c.finish()
}

// echoesID reports whether the response echoes the request's ID.
func (c *call) echoesID() bool {
	return c.id != "" && c.response.Header.Get(c.idHeader) == c.id
}

func (c *call) idMismatch() bool {
	if c.id == "" {
		return false
	}
	for _, echo := range c.response.Header.Values(c.idHeader) {
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
