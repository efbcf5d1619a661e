package exchanger

import (
	"context"
	"sync"
	"time"

	"github.com/pkg/errors"

	"github.com/fescuethread/fescuethread/timer"
)

const (
	// DefaultConnections bounds the connections of a pool.
	DefaultConnections = 64
	// DefaultIdleAge is the time after which an idle connection is closed.
	DefaultIdleAge = 10 * time.Second
	// keepPercent is the part of the time that a server keeps an idle connection within which it
	// is used again.
	keepPercent = 60
)

// PoolConfig sets up a pool.
type PoolConfig struct {
	// Address is the server's address.
	Address string
	// Connections bounds the open connections.
	Connections int
	// IdleAge is the time after which an idle connection is closed.
	IdleAge time.Duration
	// Now reads the clock.
	Now func() timer.Instant
}

// Pool holds a bounded number of connections to one server.
type Pool struct {
	exchanger *Exchanger
	cfg       PoolConfig

	mu     sync.Mutex
	idle   []idleConn
	open   map[*Conn]struct{}
	dials  int
	closed bool
}

type idleConn struct {
	conn  *Conn
	since timer.Instant
}

// NewPool returns a pool without connections; zero settings stand for the defaults.
func NewPool(e *Exchanger, cfg PoolConfig) *Pool {
	if cfg.Connections <= 0 {
		cfg.Connections = DefaultConnections
	}
	if cfg.IdleAge <= 0 {
		cfg.IdleAge = DefaultIdleAge
	}
	if cfg.Now == nil {
		cfg.Now = timer.Now
	}
	return &Pool{exchanger: e, cfg: cfg, open: map[*Conn]struct{}{}}
}

// Exchange makes one exchange on an idle connection or a new one.
func (p *Pool) Exchange(ctx context.Context, r *Request) (*Answer, error) {
	return p.ExchangeRecent(ctx, r, p.cfg.IdleAge)
}

// ExchangeRecent makes one exchange on a connection that was idle for less than age, or on a new
// one.
func (p *Pool) ExchangeRecent(
	ctx context.Context, r *Request, age time.Duration,
) (*Answer, error) {
	if c := p.takeIdle(age); c != nil {
		return p.run(ctx, c, r)
	}
	return p.ExchangeFresh(ctx, r)
}

// ExchangeFresh makes one exchange on a new connection.
func (p *Pool) ExchangeFresh(ctx context.Context, r *Request) (*Answer, error) {
	c, err := p.dial(ctx)
	if err != nil {
		return nil, err
	}
	return p.run(ctx, c, r)
}

// ExchangeAgain makes one exchange of an idempotent request and repeats it once, on a new
// connection, when a reused one turns out to be stale.
func (p *Pool) ExchangeAgain(ctx context.Context, r *Request) (*Answer, error) {
	a, err := p.Exchange(ctx, r)
	if !errors.Is(err, ErrStale) {
		return a, err
	}
	a, again := p.ExchangeFresh(ctx, r)
	if NotRun(again) {
		// The first try may have run.
		return nil, err
	}
	return a, again
}

// Retire closes the idle connections now and the others after their exchange.
func (p *Pool) Retire() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.closed = true
	for _, i := range p.idle {
		p.drop(i.conn)
	}
	p.idle = nil
}

// Sweep closes the connections that have been idle for too long.
func (p *Pool) Sweep(now timer.Instant) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.prune(now)
}

// Open returns the number of connections, those being dialled included.
func (p *Pool) Open() int {
	p.mu.Lock()
	defer p.mu.Unlock()
	return len(p.open) + p.dials
}

// Close closes all connections; exchanges in flight fail.
func (p *Pool) Close() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.closed = true
	p.idle = nil
	for c := range p.open {
		c.Close()
	}
	clear(p.open)
}

func (p *Pool) run(ctx context.Context, c *Conn, r *Request) (*Answer, error) {
	a, err := c.Exchange(ctx, r)
	p.putBack(c)
	return a, err
}

// takeIdle returns the connection that was used last, if it was idle for less than age.
func (p *Pool) takeIdle(age time.Duration) *Conn {
	p.mu.Lock()
	defer p.mu.Unlock()
	now := p.cfg.Now()
	p.prune(now)
	n := len(p.idle)
	if n == 0 || now.Sub(p.idle[n-1].since) >= age {
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
		delete(p.open, c)
		return
	}
	p.idle = append(p.idle, idleConn{conn: c, since: p.cfg.Now()})
}

func (p *Pool) dial(ctx context.Context) (*Conn, error) {
	if err := p.reserve(); err != nil {
		return nil, notRun("dial", err)
	}
	c, err := p.exchanger.Dial(ctx, p.cfg.Address)
	p.mu.Lock()
	defer p.mu.Unlock()
	p.dials--
	if err != nil {
		return nil, err
	}
	if p.closed {
		c.Close()
		return nil, notRun("dial", ErrClosed)
	}
	p.open[c] = struct{}{}
	return c, nil
}

// reserve makes room for a new connection, if need be in place of the oldest idle one.
func (p *Pool) reserve() error {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.closed {
		return ErrClosed
	}
	p.prune(p.cfg.Now())
	if len(p.open)+p.dials >= p.cfg.Connections {
		if len(p.idle) == 0 {
			return ErrFull
		}
		p.drop(p.idle[0].conn)
		p.idle = p.idle[1:]
	}
	p.dials++
	return nil
}

func (p *Pool) prune(now timer.Instant) {
	kept := p.idle[:0]
	for _, i := range p.idle {
		if now.Sub(i.since) >= p.idleAge(i.conn) || !i.conn.Usable() {
			p.drop(i.conn)
			continue
		}
		kept = append(kept, i)
	}
	p.idle = kept
}

// idleAge is how long a connection may be idle: well below the time that its server states.
func (p *Pool) idleAge(c *Conn) time.Duration {
	if keep := c.keepAlive(); keep > 0 {
		return min(p.cfg.IdleAge, keep*keepPercent/100)
	}
	return p.cfg.IdleAge
}

func (p *Pool) drop(c *Conn) {
	c.Close()
	delete(p.open, c)
}
