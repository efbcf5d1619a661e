package exchanger

import (
	"context"
	"sync"
	"time"

	"github.com/pkg/errors"

	"github.com/fescuethread/fescuethread/timer"
)

const (
	// DefaultMaxConnections is the default maximum of connections in a pool.
	DefaultMaxConnections = 64
	// DefaultIdleTimeout is the default time after which an idle connection is closed.
	DefaultIdleTimeout = 10 * time.Second
	// keepAlivePercent is the percentage of the server's keep-alive timeout during which an idle
	// connection is reused; the rest is a margin against reusing it as the server closes it.
	keepAlivePercent = 60
)

// PoolConfig configures a pool.
type PoolConfig struct {
	// Address is the server's address, host:port.
	Address string
	// MaxConnections is the maximum of open connections; 0 stands for the default.
	MaxConnections int
	// IdleTimeout is the time after which an idle connection is closed; 0 stands for the default.
	IdleTimeout time.Duration
	// OnIdleEnd is called when the server ends a connection between two exchanges; it must not block
	// and may be nil.
	OnIdleEnd func()
	// Now reads the clock; nil stands for timer.Now.
	Now func() timer.Instant
}

// Pool is a pool of connections to one server.
type Pool struct {
	exchanger *Exchanger
	cfg       PoolConfig

	mu      sync.Mutex
	idle    []idleConn
	conns   map[*Conn]struct{}
	dialing int
	closed  bool
}

type idleConn struct {
	conn  *Conn
	since timer.Instant
}

// NewPool returns an empty pool.
func NewPool(e *Exchanger, cfg PoolConfig) *Pool {
	if cfg.MaxConnections <= 0 {
		cfg.MaxConnections = DefaultMaxConnections
	}
	if cfg.IdleTimeout <= 0 {
		cfg.IdleTimeout = DefaultIdleTimeout
	}
	if cfg.Now == nil {
		cfg.Now = timer.Now
	}
	return &Pool{exchanger: e, cfg: cfg, conns: map[*Conn]struct{}{}}
}

// Exchange makes one exchange on an idle connection, or on a new one if none is idle.
func (p *Pool) Exchange(ctx context.Context, r *Request) (*Response, error) {
	return p.ExchangeRecentConn(ctx, r, p.cfg.IdleTimeout)
}

// ExchangeRecentConn makes one exchange on a connection that was idle for less than maxIdle, or on
// a new one.
func (p *Pool) ExchangeRecentConn(
	ctx context.Context, r *Request, maxIdle time.Duration,
) (*Response, error) {
	if c := p.takeIdle(maxIdle); c != nil {
		return p.exchangeIdle(ctx, c, r)
	}
	return p.ExchangeNewConn(ctx, r)
}

// exchangeIdle makes one exchange on a connection that was idle. If the connection ended before
// the request was sent, a new one takes its place.
func (p *Pool) exchangeIdle(ctx context.Context, c *Conn, r *Request) (*Response, error) {
	resp, err := p.exchangeOn(ctx, c, r)
	if NotRun(err) && errors.Is(err, ErrClosed) {
		return p.ExchangeNewConn(ctx, r)
	}
	return resp, err
}

// ExchangeNewConn makes one exchange on a new connection.
func (p *Pool) ExchangeNewConn(ctx context.Context, r *Request) (*Response, error) {
	c, err := p.dial(ctx)
	if err != nil {
		return nil, err
	}
	return p.exchangeOn(ctx, c, r)
}

// ExchangeWithRetry makes one exchange of an idempotent request. If a reused connection is stale,
// it retries once on a new connection.
func (p *Pool) ExchangeWithRetry(ctx context.Context, r *Request) (*Response, error) {
	resp, err := p.Exchange(ctx, r)
	if !errors.Is(err, ErrStale) {
		return resp, err
	}
	resp, retryErr := p.ExchangeNewConn(ctx, r)
	if NotRun(retryErr) {
		// The retry wasn't sent, but the first attempt may have run.
		return nil, err
	}
	return resp, retryErr
}

