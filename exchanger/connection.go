package exchanger

import (
	"context"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"time"

	"github.com/lesismal/nbio"
	"github.com/lesismal/nbio/nbhttp"
	"github.com/pkg/errors"
)

// Conn is a connection to a server that carries one exchange at a time.
type Conn struct {
	nbc       *nbio.Conn
	exchanger *Exchanger
	address   string

	mu      sync.Mutex
	current *call
	count   int
	closed  bool
	// keep is how long the server keeps the connection open while idle; 0 is unsaid.
	keep time.Duration
	// ended is how the server ended the connection; nil is not yet.
	ended error
}

// Exchange sends r and returns its whole answer; when ctx ends first it closes the connection.
func (c *Conn) Exchange(ctx context.Context, r *Request) (*Answer, error) {
	data, err := r.encode(c.address)
	if err != nil {
		return nil, notRun("encode", err)
	}
	if err := ctx.Err(); err != nil {
		return nil, notRun("send", err)
	}
	w, err := c.begin(r)
	if err != nil {
		return nil, notRun("send", err)
	}
	if err := c.send(data); err != nil {
		return nil, err
	}
	select {
	case <-w.done:
	case <-ctx.Done():
		c.abandon(w, ctx.Err())
	case <-c.exchanger.closed:
		c.abandon(w, ErrClosed)
	}
	return c.end(w)
}

// Usable reports whether the connection can carry another exchange.
func (c *Conn) Usable() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return !c.closed && c.current == nil
}

// keepAlive returns how long the server keeps the connection open while idle; 0 is unsaid.
func (c *Conn) keepAlive() time.Duration {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.keep
}

// Close closes the connection; an exchange in flight fails.
func (c *Conn) Close() {
	c.mu.Lock()
	c.closed = true
	c.mu.Unlock()
	_ = c.nbc.Close()
}

// UnderlayerConn implements nbhttp.ParserCloser.
func (c *Conn) UnderlayerConn() net.Conn {
	return c.nbc
}

// Parse implements nbhttp.ParserCloser; the engine closes the connection when it fails.
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

// noteEnd remembers how the server ended the connection.
func (c *Conn) noteEnd(cause error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.closed = true
	if c.ended == nil {
		c.ended = cause
	}
}

// CloseAndClean implements nbhttp.ParserCloser; the engine calls it when the connection ended.
func (c *Conn) CloseAndClean(error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.closed = true
	switch {
	case c.current == nil:
	case c.current.unframed:
		c.current.endUnframed(c.ended)
	default:
		c.current.fail(c.lostCause())
	}
}

func (c *Conn) lostCause() error {
	if c.current.started {
		return ErrTruncated
	}
	if c.count > 1 {
		return ErrStale
	}
	return ErrLost
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
	w := newCall(r, c.exchanger.bounds)
	w.parser = nbhttp.NewParser(c.nbc, c.exchanger.engine, w, true, nil)
	c.current = w
	c.count++
	return w, nil
}

func (c *Conn) send(data []byte) error {
	_, err := c.nbc.Write(data)
	if err == nil {
		return nil
	}
	c.Close()
	c.clear()
	if errors.Is(err, net.ErrClosed) {
		return notRun("send", ErrClosed)
	}
	return unknown("send", errors.WithMessage(ErrLost, err.Error()))
}

func (c *Conn) abandon(w *call, cause error) {
	c.mu.Lock()
	w.fail(cause)
	c.mu.Unlock()
}

func (c *Conn) end(w *call) (*Answer, error) {
	if c.clear() {
		c.Close()
	}
	if w.err != nil {
		return nil, unknown("receive", w.err)
	}
	return &w.answer, nil
}

// clear ends the exchange in flight and reports whether the connection has to be closed.
func (c *Conn) clear() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	w := c.current
	c.current = nil
	if w.err != nil || w.last {
		c.closed = true
	}
	c.keep = statedKeepAlive(w.answer.Header)
	return c.closed
}

// statedKeepAlive reads how long a server keeps an idle connection open.
func statedKeepAlive(h http.Header) time.Duration {
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
