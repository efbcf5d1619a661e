package exchanger

import (
	"context"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"github.com/lesismal/nbio"
	"github.com/lesismal/nbio/nbhttp"
	"github.com/pkg/errors"

	"github.com/fescuethread/fescuethread/timer"
)

// Conn is a connection to a server. It carries one exchange at a time, without pipelining.
type Conn struct {
	nbc       *nbio.Conn
	exchanger *Exchanger
	address   string

	// unsentBytes is the number of bytes of requests that the kernel hasn't taken.
	unsentBytes atomic.Int64

	mu sync.Mutex
	// current is the exchange in flight, or nil.
	current   *call
	exchanges int
	closed    bool
	// keepAlive is the idle timeout that the server stated; 0 if none.
	keepAlive time.Duration
	// readErr is the first read or parse error; io.EOF if the server closed the connection.
	readErr  error
	openedAt timer.Instant
	// checked says that the last exchange was a health check.
	checked bool
	// releaseOnce guards the release of the connection's descriptor.
	releaseOnce sync.Once
	// onIdleEnd is called when the server ends the connection between two exchanges; it may be nil.
	onIdleEnd func()
}

// Exchange sends r and returns the complete response. It closes the connection if ctx ends first.
func (c *Conn) Exchange(ctx context.Context, r *Request) (*Response, error) {
	data, err := r.encode(c.address)
	if err != nil {
		return nil, notRun("encode", err)
	}
	if err := ctx.Err(); err != nil {
		return nil, notRun("send", err)
	}
	cl, err := c.begin(r)
	if err != nil {
		return nil, notRun("send", err)
	}
	if err := c.send(data); err != nil {
		return nil, err
	}
	select {
	case <-cl.done:
	case <-ctx.Done():
		c.abandon(cl, ctx.Err())
	case <-c.exchanger.closed:
		c.abandon(cl, ErrClosed)
	}
	return c.end(cl)
}

// Usable reports whether the connection can carry another exchange.
func (c *Conn) Usable() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return !c.closed && c.current == nil
}

// keepAliveTimeout returns the idle timeout that the server stated; 0 if none.
func (c *Conn) keepAliveTimeout() time.Duration {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.keepAlive
}

// Close closes the connection; an exchange in flight fails.
func (c *Conn) Close() {
	c.mu.Lock()
	c.closed = true
	c.mu.Unlock()
	_ = c.nbc.Close()
	c.releaseDescriptor()
}

// releaseDescriptor returns the descriptor of a connection that has closed.
func (c *Conn) releaseDescriptor() {
	c.releaseOnce.Do(c.exchanger.descriptors.Release)
}

// UnderlayerConn implements nbhttp.ParserCloser.
func (c *Conn) UnderlayerConn() net.Conn {
	return c.nbc
}

// Parse implements nbhttp.ParserCloser. The caller closes the connection after an error.
func (c *Conn) Parse(data []byte) error {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.current == nil || c.current.finished {
		c.closed = true
		return ErrUnsolicited
	}
	err := c.current.feed(data)
	if err != nil {
		c.closed = true
	}
	return err
}

// setReadErr records the error that ended reading.
func (c *Conn) setReadErr(cause error) {
	c.mu.Lock()
	endedIdle := !c.closed && c.current == nil && !c.checked
	c.closed = true
	if c.readErr == nil {
		c.readErr = cause
	}
	c.mu.Unlock()
	if endedIdle && c.onIdleEnd != nil {
		c.onIdleEnd()
	}
}

// CloseAndClean implements nbhttp.ParserCloser; the engine calls it after the connection closed.
func (c *Conn) CloseAndClean(error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.releaseDescriptor()
	c.closed = true
	switch {
	case c.current == nil:
	case c.current.closeDelimited:
		c.current.endCloseDelimited(c.readErr)
	default:
		c.current.fail(c.closeCause())
	}
}

func (c *Conn) closeCause() error {
	if c.current.started {
		return ErrTruncated
	}
	if c.exchanges > 1 {
		return ErrStale
	}
	return ErrNoResponse
}

func (c *Conn) begin(r *Request) (*call, error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.current != nil {
		return nil, ErrBusy
	}
	if c.closed {
		return nil, ErrClosed
	}
	cl := newCall(r, c.exchanger.limits, c.evict)
	cl.parser = nbhttp.NewParser(c.nbc, c.exchanger.engine, cl, true, nil)
	cl.firstOnConn = c.exchanges == 0
	c.current = cl
	c.checked = r.Check
	c.exchanges++
	return cl, nil
}

func (c *Conn) send(data []byte) error {
	c.unsentBytes.Add(int64(len(data)))
	_, err := c.nbc.Write(data)
	if err == nil {
		return nil
	}
	c.Close()
	c.release()
	if errors.Is(err, net.ErrClosed) {
		return notRun("send", ErrClosed)
	}
	return unknown("send", errors.WithMessage(ErrNoResponse, err.Error()))
}

func (c *Conn) abandon(cl *call, cause error) {
	c.mu.Lock()
	cl.fail(cause)
	c.mu.Unlock()
}

// evict gives up a response to free its memory.
func (c *Conn) evict(cl *call) {
	c.mu.Lock()
	current := c.current == cl
	if current {
		cl.fail(ErrEvicted)
		c.closed = true
	}
	c.mu.Unlock()
	if current {
		_ = c.nbc.CloseWithError(ErrEvicted)
	}
}

func (c *Conn) end(cl *call) (*Response, error) {
	if c.release() {
		c.Close()
	}
	if cl.err != nil {
		return nil, unknown("receive", cl.err)
	}
	// The call refers to the parser and its buffer.
	resp := cl.response
	resp.ConnectedAt = c.openedAt
	return &resp, nil
}

// release ends the exchange in flight and reports whether the connection must be closed.
func (c *Conn) release() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	cl := c.current
	c.current = nil
	cl.account.Close()
	if cl.err != nil || cl.closeAfter {
		c.closed = true
	}
	c.keepAlive = parseKeepAlive(cl.response.Header)
	return c.closed
}

// parseKeepAlive returns the timeout of the Keep-Alive header; 0 if there is none.
func parseKeepAlive(h http.Header) time.Duration {
	for _, v := range h.Values("Keep-Alive") {
		for part := range strings.SplitSeq(v, ",") {
			name, value, _ := strings.Cut(strings.TrimSpace(part), "=")
			seconds, err := strconv.ParseUint(value, 10, 16)
			if strings.EqualFold(name, "timeout") && err == nil {
				return time.Duration(seconds) * time.Second
			}
		}
	}
	return 0
}
