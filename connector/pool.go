package connector

import (
	"context"
	"net"
	"sync"

	"github.com/pkg/errors"
	"storj.io/drpc"
	"storj.io/drpc/drpcconn"

	"github.com/fescuethread/fescuethread/messenger"
	"github.com/fescuethread/fescuethread/rationer"
)

// Pool keeps idle connections to peers, by address; their handshake is done.
type Pool struct {
	cfg    Config
	mu     sync.Mutex
	idle   map[string][]*drpcconn.Conn
	closed bool
}

// errShortage is the error of a connection for which this host has no descriptor.
var errShortage = errors.New("no descriptor for a connection")

// NewPool returns a pool without connections.
func NewPool(cfg Config) *Pool {
	return &Pool{cfg: cfg, idle: make(map[string][]*drpcconn.Conn)}
}

// Fetch requests a document from the peer at address.
func (p *Pool) Fetch(
	ctx context.Context, address string, in *messenger.DocumentQuery,
) (*messenger.Document, error) {
	out := new(messenger.Document)
	err := p.call(ctx, address, "Fetch", func(c messenger.DRPCPeerClient) (err error) {
		out, err = c.Fetch(ctx, in)
		return err
	})
	return out, err
}

// Close closes all idle connections; connections in use are closed after their call.
func (p *Pool) Close() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.closed = true
	for _, conns := range p.idle {
		for _, c := range conns {
			_ = c.Close()
		}
	}
	p.idle = make(map[string][]*drpcconn.Conn)
}

func (p *Pool) call(
	ctx context.Context, address, op string, f func(messenger.DRPCPeerClient) error,
) error {
	conn, err := p.take(ctx, address)
	if err != nil {
		return err
	}
	if err := f(messenger.NewDRPCPeerClient(conn)); err != nil {
		_ = conn.Close()
		return &Error{Op: op + " " + address, Kind: KindUnanswered, Err: err}
	}
	p.put(address, conn)
	return nil
}

func (p *Pool) take(ctx context.Context, address string) (*drpcconn.Conn, error) {
	for {
		conn := p.takeIdle(address)
		if conn == nil {
			return p.dial(ctx, address)
		}
		if !isClosed(conn) {
			return conn, nil
		}
	}
}

func (p *Pool) takeIdle(address string) *drpcconn.Conn {
	p.mu.Lock()
	defer p.mu.Unlock()
	conns := p.idle[address]
	if len(conns) == 0 {
		return nil
	}
	conn := conns[len(conns)-1]
	p.idle[address] = conns[:len(conns)-1]
	return conn
}

func (p *Pool) put(address string, conn *drpcconn.Conn) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.closed || isClosed(conn) || len(p.idle[address]) >= p.cfg.MaxIdlePerPeer {
		_ = conn.Close()
		return
	}
	p.idle[address] = append(p.idle[address], conn)
}

func (p *Pool) dial(ctx context.Context, address string) (*drpcconn.Conn, error) {
	d := net.Dialer{}
	if ip := net.ParseIP(p.cfg.SourceIP); ip != nil {
		d.LocalAddr = &net.TCPAddr{IP: ip}
	}
	if !p.cfg.Outbound.Take() {
		return nil, &Error{Op: "dial " + address, Kind: KindUnsent, Err: errShortage}
	}
	raw, err := d.DialContext(ctx, "tcp", address)
	if err != nil {
		p.cfg.Outbound.Release()
		return nil, &Error{Op: "dial " + address, Kind: KindUnsent, Err: err}
	}
	raw = &countedConn{Conn: raw, use: p.cfg.Outbound}
	opts := drpcconn.Options{Manager: managerOptions(p.cfg.MaxMessageBytes)}
	conn := drpcconn.NewWithOptions(raw, opts)
	if err := p.greet(ctx, conn); err != nil {
		_ = conn.Close()
		return nil, &Error{Op: "greet " + address, Kind: KindUnsent, Err: err}
	}
	return conn, nil
}

func (p *Pool) greet(ctx context.Context, conn drpc.Conn) error {
	reply, err := messenger.NewDRPCPeerClient(conn).Greet(ctx, p.cfg.greeting())
	if err != nil {
		return err
	}
	if reply.GetProtocol() != ProtocolVersion {
		return protocolError("greet", reply.GetProtocol())
	}
	return nil
}

// countedConn is a connection whose descriptor is released when it closes.
type countedConn struct {
	net.Conn
	use  *rationer.Use
	once sync.Once
}

// Close closes the connection and releases its descriptor.
func (c *countedConn) Close() error {
	err := c.Conn.Close()
	c.once.Do(c.use.Release)
	return err
}

func isClosed(conn *drpcconn.Conn) bool {
	select {
	case <-conn.Closed():
		return true
	default:
		return false
	}
}
