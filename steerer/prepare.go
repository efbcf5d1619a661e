package steerer

import (
	"io"
	"math"
	"net/http"
	"net/netip"
	"strconv"
	"strings"
	"time"

	"github.com/pkg/errors"

	"github.com/fescuethread/fescuethread/planner"
	"github.com/fescuethread/fescuethread/platform"
	"github.com/fescuethread/fescuethread/server"
)

// prepare matches the route, sets the deadline, reads the body and picks the service. It returns a
// rejection and false if the request cannot be served.
func (s *Steerer) prepare(r *http.Request, q *request) (Result, bool) {
	q.plan = s.deps.Plans.Plan()
	if q.plan == nil {
		return rejection(http.StatusServiceUnavailable, ReasonNoPlan, shortRetryAfter), false
	}
	if s.stopping.Load() {
		return rejection(http.StatusServiceUnavailable, ReasonStopping, shortRetryAfter), false
	}
	q.method, q.host, q.header, q.uri = r.Method, r.Host, r.Header, requestTarget(r)
	path, _, _ := strings.Cut(q.uri, "?")
	q.route = q.plan.Match(hostName(r.Host), path)
	if q.route == nil {
		return rejection(http.StatusNotFound, ReasonNoRoute, 0), false
	}
	if !q.route.Idempotent() && !server.AwaitTurn(r.Context()) {
		return Result{Reason: ReasonCallerDisconnected}, false
	}
	timeout, ok := s.timeout(r, q, q.route)
	if !ok {
		return rejection(http.StatusBadRequest, ReasonMalformed, 0), false
	}
	q.deadline = q.started.Add(timeout)
	if c, err := r.Cookie(platform.CookieAffinityKey); err == nil && q.route.Sticky {
		q.affinityKey = c.Value
	}
	var err error
	if q.body, err = readBody(r); err != nil {
		return rejection(http.StatusBadRequest, ReasonMalformed, 0), false
	}
	q.service = s.pickService(q.route)
	return Result{}, true
}

// readBody returns the whole body. The buffer of a body of known length doesn't have to grow.
func readBody(r *http.Request) ([]byte, error) {
	if r.ContentLength <= 0 {
		return io.ReadAll(r.Body)
	}
	body := make([]byte, r.ContentLength)
	n, err := io.ReadFull(r.Body, body)
	if errors.Is(err, io.EOF) || errors.Is(err, io.ErrUnexpectedEOF) {
		err = nil
	}
	return body[:n], err
}

// requestTarget returns the path and query in the encoding in which the caller sent them.
func requestTarget(r *http.Request) string {
	if r.RequestURI != "" {
		return r.RequestURI
	}
	return r.URL.RequestURI()
}

// hostName returns the value of a Host header without its port.
func hostName(host string) string {
	if i := strings.LastIndexByte(host, ':'); i >= 0 && !strings.HasSuffix(host, "]") {
		if _, err := netip.ParseAddrPort(host); err == nil || strings.Count(host, ":") == 1 {
			return host[:i]
		}
	}
	return host
}

// isCallerRetry reports whether the caller seems to repeat a request: its timeout is then shorter
// than the longest one seen on the route, which isCallerRetry also records.
func (s *Steerer) isCallerRetry(route string, timeout time.Duration) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	longest := s.longestTimeouts[route]
	if timeout >= longest {
		s.longestTimeouts[route] = timeout
		return false
	}
	return timeout < longest*callerRetryPercent/100
}

// timeout returns how long the request may take, or false if its deadline header is invalid.
func (s *Steerer) timeout(
	r *http.Request, q *request, route *planner.Route,
) (time.Duration, bool) {
	limit := defaultTimeout
	if route.Timeout > 0 {
		limit = route.Timeout
	}
	header := r.Header.Get(platform.HeaderDeadline)
	if header == "" {
		return limit, true
	}
	timeout, ok := parseTimeout(header)
	if !ok {
		return 0, false
	}
	if timeout < maxCallerTimeout {
		q.callerRetry = s.isCallerRetry(route.Name, timeout)
	}
	if route.Timeout > 0 {
		return min(timeout, route.Timeout), true
	}
	return timeout, true
}

// parseTimeout parses a number of milliseconds, at most maxCallerTimeout.
func parseTimeout(text string) (time.Duration, bool) {
	ms, err := strconv.ParseFloat(text, 64)
	if err != nil || math.IsNaN(ms) || math.IsInf(ms, 0) || ms < 0 {
		return 0, false
	}
	ms = min(ms, float64(maxCallerTimeout.Milliseconds()))
	return time.Duration(ms * float64(time.Millisecond)), true
}

// pickService picks one of the route's services in proportion to their weights.
func (s *Steerer) pickService(r *planner.Route) string {
	if len(r.Services) == 1 {
		return r.Services[0].Service
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	rr, ok := s.roundRobins[r.Name]
	if !ok || !rr.matches(r.Services) {
		rr = newRoundRobin(r.Services)
		s.roundRobins[r.Name] = rr
	}
	return rr.next()
}
