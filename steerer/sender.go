package steerer

import (
	"context"
	"net"
	"net/http"
	"strconv"
	"sync"
	"syscall"
	"time"

	"github.com/pkg/errors"
	"golang.org/x/sys/unix"

	"github.com/fescuethread/fescuethread/exchanger"
	"github.com/fescuethread/fescuethread/limiter"
	"github.com/fescuethread/fescuethread/platform"
	"github.com/fescuethread/fescuethread/rationer"
	"github.com/fescuethread/fescuethread/selector"
	"github.com/fescuethread/fescuethread/timer"
)

const (
	// dialTimeout bounds the time to open a connection.
	dialTimeout = 600 * time.Millisecond
	// tcpUserTimeout is how long sent data may stay unacknowledged before the kernel closes the
	// connection.
	tcpUserTimeout = 1500 * time.Millisecond
	// keepAliveIdle, keepAliveInterval and keepAliveCount configure the TCP keep-alive probes, which
	// detect peers that disappeared without closing the connection.
	keepAliveIdle     = time.Second
	keepAliveInterval = 500 * time.Millisecond
	keepAliveCount    = 3
	// maxIdleNonIdempotent is the maximum idle time of a connection that is reused for a
	// non-idempotent request; the target is unlikely to have closed it that early.
	maxIdleNonIdempotent = 1500 * time.Millisecond
	// idleTimeout is how long a connection may be idle before it is closed.
	idleTimeout = 5 * time.Second
	// defaultMaxConnections is the maximum number of connections to a target whose service sets none.
	defaultMaxConnections = 64
	// maxResponseBytes and maxResponseHeaderBytes limit a target's response.
	maxResponseBytes       = 16 << 20
	maxResponseHeaderBytes = 64 << 10
	// leavingValue is the value of platform.HeaderLeaving in responses of a leaving target.
	leavingValue = "1"
)

// Sender sends requests to targets over pooled connections.
type Sender struct {
	exchanger *exchanger.Exchanger
	// onIdleEnd is called with a target's ID when the target ends an idle connection; it may be nil.
	onIdleEnd func(target string)

	mu             sync.Mutex
	pools          map[poolKey]*exchanger.Pool
	maxConnections map[string]int
}

// poolKey identifies a start of a target, which has a pool of its own.
type poolKey struct {
	id          string
	address     string
	startMillis int64
}

func keyOf(t selector.Target) poolKey {
	return poolKey{id: t.ID, address: t.Address, startMillis: t.StartMillis}
}

// Dialer returns the dialer for connections to targets and to the store; it detects unresponsive
// peers within seconds.
func Dialer() net.Dialer {
	return net.Dialer{
		Timeout: dialTimeout,
		KeepAliveConfig: net.KeepAliveConfig{
			Enable: true, Idle: keepAliveIdle, Interval: keepAliveInterval, Count: keepAliveCount,
		},
		Control: func(_, _ string, c syscall.RawConn) error {
			var sockErr error
			err := c.Control(func(fd uintptr) {
				sockErr = unix.SetsockoptInt(int(fd), unix.IPPROTO_TCP, unix.TCP_USER_TIMEOUT,
					int(tcpUserTimeout.Milliseconds()))
			})
			if err != nil {
				return err
			}
			return sockErr
		},
	}
}

// NewSender returns a sender without connections, or an error if its event loop cannot start.
// Responses of targets are counted in transit; descriptors of connections
// are taken from a use, which may be nil.
func NewSender(transit *limiter.Limiter, descriptors *rationer.Use) (*Sender, error) {
	e, err := exchanger.New(exchanger.Limits{
		MaxBodyBytes: maxResponseBytes, MaxHeaderBytes: maxResponseHeaderBytes,
		AllowCloseDelimited: true, Transit: transit,
	})
	if err != nil {
		return nil, errors.WithMessage(err, "steerer: sender")
	}
	return &Sender{
		exchanger:      e.WithDialer(Dialer()).WithDescriptors(descriptors),
		pools:          map[poolKey]*exchanger.Pool{},
		maxConnections: map[string]int{},
	}, nil
}

// OnIdleEnd sets a function that is called with a target's ID when the target ends an idle
// connection. It must be set before the first request and must not block.
func (s *Sender) OnIdleEnd(f func(target string)) {
	s.onIdleEnd = f
}

