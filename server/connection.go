package server

import (
	"context"
	"sync"
	"sync/atomic"
	"time"

	"github.com/lesismal/nbio"
	"github.com/lesismal/nbio/nbhttp"

	"github.com/fescuethread/fescuethread/timer"
)

// connection is a connection of a caller.
type connection struct {
	raw       *nbio.Conn
	parser    *nbhttp.Parser
	processor *processor
	lines     lineCheck
	ctx       context.Context
	cancel    context.CancelFunc
	// refused is set after the first invalid or late request; all later input is ignored.
	refused atomic.Bool
	// readingSince is the arrival time of the incomplete request's first byte; 0 if there is none.
	// Bytes that arrive in one read with the end of the previous request are not counted.
	readingSince atomic.Int64
	// arrivedAt is the value of readingSince for the latest complete request.
	arrivedAt atomic.Int64
	// headerDone is set when the header of the incomplete request has been read.
	headerDone atomic.Bool
	// closeAt is the time at which to close the connection; 0 if it is not to be closed.
	closeAt atomic.Int64
	// closing is set when the server responds with Connection: close.
	closing atomic.Bool

	mu sync.Mutex
	// pending is the number of complete requests whose handler has not returned.
	pending int
}

func newConnection(ctx context.Context, raw *nbio.Conn, cfg *Config) *connection {
	c := &connection{raw: raw}
	c.ctx, c.cancel = context.WithCancel(ctx)
	c.processor = &processor{cfg: cfg, conn: c}
	return c
}

// begin adds a pending request; it returns false if there are too many.
func (c *connection) begin() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.pending >= maxPipelined {
		return false
	}
	c.pending++
	c.arrivedAt.Store(c.readingSince.Swap(0))
	c.headerDone.Store(false)
	return true
}

// end removes a pending request.
func (c *connection) end() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.pending--
}

func (c *connection) idle() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.pending == 0
}

// receive parses data and refuses the connection if there is a fault.
func (c *connection) receive(data []byte) {
	if len(data) == 0 || c.refused.Load() || (c.closing.Load() && c.idle()) {
		return
	}
	c.readingSince.CompareAndSwap(0, int64(timer.Now()))
	if f := c.parse(data); f != nil {
		c.refuse(f)
	}
}

// parse passes data to the parser in pieces, so that each header line is checked first.
func (c *connection) parse(data []byte) *fault {
	for len(data) > 0 {
		n := c.processor.nextPiece(data)
		if !c.headerDone.Load() {
			if f := c.lines.check(data[:n]); f != nil {
				return f
			}
		}
		err := c.parser.Parse(data[:n])
		if f := c.processor.fault; f != nil {
			return f
		}
		if err != nil {
			return toFault(err)
		}
		data = data[n:]
	}
	return nil
}

// refuse sends an error response and keeps the connection open for lingerTimeout, because closing
// a socket with unread input resets the connection and the caller would lose the response. With
// requests pending, it closes the connection at once.
func (c *connection) refuse(f *fault) {
	if c.refused.Swap(true) {
		return
	}
	if !c.idle() {
		_ = c.raw.CloseWithError(f)
		return
	}
	_, _ = c.raw.Write(f.response())
	_ = c.raw.SetReadDeadline(time.Now().Add(lingerTimeout))
}

// checkTimeouts closes the connection if closeAt has passed, and refuses it if an incomplete
// request takes too long to arrive.
func (c *connection) checkTimeouts(now timer.Instant, cfg *Config) {
	if at := timer.Instant(c.closeAt.Load()); at != 0 && now >= at && c.idle() {
		_ = c.raw.Close()
		return
	}
	limit := cfg.IdleTimeout
	if !c.headerDone.Load() {
		limit = min(limit, cfg.limits().HeaderTimeout)
	}
	since := timer.Instant(c.readingSince.Load())
	if since != 0 && now.Sub(since) >= limit {
		c.refuse(requestTimeout())
	}
}
