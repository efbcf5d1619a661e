package forwarder

import (
	"context"
	"net/http"
	"sync"
	"time"

	"github.com/fescuethread/fescuethread/exchanger"
	"github.com/fescuethread/fescuethread/timer"
)

// Config sets up a forwarder; zero settings stand for the exchanger's defaults.
type Config struct {
	// Bounds limits the size of an answer.
	Bounds exchanger.Bounds
	// IdleAge is the time after which an idle connection is closed.
	IdleAge time.Duration
}

// Target is one server that requests are carried to.
type Target struct {
	// Name identifies the target.
	Name string
	// Address is the target's IP number and port.
	Address string
	// Connections bounds the connections to the target.
	Connections int
}

// Request is one admitted request.
type Request struct {
	// ID names the request towards the target.
	ID string
	// Customer is the customer whose key came with the request; empty on open routes.
	Customer string
	// Operation is the identity of non-idempotent work.
	Operation string
	// Method is the HTTP method.
	Method string
	// Path is the request target: an absolute path and perhaps a query.
	Path string
	// Header holds the caller's header fields.
	Header http.Header
	// Body is the whole body.
	Body []byte
	// Idempotent says that the request may run more than once.
	Idempotent bool
}

// Answer is a target's whole answer.
type Answer struct {
	// Status is the status code.
	Status int
	// Header holds the header fields that concern the caller.
	Header http.Header
	// Body is the whole body.
	Body []byte
}

// Forwarder carries requests to targets.
type Forwarder struct {
	cfg       Config
	exchanger *exchanger.Exchanger

	mu    sync.Mutex
	pools map[string]*targetPool
}

type targetPool struct {
	target Target
	pool   *exchanger.Pool
}

// New starts a forwarder.
func New(cfg Config) (*Forwarder, error) {
	e, err := exchanger.New(cfg.Bounds)
	if err != nil {
		return nil, &Error{Op: "start", Kind: KindStart, Err: err}
	}
	return &Forwarder{cfg: cfg, exchanger: e, pools: map[string]*targetPool{}}, nil
}

// Do carries r to the target and returns its whole answer; the end of ctx closes the connection.
func (f *Forwarder) Do(ctx context.Context, t Target, r *Request) (*Answer, error) {
	q := &exchanger.Request{
		ID:     r.ID,
		Method: r.Method,
		Path:   r.Path,
		Header: outgoing(ctx, r),
		Body:   r.Body,
	}
	a, err := f.send(ctx, f.pool(t), q, r.Idempotent)
	if err != nil {
		return nil, wrap(err)
	}
	return &Answer{Status: a.Status, Header: incoming(a.Header), Body: a.Body}, nil
}

// Forget closes a target's idle connections now and the others after their exchange.
func (f *Forwarder) Forget(name string) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if p, ok := f.pools[name]; ok {
		p.pool.Retire()
		delete(f.pools, name)
	}
}

// Sweep closes the connections that have been idle for too long.
func (f *Forwarder) Sweep(now timer.Instant) {
	f.mu.Lock()
	defer f.mu.Unlock()
	for _, p := range f.pools {
		p.pool.Sweep(now)
	}
}

// Close closes all connections; requests in flight fail.
func (f *Forwarder) Close() {
	f.mu.Lock()
	defer f.mu.Unlock()
	for _, p := range f.pools {
		p.pool.Close()
	}
	clear(f.pools)
	f.exchanger.Close()
}

// send gives non-idempotent work a connection of its own: on a reused one a stale keep-alive
// would make an unknown outcome of a request that never arrived.
func (f *Forwarder) send(
	ctx context.Context, p *exchanger.Pool, q *exchanger.Request, idempotent bool,
) (*exchanger.Answer, error) {
	if idempotent {
		return p.ExchangeAgain(ctx, q)
	}
	return p.ExchangeFresh(ctx, q)
}

func (f *Forwarder) pool(t Target) *exchanger.Pool {
	f.mu.Lock()
	defer f.mu.Unlock()
	p, ok := f.pools[t.Name]
	if ok && p.target == t {
		return p.pool
	}
	if ok {
		p.pool.Retire()
	}
	p = &targetPool{target: t, pool: exchanger.NewPool(f.exchanger, exchanger.PoolConfig{
		Address:     t.Address,
		Connections: t.Connections,
		IdleAge:     f.cfg.IdleAge,
	})}
	f.pools[t.Name] = p
	return p.pool
}

func wrap(err error) error {
	kind := KindUnknown
	if exchanger.NotRun(err) {
		kind = KindNotRun
	}
	return &Error{Op: "do", Kind: kind, Err: err}
}