// SetMaxConnections sets the maximum number of this host's connections to each target of
// a service. Existing connection pools keep their limit.
func (s *Sender) SetMaxConnections(service string, n int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.maxConnections[service] = n
}

// Retain drops the connections to all targets but the listed ones, and to their earlier starts: it
// closes idle connections now and busy ones after their response.
func (s *Sender) Retain(targets []selector.Target) {
	listed := make(map[poolKey]bool, len(targets))
	for _, t := range targets {
		listed[keyOf(t)] = true
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	for key, p := range s.pools {
		if !listed[key] {
			p.Drain()
			delete(s.pools, key)
		}
	}
}

// Sweep closes connections that have exceeded the idle timeout.
func (s *Sender) Sweep(now timer.Instant) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, p := range s.pools {
		p.Sweep(now)
	}
}

// CloseIdle closes the connection to a target that has been idle for the longest; it returns false
// if none is idle.
func (s *Sender) CloseIdle() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	var oldest *exchanger.Pool
	var oldestSince timer.Instant
	for _, p := range s.pools {
		if since, ok := p.OldestIdle(); ok && (oldest == nil || since < oldestSince) {
			oldest, oldestSince = p, since
		}
	}
	return oldest != nil && oldest.CloseOldestIdle()
}

// Close closes all connections; requests in flight fail.
func (s *Sender) Close() {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, p := range s.pools {
		p.Close()
	}
	clear(s.pools)
	s.exchanger.Close()
}

// pool returns the connection pool of a start of a target.
func (s *Sender) pool(t selector.Target) *exchanger.Pool {
	key := keyOf(t)
	s.mu.Lock()
	defer s.mu.Unlock()
	if p, ok := s.pools[key]; ok {
		return p
	}
	n := s.maxConnections[t.Service]
	if n <= 0 {
		n = defaultMaxConnections
	}
	id := t.ID
	p := exchanger.NewPool(s.exchanger, exchanger.PoolConfig{
		Address: t.Address, MaxConnections: n, IdleTimeout: idleTimeout,
		OnIdleEnd: func() {
			if s.onIdleEnd != nil {
				s.onIdleEnd(id)
			}
		},
	})
	s.pools[key] = p
	return p
}

// connPolicy says whether a request may reuse a connection.
type connPolicy uint8

const (
	// connReuse reuses an idle connection if there is one.
	connReuse connPolicy = iota
	// connNew opens a new connection.
	connNew
)

// send sends the request to the target once and classifies the response or error.
func (s *Sender) send(
	ctx context.Context, q *request, t selector.Target, policy connPolicy,
) *attemptResult {
	remaining := q.deadline.Sub(timer.Now())
	r := &exchanger.Request{
		ID:           q.id,
		IDHeader:     platform.HeaderRequestID,
		EchoRequired: true,
		Method:       q.method,
		Path:         q.uri,
		Host:         q.host,
		Header:       targetHeader(q, t, remaining),
		Body:         q.body,
	}
	p := s.pool(t)
	var resp *exchanger.Response
	var err error
	switch {
	case policy == connNew:
		resp, err = p.ExchangeNewConn(ctx, r)
	case q.route.Idempotent():
		resp, err = p.Exchange(ctx, r)
	default:
		resp, err = p.ExchangeRecentConn(ctx, r, maxIdleNonIdempotent)
	}
	if err != nil {
		return failedAttempt(ctx, err)
	}
	res := classify(resp)
	if !q.route.Idempotent() {
		res.withholdPromise()
	}
	return res
}

// targetHeader returns the header sent to the target. It never passes on the API key, nor a
// customer, expected target or deadline field that the caller set; it sets its own of the latter
// three instead, the customer only if the request has one.
func targetHeader(q *request, t selector.Target, remaining time.Duration) http.Header {
	h := endToEnd(q.header)
	for _, name := range []string{
		platform.HeaderAPIKey, platform.HeaderCustomer, platform.HeaderExpectedTarget,
		platform.HeaderDeadline,
	} {
		deleteField(h, name)
	}
	if q.customer != nil {
		h.Set(platform.HeaderCustomer, q.customer.Name)
	}
	h.Set(platform.HeaderExpectedTarget, t.ID)
	h.Set(platform.HeaderDeadline, strconv.FormatInt(max(remaining.Milliseconds(), 1), 10))
	return h
}
