package server

import (
	"context"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"github.com/lesismal/nbio"
	"github.com/lesismal/nbio/nbhttp"

	"github.com/fescuethread/fescuethread/accepter"
	_ "github.com/fescuethread/fescuethread/allocator" // Sets the buffers of nbio.
	"github.com/fescuethread/fescuethread/timer"
)

// Server is an HTTP server that listens on one address.
type Server struct {
	cfg                Config
	handler            http.Handler
	engine             *nbhttp.Engine
	listener           net.Listener
	openConns          atomic.Int64
	keepAlivesDisabled atomic.Bool
	conns              sync.Map // *nbio.Conn to *connection
	idle               idleList
	// minIdle is defaultMinIdle, but in tests.
	minIdle time.Duration
	baseCtx context.Context
	cancel  context.CancelFunc
}

// Listen returns a server that listens on cfg.Address; requests are served when Run is called.
func Listen(ctx context.Context, cfg Config, handler http.Handler) (*Server, error) {
	var lc net.ListenConfig
	l, err := lc.Listen(ctx, "tcp", cfg.Address)
	if err != nil {
		return nil, &Error{Op: "listen " + cfg.Address, Kind: KindListen, Err: err}
	}
	s := &Server{
		cfg: cfg.withLimiters(), handler: handler, listener: accepter.New(l, cfg.OnAcceptError),
		minIdle: defaultMinIdle,
	}
	s.baseCtx, s.cancel = context.WithCancel(context.WithoutCancel(ctx))
	s.engine = s.newEngine()
	return s, nil
}

// Address returns the address that the server listens on.
func (s *Server) Address() string {
	return s.listener.Addr().String()
}

// Run serves requests until ctx ends; it waits for in-flight requests before it closes the
// connections.
func (s *Server) Run(ctx context.Context) error {
	if err := s.engine.Start(); err != nil {
		return &Error{Op: "start engine", Kind: KindStart, Err: err}
	}
	stop := context.AfterFunc(ctx, func() { _ = s.listener.Close() })
	defer stop()
	var sweeping sync.WaitGroup
	defer sweeping.Wait()
	sweeping.Go(s.sweep)
	started := time.Now()
	err := s.accept()
	s.keepAlivesDisabled.Store(true)
	s.drain()
	s.cancel()
	s.closeAll()
	// Stop blocks forever if it is called before the pollers run.
	time.Sleep(time.Until(started.Add(minEngineUptime)))
	s.engine.Stop()
	if ctx.Err() != nil {
		return nil
	}
	return &Error{Op: "accept", Kind: KindListen, Err: err}
}

// idleDeadline returns when the engine closes a connection that is idle from now on.
func (s *Server) idleDeadline() time.Time {
	return time.Now().Add(s.cfg.engineIdleTimeout())
}

// Connections returns the number of open connections.
func (s *Server) Connections() int {
	return int(s.openConns.Load())
}

func (s *Server) newEngine() *nbhttp.Engine {
	e := nbhttp.NewEngine(nbhttp.Config{
		Name:               "callers",
		NPoller:            pollerCount,
		ReadBufferSize:     readBufferBytes,
		MaxWriteBufferSize: s.cfg.MaxWriteBufferBytes,
		KeepaliveTime:      s.cfg.engineIdleTimeout(),
		Handler:            http.HandlerFunc(s.serve),
		ServerExecutor:     func(f func()) { go f() },
		SupportServerOnly:  true,
	})
	e.OnRequest = s.prepare
	e.Engine.OnClose(func(raw *nbio.Conn, _ error) { s.remove(raw) })
	e.OnWrittenSize(s.written)
	return e
}

// sweep checks the timeouts of all connections until the server closes.
func (s *Server) sweep() {
	ticker := time.NewTicker(sweepInterval)
	defer ticker.Stop()
	for {
		select {
		case <-s.baseCtx.Done():
			return
		case <-ticker.C:
			now := timer.Now()
			s.conns.Range(func(_, v interface{}) bool {
				if c, ok := v.(*connection); ok {
					c.checkTimeouts(now, &s.cfg)
				}
				return true
			})
		}
	}
}

func (s *Server) accept() error {
	for {
		conn, err := s.listener.Accept()
		if err != nil {
			return err
		}
		s.admit(conn)
	}
}

