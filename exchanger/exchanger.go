package exchanger

import (
	"context"
	"net"
	"sync"
	"syscall"
	"time"

	"github.com/lesismal/nbio"
	"github.com/lesismal/nbio/nbhttp"
	"github.com/pkg/errors"

	"github.com/fescuethread/fescuethread/limiter"
	"github.com/fescuethread/fescuethread/rationer"
	"github.com/fescuethread/fescuethread/timer"

	_ "github.com/fescuethread/fescuethread/allocator" // Sets the buffers of nbio.
)

const (
	// DefaultMaxBodyBytes is the default maximum of a response body.
	DefaultMaxBodyBytes = 16 << 20
	// DefaultMaxHeaderBytes is the default maximum of a response header.
	DefaultMaxHeaderBytes = 64 << 10
	// DefaultTransitBytes is the default maximum of all responses that are being received.
	DefaultTransitBytes = 16 << 20
)

// minEngineUptime is the minimum time between start and stop of the engine: its pollers are
// running by then.
const minEngineUptime = 100 * time.Millisecond

const readBufferBytes = 16 << 10

// Limits restricts which responses are accepted.
type Limits struct {
	// MaxBodyBytes is the maximum size of the body.
	MaxBodyBytes int
	// MaxHeaderBytes is the maximum size of the header: names and values of its fields.
	MaxHeaderBytes int
	// Transit bounds the bytes of all responses that are being received; nil stands for a limiter of
	// the exchanger's own with DefaultTransitBytes.
	Transit *limiter.Limiter
	// AllowCloseDelimited accepts close-delimited responses: without a length, the end of the
	// connection marks the end of the body.
	AllowCloseDelimited bool
}

// Exchanger opens connections and runs the event loop that reads from them.
type Exchanger struct {
	engine *nbhttp.Engine
	limits Limits
	dialer net.Dialer
	// descriptors are those of the connections; nil sets no limit.
	descriptors *rationer.Use
	closed      chan struct{}
	closeOnce   sync.Once
	started     time.Time
}

// New starts an exchanger. A limit of 0 stands for the default.
func New(limits Limits) (*Exchanger, error) {
	if limits.MaxBodyBytes <= 0 {
		limits.MaxBodyBytes = DefaultMaxBodyBytes
	}
	if limits.MaxHeaderBytes <= 0 {
		limits.MaxHeaderBytes = DefaultMaxHeaderBytes
	}
	if limits.Transit == nil {
		limits.Transit = limiter.New(DefaultTransitBytes)
	}
	e := nbhttp.NewEngine(nbhttp.Config{
		Name:               "exchanger",
		NPoller:            1,
		ReadLimit:          limits.MaxHeaderBytes,
		MaxWriteBufferSize: limits.MaxBodyBytes + limits.MaxHeaderBytes,
	})
	e.OnRead(read)
	e.OnWrittenSize(written)
	if err := e.Start(); err != nil {
		return nil, &Error{Op: "start", Kind: KindStart, Err: err}
	}
	return &Exchanger{
		engine: e, limits: limits, closed: make(chan struct{}), started: time.Now(),
	}, nil
}

// read reads and parses all data available on raw. The error of the last read tells a reset from
// an orderly close (io.EOF). The engine's own read loop can't: it reports io.EOF also for a reset
// that arrives together with data, and may close the connection with data left unread.
func read(raw *nbio.Conn) {
	c, ok := raw.Session().(*Conn)
	if !ok {
		return
	}
	buf := make([]byte, readBufferBytes)
	for {
		n, err := raw.Read(buf)
		switch {
		case errors.Is(err, syscall.EINTR):
			continue
		case errors.Is(err, syscall.EAGAIN):
			return
		case err == nil && n == 0:
			err = c.endCause(raw)
		case err == nil:
			err = c.Parse(buf[:n])
		}
		if err != nil {
			c.setReadErr(err)
			_ = raw.CloseWithError(err)
			return
		}
	}
}

// written counts the bytes of a request that the kernel has taken.
func written(raw *nbio.Conn, _ []byte, n int) {
	if c, ok := raw.Session().(*Conn); ok {
		c.unsentBytes.Add(-int64(n))
	}
}

// WithDialer makes e open connections with d and returns e.
func (e *Exchanger) WithDialer(d net.Dialer) *Exchanger {
	e.dialer = d
	return e
}

// WithDescriptors makes e take the descriptors of its connections from a use and returns e.
func (e *Exchanger) WithDescriptors(descriptors *rationer.Use) *Exchanger {
	e.descriptors = descriptors
	return e
}

// Close closes all connections and stops the engine; exchanges in flight fail.
func (e *Exchanger) Close() {
	e.closeOnce.Do(func() {
		close(e.closed)
		// If Stop is called before the pollers run, they miss it and Stop never returns.
		time.Sleep(time.Until(e.started.Add(minEngineUptime)))
		e.engine.Stop()
	})
}

// Dial opens a connection to the server at address.
func (e *Exchanger) Dial(ctx context.Context, address string) (*Conn, error) {
	return e.dial(ctx, address, nil)
}

func (e *Exchanger) dial(
	ctx context.Context, address string, onIdleEnd func(),
) (*Conn, error) {
	if !e.descriptors.Take() {
		return nil, notRun("dial", ErrShortage)
	}
	nbc, err := e.connect(ctx, address)
	if err != nil {
		e.descriptors.Release()
		return nil, notRun("dial", err)
	}
	c := &Conn{
		nbc: nbc, exchanger: e, address: address, openedAt: timer.Now(), onIdleEnd: onIdleEnd,
	}
	nbc.SetSession(c)
	nbc.OnData(e.engine.DataHandler)
	if _, err := e.engine.AddConn(nbc); err != nil {
		c.Close()
		return nil, notRun("dial", shortage(err))
	}
	return c, nil
}

// connect opens a connection for the event loop.
func (e *Exchanger) connect(ctx context.Context, address string) (*nbio.Conn, error) {
	tcp, err := e.dialer.DialContext(ctx, "tcp", address)
	if err != nil {
		if rationer.Shortage(err) {
			return nil, shortage(err)
		}
		return nil, err
	}
	nbc, err := nbio.NBConn(tcp)
	if err != nil {
		_ = tcp.Close()
		return nil, shortage(err)
	}
	return nbc, nil
}

// Exchange makes one exchange on a new connection and closes it.
func (e *Exchanger) Exchange(ctx context.Context, address string, r *Request) (*Response, error) {
	c, err := e.Dial(ctx, address)
	if err != nil {
		return nil, err
	}
	defer c.Close()
	return c.Exchange(ctx, r)
}