// Drain closes the idle connections now and the others after their current exchange. New
// exchanges fail.
func (p *Pool) Drain() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.closed = true
	for _, i := range p.idle {
		p.drop(i.conn)
	}
	p.idle = nil
}

// Sweep closes the idle connections that have timed out by now.
func (p *Pool) Sweep(now timer.Instant) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.prune(now)
}

// OldestIdle returns since when the longest idle connection has been idle; false if none is idle.
func (p *Pool) OldestIdle() (timer.Instant, bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if len(p.idle) == 0 {
		return 0, false
	}
	return p.idle[0].since, true
}

// CloseOldestIdle closes the longest idle connection; it returns false if none is idle.
func (p *Pool) CloseOldestIdle() bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	if len(p.idle) == 0 {
		return false
	}
	p.drop(p.idle[0].conn)
	p.idle = p.idle[1:]
	return true
}

// NumOpen returns the number of connections, including those being dialed.
func (p *Pool) NumOpen() int {
	p.mu.Lock()
	defer p.mu.Unlock()
	return len(p.conns) + p.dialing
}

// Close closes all connections; exchanges in flight fail.
func (p *Pool) Close() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.closed = true
	p.idle = nil
	for c := range p.conns {
		c.Close()
	}
	clear(p.conns)
}

func (p *Pool) exchangeOn(ctx context.Context, c *Conn, r *Request) (*Response, error) {
	resp, err := c.Exchange(ctx, r)
	p.putBack(c)
	return resp, err
}

// takeIdle returns the most recently used idle connection, or nil if it was idle for maxIdle or
// longer.
func (p *Pool) takeIdle(maxIdle time.Duration) *Conn {
	p.mu.Lock()
	defer p.mu.Unlock()
	now := p.cfg.Now()
	p.prune(now)
	n := len(p.idle)
	if n == 0 || now.Sub(p.idle[n-1].since) >= maxIdle {
		return nil
	}
	c := p.idle[n-1].conn
	p.idle = p.idle[:n-1]
	return c
}

func (p *Pool) putBack(c *Conn) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.closed || !c.Usable() {
		c.Close()
		delete(p.conns, c)
		return
	}
	p.idle = append(p.idle, idleConn{conn: c, since: p.cfg.Now()})
}

func (p *Pool) dial(ctx context.Context) (*Conn, error) {
	if err := p.reserve(); err != nil {
		return nil, notRun("dial", err)
	}
	c, err := p.exchanger.dial(ctx, p.cfg.Address, p.cfg.OnIdleEnd)
	p.mu.Lock()
	defer p.mu.Unlock()
	p.dialing--
	if err != nil {
		return nil, err
	}
	if p.closed {
		c.Close()
		return nil, notRun("dial", ErrDrained)
	}
	p.conns[c] = struct{}{}
	return c, nil
}

// reserve makes room for a new connection. If the pool is full, it closes the longest idle one.
func (p *Pool) reserve() error {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.closed {
		return ErrDrained
	}
	p.prune(p.cfg.Now())
	if len(p.conns)+p.dialing >= p.cfg.MaxConnections {
		if len(p.idle) == 0 {
			return ErrFull
		}
		p.drop(p.idle[0].conn)
		p.idle = p.idle[1:]
	}
	p.dialing++
	return nil
}

func (p *Pool) prune(now timer.Instant) {
	kept := p.idle[:0]
	for _, i := range p.idle {
		if now.Sub(i.since) >= p.idleTimeout(i.conn) || !i.conn.Usable() {
			p.drop(i.conn)
			continue
		}
		kept = append(kept, i)
	}
	p.idle = kept
}

// idleTimeout returns how long c may be idle: the configured time, or less if the server stated a
// keep-alive timeout.
func (p *Pool) idleTimeout(c *Conn) time.Duration {
	if keep := c.keepAliveTimeout(); keep > 0 {
		return min(p.cfg.IdleTimeout, keep*keepAlivePercent/100)
	}
	return p.cfg.IdleTimeout
}

func (p *Pool) drop(c *Conn) {
	c.Close()
	delete(p.conns, c)
}