// receive looks the connection up in the map, so that add happens before receive for the race
// detector, which does not know that epoll ensures this order as well.
func (s *Server) receive(raw *nbio.Conn, data []byte) {
	v, _ := s.conns.Load(raw)
	if c, ok := v.(*connection); ok {
		c.receive(data)
	}
}

// written counts response bytes that the kernel has taken.
func (s *Server) written(raw *nbio.Conn, _ []byte, n int) {
	v, _ := s.conns.Load(raw)
	if c, ok := v.(*connection); ok {
		c.out.written(n)
	}
}

// remove forgets a connection that has closed, cancels its requests and frees its descriptor and
// memory.
func (s *Server) remove(raw *nbio.Conn) {
	v, ok := s.conns.LoadAndDelete(raw)
	if !ok {
		return
	}
	s.openConns.Add(-1)
	if c, ok := v.(*connection); ok {
		c.descriptors.Release()
		s.idle.forget(c)
		c.cancel()
		c.reader.close()
		c.out.account.Close()
	}
}

func (s *Server) connectionOf(w http.ResponseWriter) *connection {
	res, ok := w.(*nbhttp.Response)
	if !ok {
		return nil
	}
	wrapped, ok := res.Parser.Conn.(*nbhttp.Conn)
	if !ok {
		return nil
	}
	out, ok := wrapped.Conn.(*sendConn)
	if !ok {
		return nil
	}
	v, _ := s.conns.Load(out.Conn)
	c, _ := v.(*connection)
	return c
}

// prepare gives a complete request its context; the engine calls it in the order of the requests.
func (s *Server) prepare(w http.ResponseWriter, r *http.Request) {
	c := s.connectionOf(w)
	if c == nil {
		return
	}
	c.mu.Lock()
	ctx := withTurn(c.ctx, c.latest)
	c.mu.Unlock()
	*r = *r.WithContext(withArrival(ctx, timer.Instant(c.arrivedAt.Load())))
}

// serve runs the handler and writes its response when it is the request's turn. A request that
// can't be answered any more ends its connection: nbhttp would complete the exchange with an empty
// response 200.
func (s *Server) serve(w http.ResponseWriter, r *http.Request) {
	t := turnOf(r.Context())
	if t == nil {
		s.abort(w)
		return
	}
	// nbhttp would close the connection without waiting for its write queue, which truncates the
	// response.
	last := r.Close
	r.Close = false
	response := &bufferedResponse{method: r.Method, ctx: r.Context(), header: http.Header{}}
	response.account = s.cfg.Responses.Open(func() { _ = t.conn.raw.Close() })
	defer response.account.Close()
	s.handle(response, r)
	if !t.await(r.Context()) {
		s.abort(w)
		return
	}
	if t.conn.closesAfter(last || s.keepAlivesDisabled.Load() || s.cfg.Descriptors.Crowded()) {
		w.Header().Set("Connection", "close")
	}
	if response.statusNamed() {
		response.copyTo(w)
	} else {
		s.writeUnnamed(w, r, t.conn, response)
	}
	_ = t.conn.raw.SetWriteDeadline(time.Now().Add(s.cfg.IdleTimeout))
}

// writeUnnamed writes a response whose status has no registered name, which nbhttp would change to
// 200.
func (s *Server) writeUnnamed(
	w http.ResponseWriter, r *http.Request, c *connection, response *bufferedResponse,
) {
	h, ok := w.(http.Hijacker)
	if !ok {
		s.abort(w)
		return
	}
	if _, _, err := h.Hijack(); err != nil {
		s.abort(w)
		return
	}
	_, _ = c.out.Write(response.encode(r, w.Header()))
}

// abort closes the connection of a request instead of answering it.
func (s *Server) abort(w http.ResponseWriter) {
	if s.cfg.OnAbort != nil {
		s.cfg.OnAbort()
	}
	if res, ok := w.(*nbhttp.Response); ok && res.Parser.Conn != nil {
		_ = res.Parser.Conn.Close()
	}
}

// handle runs the handler. If it panics, the caller gets 500, which promises nothing about the
// request, and the other requests go on.
func (s *Server) handle(w *bufferedResponse, r *http.Request) {
	defer func() {
		recovered := recover()
		if recovered == nil {
			return
		}
		w.header = http.Header{}
		w.status = http.StatusInternalServerError
		w.body = nil
		if s.cfg.OnPanic != nil {
			s.cfg.OnPanic(recovered)
		}
	}()
	s.handler.ServeHTTP(w, r)
}
