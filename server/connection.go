package server

import (
	"container/list"
	"context"
	"sync"
	"sync/atomic"
	"time"

	"github.com/lesismal/nbio"

	"github.com/fescuethread/fescuethread/limiter"
	"github.com/fescuethread/fescuethread/rationer"
	"github.com/fescuethread/fescuethread/timer"
)

// connection is a connection of a caller.
type connection struct {
	server *Server
	raw    *nbio.Conn
	// out writes to raw and counts what the caller hasn't read.
	out    *sendConn
	reader *requestReader
	ctx    context.Context
	cancel context.CancelFunc
	// descriptors is the use that the connection's descriptor belongs to.
	descriptors *rationer.Use
	// refusal is the response to the first request, or sent at closeAt; nil if requests are served.
	refusal *fault

	// The server's idle list guards these: idleElement is the connection's place in it, idleSince the
	// time since when it is there, and gone is set when the connection has closed.
	idleElement *list.Element
	idleSince   timer.Instant
	gone        bool

	// refused is set after the first invalid or late request; all later input is ignored.
	refused atomic.Bool
	// readingSince is the arrival time of the incomplete request's first byte; 0 if there is none.
	readingSince atomic.Int64
	// arrivedAt is the value of readingSince for the latest complete request.
	arrivedAt atomic.Int64
	// headerDone is set when the header of the incomplete request has been read.
	headerDone atomic.Bool
	// closeAt is the time at which to close the connection; 0 if it is not to be closed.
	closeAt atomic.Int64

	mu sync.Mutex
	// pending is the number of complete requests whose response was not written.
	pending int
	// latest is the turn of the latest complete request; nil before the first one.
	latest *turn
	// closing is set when a response says Connection: close; nothing behind it is read.
	closing bool
	// lastRequest is set when no further request is read, so the last pending response closes the
	// connection.
	lastRequest bool
	// finalFault is the error response to send after the pending responses; nil if there is none.
	finalFault *fault
}

func newConnection(s *Server, raw *nbio.Conn) *connection {
	c := &connection{server: s, raw: raw}
	c.ctx, c.cancel = context.WithCancel(s.baseCtx)
	c.out = newSendConn(raw, s.cfg.Responses)
	c.reader = newRequestReader(c)
	return c
}

// begin adds a pending request, which holds account until it ends. It returns false if the request
// counts as not read: the connection is about to close, or too many requests are pending.
func (c *connection) begin(account *limiter.Account) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.pending >= maxPipelined || c.pending > 0 && c.server.keepAlivesDisabled.Load() {
		c.lastRequest = true
	}
	if c.closing || c.lastRequest {
		return false
	}
	c.pending++
	c.server.idle.remove(c)
	c.arrivedAt.Store(c.readingSince.Swap(0))
	c.headerDone.Store(false)
	previous := alreadyWritten
	if c.latest != nil {
		previous = c.latest.written
	}
	c.latest = &turn{conn: c, account: account, previous: previous, written: make(chan struct{})}
	return true
}

// alreadyWritten is the previous turn of a connection's first request.
var alreadyWritten = closedChannel()

func closedChannel() chan struct{} {
	c := make(chan struct{})
	close(c)
	return c
}

// execute runs the handler of the latest complete request and writes its response.
func (c *connection) execute(f func()) bool {
	c.mu.Lock()
	t := c.latest
	c.mu.Unlock()
	go func() {
		f()
		c.end(t)
	}()
	return true
}

// end ends the turn of a request whose response was written.
func (c *connection) end(t *turn) {
	t.account.Close()
	c.mu.Lock()
	c.pending--
	idle, closing, f := c.pending == 0, c.closing, c.finalFault
	c.mu.Unlock()
	close(t.written)
	if idle {
		c.server.idle.add(timer.Now(), c)
	}
	switch {
	case !idle:
		// The engine has set the idle timeout, but other requests are running.
		_ = c.raw.SetReadDeadline(time.Time{})
	case closing:
		// Closing at once would truncate the response: the engine does not wait for its write queue.
		c.closeAt.Store(int64(timer.Now().Add(lingerTimeout)))
	case f != nil:
		c.sendFault(f)
	}
}

// closesAfter reports whether the response to the only pending request must say
// Connection: close; want says that the caller or the server wants to end the connection.
func (c *connection) closesAfter(want bool) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.lastRequest = c.lastRequest || want
	if !c.lastRequest || c.pending > 1 || c.finalFault != nil {
		return false
	}
	c.closing = true
	return true
}

// retirement is what retire has found.
type retirement uint8

const (
	// retireNow means that the connection has no request; none that arrives later is read.
	retireNow retirement = iota
	// retirePending means that requests are pending.
	retirePending
	// retireLingering means that the caller may still be reading the last response.
	retireLingering
)

// retire ends the connection of a server that shuts down, unless it has a request or its last
// response may still be on its way.
func (c *connection) retire() retirement {
	c.mu.Lock()
	defer c.mu.Unlock()
	switch {
	case c.pending > 0:
		return retirePending
	case c.closing || c.refused.Load() || c.out.unsent():
		return retireLingering
	}
	c.closing = true
	return retireNow
}

// giveUp ends a connection without a request to free its descriptor. It returns false if a request
// has begun to arrive, or a response may be on its way; none that arrives later is read.
func (c *connection) giveUp() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	reading := c.readingSince.Load() != 0
	if c.pending > 0 || c.closing || reading || c.refused.Load() || c.out.unsent() {
		return false
	}
	c.closing = true
	return true
}

// ignoresInput reports whether no further request is read.
func (c *connection) ignoresInput() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.closing || c.lastRequest
}

func (c *connection) idle() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.pending == 0
}

// receive reads requests from data and refuses the connection if there is a fault.
func (c *connection) receive(data []byte) {
	if c.refusal != nil {
		c.refuse(c.refusal)
		return
	}
	if f := c.reader.read(data); f != nil {
		c.refuse(f)
	}
}

// refuse ends the connection with an error response, after the responses to the pending requests.
func (c *connection) refuse(f *fault) {
	if c.refused.Swap(true) {
		return
	}
	c.reader.close()
	c.mu.Lock()
	waits := c.pending > 0
	if waits {
		c.finalFault = f
	}
	c.mu.Unlock()
	if !waits {
		c.sendFault(f)
	}
}

// sendFault sends an error response and keeps the connection open for lingerTimeout, because
// closing a socket with unread input resets the connection and the caller would lose the response.
func (c *connection) sendFault(f *fault) {
	_, _ = c.out.Write(f.response())
	c.closeAt.Store(int64(timer.Now().Add(lingerTimeout)))
}

// checkTimeouts closes the connection if closeAt has passed, after a refusal that no request has
// asked for yet, and refuses it if an incomplete request takes too long to arrive.
func (c *connection) checkTimeouts(now timer.Instant, cfg *Config) {
	if at := timer.Instant(c.closeAt.Load()); at != 0 && now >= at && c.idle() && !c.out.unsent() {
		if c.refusal != nil && !c.refused.Load() {
			c.refuse(c.refusal)
			return
		}
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
