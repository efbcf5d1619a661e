package exchanger

import (
	"context"
	"io"
	"net"
	"sync"
	"syscall"
	"time"

	"github.com/lesismal/nbio"
	"github.com/lesismal/nbio/nbhttp"
	"github.com/pkg/errors"
)

const (
	// DefaultBodyBytes bounds an answer's body.
	DefaultBodyBytes = 16 << 20
	// DefaultHeaderBytes bounds an answer's header.
	DefaultHeaderBytes = 64 << 10
)

// startTerm is the time within which the engine's pollers surely run.
const startTerm = 100 * time.Millisecond

// readBytes is the size of the buffer that one turn reads into.
const readBytes = 16 << 10

// Bounds limits the size of an answer.
type Bounds struct {
	// BodyBytes bounds the body.
	BodyBytes int
	// HeaderBytes bounds the header.
	HeaderBytes int
	// Unframed accepts answers without a length, whose body ends with the connection.
	Unframed bool
}

// Exchanger owns the engine that its connections are read by.
type Exchanger struct {
	engine  *nbhttp.Engine
	bounds  Bounds
	dialer  net.Dialer
	closed  chan struct{}
	once    sync.Once
	started time.Time
}

// New starts an exchanger; zero bounds stand for the defaults.
func New(b Bounds) (*Exchanger, error) {
	if b.BodyBytes <= 0 {
		b.BodyBytes = DefaultBodyBytes
	}
	if b.HeaderBytes <= 0 {
		b.HeaderBytes = DefaultHeaderBytes
	}
	e := nbhttp.NewEngine(nbhttp.Config{
		Name:               "exchanger",
		NPoller:            1,
		ReadLimit:          b.BodyBytes + b.HeaderBytes,
		MaxWriteBufferSize: b.BodyBytes + b.HeaderBytes,
	})
	e.OnRead(read)
	if err := e.Start(); err != nil {
		return nil, &Error{Op: "start", Kind: KindStart, Err: err}
	}
	return &Exchanger{
		engine: e, bounds: b, closed: make(chan struct{}), started: time.Now(),
	}, nil
}

// read takes all that a connection has. The engine would name an orderly end also for a reset that
// arrives with data, and leave unread what exceeds its turn; how reading ends tells both apart.
func read(raw *nbio.Conn) {
	c, ok := raw.Session().(*Conn)
	if !ok {
		return
	}
	buf := make([]byte, readBytes)
	for {
		n, err := raw.Read(buf)
		switch {
		case errors.Is(err, syscall.EINTR):
			continue
		case errors.Is(err, syscall.EAGAIN):
			return
		case err == nil && n == 0:
			err = io.EOF
		case err == nil:
			err = c.Parse(buf[:n])
		}
		if err != nil {
			c.noteEnd(err)
			_ = raw.CloseWithError(err)
			return
		}
	}
}

// WithDialer returns the exchanger with another way to open connections.
func (e *Exchanger) WithDialer(d net.Dialer) *Exchanger {
	e.dialer = d
	return e
}

// Close closes all connections and stops the engine; exchanges in flight fail.
func (e *Exchanger) Close() {
	e.once.Do(func() {
		close(e.closed)
		// The engine never stops when it is told to before its pollers run.
		time.Sleep(time.Until(e.started.Add(startTerm)))
		e.engine.Stop()
	})
}

// Dial opens a connection to the server at address.
func (e *Exchanger) Dial(ctx context.Context, address string) (*Conn, error) {
	std, err := e.dialer.DialContext(ctx, "tcp", address)
	if err != nil {
		return nil, notRun("dial", err)
	}
	nbc, err := nbio.NBConn(std)
	if err != nil {
		_ = std.Close()
		return nil, notRun("dial", errors.WithStack(err))
	}
	c := &Conn{nbc: nbc, exchanger: e, address: address}
	nbc.SetSession(c)
	nbc.OnData(e.engine.DataHandler)
	if _, err := e.engine.AddConn(nbc); err != nil {
		return nil, notRun("dial", errors.WithStack(err))
	}
	return c, nil
}

// Exchange makes one exchange on a connection of its own.
func (e *Exchanger) Exchange(ctx context.Context, address string, r *Request) (*Answer, error) {
	c, err := e.Dial(ctx, address)
	if err != nil {
		return nil, err
	}
	defer c.Close()
	return c.Exchange(ctx, r)
}
