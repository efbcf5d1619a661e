package server

import (
	"time"

	"github.com/fescuethread/fescuethread/limiter"
	"github.com/fescuethread/fescuethread/rationer"
)

// Config is the configuration of a Server.
type Config struct {
	// Address is the IP address and port that the server listens on.
	Address string
	// MaxBodyBytes is the maximum size of a request body.
	MaxBodyBytes int
	// MaxHeaderBytes is the maximum size of the request target and the header fields together.
	MaxHeaderBytes int
	// MaxWriteBufferBytes is the maximum size of the unsent response data of a connection.
	MaxWriteBufferBytes int
	// Descriptors are those of connections that are served; nil sets no limit. While it is crowded,
	// connections end with their next response.
	Descriptors *rationer.Use
	// Refusals are the descriptors of connections whose first request is refused since there was none
	// to serve them; nil sets no limit.
	Refusals *rationer.Use
	// IdleTimeout is the time after which a connection is closed if no complete request arrives or
	// the caller does not read the response.
	IdleTimeout time.Duration
	// CurrentLimits returns limits that may change while the server runs; if it is nil, MaxBodyBytes,
	// MaxHeaderBytes and, for the header, IdleTimeout apply.
	CurrentLimits func() Limits
	// Requests bounds the bytes of all requests, from their first byte to the end of their response;
	// nil stands for a limiter of the server's own with DefaultTransitBytes.
	Requests *limiter.Limiter
	// Responses bounds the bytes of all responses until callers have read them; nil stands for a
	// limiter of the server's own with DefaultTransitBytes.
	Responses *limiter.Limiter
	// OnPanic is called if the handler panics, with the recovered value; it may be nil.
	OnPanic func(recovered interface{})
	// OnAcceptError is called with each error of the listener that passes, such as a lack of
	// descriptors; it may be nil.
	OnAcceptError func(error)
	// OnAbort is called when a request ends without a response, because its caller has left or the
	// server has ended; it may be nil.
	OnAbort func()
}

// Limits are the limits that may change while the server runs.
type Limits struct {
	// MaxBodyBytes is the maximum size of a request body.
	MaxBodyBytes int
	// MaxHeaderBytes is the maximum size of the request target and the header fields together.
	MaxHeaderBytes int
	// HeaderTimeout is the time within which a request header must arrive.
	HeaderTimeout time.Duration
}

// withLimiters returns the configuration with a limiter in place of each that is nil.
func (c Config) withLimiters() Config {
	if c.Requests == nil {
		c.Requests = limiter.New(DefaultTransitBytes)
	}
	if c.Responses == nil {
		c.Responses = limiter.New(DefaultTransitBytes)
	}
	return c
}

func (c *Config) limits() Limits {
	if c.CurrentLimits != nil {
		return c.CurrentLimits()
	}
	return Limits{
		MaxBodyBytes: c.MaxBodyBytes, MaxHeaderBytes: c.MaxHeaderBytes, HeaderTimeout: c.IdleTimeout,
	}
}

// DefaultTransitBytes is the default limit on the bytes of requests or responses in transit.
const DefaultTransitBytes = 16 << 20

const (
	// maxHeaderFields is the maximum number of header fields of a request.
	maxHeaderFields = 256
	// headLineOverheadBytes is the memory that a line of a request's head takes besides its bytes.
	headLineOverheadBytes = 128
	// maxLineOverheadBytes is how much longer than the limit on header bytes a line may be: a method,
	// a version and separators don't count towards that limit.
	maxLineOverheadBytes = 64
	// overloadRetryAfter is the Retry-After of requests for which there is no memory or descriptor.
	overloadRetryAfter = time.Second
)

const (
	// maxPipelined is the maximum number of pending requests on a connection.
	maxPipelined = 16
	// pollerCount is the number of goroutines that read from connections.
	pollerCount = 2
	// readBufferBytes is the size of each poller's read buffer.
	readBufferBytes = 32 << 10
)

// sweepInterval is the interval between two checks of the connections' timeouts.
const sweepInterval = 100 * time.Millisecond

// engineIdleTimeout is the time after which the engine closes an idle connection. It is longer
// than IdleTimeout, so that a slow sender receives an error response first.
func (c *Config) engineIdleTimeout() time.Duration {
	return c.IdleTimeout + 2*lingerTimeout
}

// minEngineUptime is the minimum time between start and stop of the engine: its pollers are
// running by then.
const minEngineUptime = 200 * time.Millisecond

// lingerTimeout is the time for which a connection stays open after its last response, so that the
// response reaches the caller.
const lingerTimeout = time.Second

const (
	// closeTimeout is the time that callers have to read their last responses when the server ends,
	// and closePollInterval how often this is checked.
	closeTimeout      = 350 * time.Millisecond
	closePollInterval = 10 * time.Millisecond
)
