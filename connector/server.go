package connector

import (
	"context"
	"net"
	"sync"
	"sync/atomic"
	"time"

	"github.com/pkg/errors"
	"storj.io/drpc/drpcctx"
	"storj.io/drpc/drpcmux"
	"storj.io/drpc/drpcserver"

	"github.com/fescuethread/fescuethread/accepter"
	"github.com/fescuethread/fescuethread/messenger"
)

// Handler handles the calls of peers except Greet, which the Server handles itself.
type Handler interface {
	// Fetch returns the requested document.
	Fetch(context.Context, *messenger.DocumentQuery) (*messenger.Document, error)
}

// Server serves the peer protocol on one listener.
type Server struct {
	cfg      Config
	listener net.Listener
	// handshakes maps each connection whose handshake is done to the peer's host name.
	handshakes  sync.Map
	connections atomic.Int64
}

// Listen returns a server that listens on a TCP address; it handles no calls before Serve.
func Listen(ctx context.Context, address string, cfg Config) (*Server, error) {
	var lc net.ListenConfig
	l, err := lc.Listen(ctx, "tcp", address)
	if err != nil {
		return nil, &Error{Op: "listen " + address, Kind: KindListen, Err: err}
	}
	s := &Server{cfg: cfg}
	s.listener = &trackingListener{Listener: accepter.New(l, cfg.OnAcceptError), server: s}
	return s, nil
}

// Address returns the address that the server listens on.
func (s *Server) Address() string {
	return s.listener.Addr().String()
}

// Serve handles calls with h until ctx ends.
func (s *Server) Serve(ctx context.Context, h Handler) error {
	mux := drpcmux.New()
	if err := messenger.DRPCRegisterPeer(mux, &guard{Handler: h, server: s}); err != nil {
		return &Error{Op: "register", Kind: KindProtocol, Err: err}
	}
	opts := drpcserver.Options{Manager: managerOptions(maxRequestBytes)}
	return drpcserver.NewWithOptions(mux, opts).Serve(ctx, s.listener)
}

// guard rejects calls on connections without a handshake.
type guard struct {
	Handler
	server *Server
}

// Greet checks the peer's protocol version and records the handshake.
func (g *guard) Greet(
	ctx context.Context, in *messenger.Greeting,
) (*messenger.Greeting, error) {
	if in.GetProtocol() != ProtocolVersion {
		return nil, protocolError("greet", in.GetProtocol())
	}
	if tr, ok := drpcctx.Transport(ctx); ok {
		g.server.handshakes.Store(tr, in.GetHost())
	}
	return g.server.cfg.greeting(), nil
}

// Fetch calls the handler if the connection's handshake is done; a panic of the handler is an
// error of the call.
func (g *guard) Fetch(
	ctx context.Context, in *messenger.DocumentQuery,
) (out *messenger.Document, err error) {
	if err := g.check(ctx); err != nil {
		return nil, err
	}
	defer func() {
		if recovered := recover(); recovered != nil {
			cause := errors.Errorf("unexpected error: %v", recovered)
			err = &Error{Op: "fetch", Kind: KindProtocol, Err: cause}
		}
	}()
	return g.Handler.Fetch(ctx, in)
}

func (g *guard) check(ctx context.Context) error {
	tr, ok := drpcctx.Transport(ctx)
	if !ok {
		return nil
	}
	if _, ok := g.server.handshakes.Load(tr); !ok {
		return &Error{Op: "call", Kind: KindProtocol, Err: errors.New("call before the handshake")}
	}
	return nil
}

func (c Config) greeting() *messenger.Greeting {
	return &messenger.Greeting{Protocol: ProtocolVersion, Host: c.Host, Incarnation: c.Incarnation}
}

func protocolError(op string, version uint32) error {
	cause := errors.Errorf("peer has protocol version %d, want %d", version, ProtocolVersion)
	return &Error{Op: op, Kind: KindProtocol, Err: cause}
}

// trackingListener accepts connections up to a maximum. Those without a handshake are closed, and
// the others remove theirs when they close.
type trackingListener struct {
	net.Listener
	server *Server
}

// Accept waits for the next connection.
func (l *trackingListener) Accept() (net.Conn, error) {
	for {
		conn, err := l.Listener.Accept()
		if err != nil {
			return nil, err
		}
		if l.server.connections.Add(1) <= maxServerConnections && l.server.cfg.Inbound.Take() {
			return l.server.track(conn), nil
		}
		l.server.connections.Add(-1)
		_ = conn.Close()
	}
}

func (s *Server) track(conn net.Conn) *trackedConn {
	c := &trackedConn{Conn: conn, server: s}
	time.AfterFunc(handshakeTimeout, func() {
		if _, ok := s.handshakes.Load(c); !ok {
			_ = c.Close()
		}
	})
	return c
}

type trackedConn struct {
	net.Conn
	server *Server
	once   sync.Once
}

// Close removes the handshake and closes the connection.
func (c *trackedConn) Close() error {
	c.once.Do(func() {
		c.server.handshakes.Delete(c)
		c.server.connections.Add(-1)
		c.server.cfg.Inbound.Release()
	})
	return c.Conn.Close()
}
