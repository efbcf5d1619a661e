package carrier

import (
	"context"
	"encoding/json"
	"io"
	"net/http"
	"strconv"
	"strings"
	"time"

	"github.com/fescuethread/fescuethread/authenticator"
	"github.com/fescuethread/fescuethread/forwarder"
	"github.com/fescuethread/fescuethread/logger"
	"github.com/fescuethread/fescuethread/registrar"
)

const (
	// HeaderKey carries the caller's key.
	HeaderKey = "Fescuethread-Key"
	// HeaderDeadline carries the milliseconds for which the caller waits.
	HeaderDeadline = "Fescuethread-Deadline"
	// HeaderOperation carries the token of non-idempotent work.
	HeaderOperation = "Fescuethread-Operation"
	// HeaderOutcome says "answered", "not run" or "unknown".
	HeaderOutcome = "Fescuethread-Outcome"
	// HeaderReason carries the cause of a failure.
	HeaderReason = "Fescuethread-Reason"
	// HeaderRequest carries the request's name.
	HeaderRequest = "Fescuethread-Request"

	pathLookup     = "/v1/lookup"
	pathOperations = "/v1/operations"
	pathServices   = "/v1/services/"
)

// ServeHTTP serves a caller.
func (c *Carrier) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	c.inFlight.Add(1)
	defer c.inFlight.Add(-1)
	switch {
	case r.URL.Path == pathLookup:
		c.serveLookup(w, r)
	case r.URL.Path == pathOperations:
		c.serveIssue(w, r)
	case strings.HasPrefix(r.URL.EscapedPath(), pathServices):
		c.serveRequest(w, r)
	default:
		c.write(w, c.newID(), notRun(http.StatusNotFound, ReasonMalformed))
	}
}

func (c *Carrier) serveRequest(w http.ResponseWriter, r *http.Request) {
	start := c.now()
	work, refused, ok := c.read(r)
	result := refused
	if ok {
		ctx, cancel := context.WithTimeout(r.Context(), work.left(start))
		defer cancel()
		result = c.carry(ctx, work)
	}
	result = c.truthful(r, ok, result)
	c.finish(work, result, c.now().Sub(start))
	c.write(w, work.ID, result)
}

// carry runs checked work: idempotent work from here, other work at its owner.
func (c *Carrier) carry(ctx context.Context, w Work) Result {
	if !w.Idempotent {
		return c.operate(ctx, w)
	}
	if refused, ok := c.admit(ctx, w); !ok {
		return refused
	}
	return c.run(ctx, w)
}

// truthful keeps a host that refuses an operation's request unread from claiming that the
// operation did not run: an earlier try may be running at its owner.
func (c *Carrier) truthful(r *http.Request, read bool, result Result) Result {
	if read || r.Header.Get(HeaderOperation) == "" {
		return result
	}
	return unknown(result.Status, result.Reason)
}

// read checks a caller's request and turns it into work.
func (c *Carrier) read(r *http.Request) (Work, Result, bool) {
	w := Work{ID: c.newID(), Method: r.Method, Origin: c.cfg.Host}
	s := c.parts.Configuration.Snapshot()
	if s == nil {
		return w, notRun(http.StatusServiceUnavailable, ReasonNotReady), false
	}
	name, path := splitPath(r.URL.EscapedPath())
	service, ok := s.Inventory.Service(name)
	if !ok {
		return w, notRun(http.StatusNotFound, ReasonService), false
	}
	// Only a known name may become a label of metrics.
	w.Service = name
	timeout, ok := c.timeout(r, service)
	if !ok {
		return w, notRun(http.StatusBadRequest, ReasonMalformed), false
	}
	w.Deadline = c.now().Add(timeout)
	w.Idempotent = service.IsIdempotent(r.Method)
	w, refused, ok := c.identify(w, r, s, service, path)
	if !ok {
		return w, refused, false
	}
	body, err := io.ReadAll(r.Body)
	if err != nil {
		return w, notRun(http.StatusBadRequest, ReasonMalformed), false
	}
	w.Body = body
	return c.withOperation(w, r)
}

// identify authenticates the request and drops its key from everything that travels on.
func (c *Carrier) identify(
	w Work, r *http.Request, s *Snapshot, service registrar.Service, path string,
) (Work, Result, bool) {
	key := r.Header.Get(HeaderKey)
	header, query := forwarder.Sanitize(r.Header, r.URL.RawQuery, key)
	w.Header = header
	w.Path = joinQuery(path, query)
	if key != "" && (strings.Contains(path, key) || strings.Contains(r.URL.Path, key)) {
		return w, notRun(http.StatusBadRequest, ReasonMalformed), false
	}
	if service.IsOpen(path) {
		return w, Result{}, true
	}
	if !c.parts.Freshness.MayServeKeyed(c.now()) {
		c.parts.Log.Log(eventStale, logger.F("request", w.ID))
		return w, notRun(http.StatusServiceUnavailable, ReasonStale), false
	}
	grant, err := s.Ring.Verify(key)
	if err != nil {
		c.parts.Log.Log(authenticator.EventRefused,
			logger.F("request", w.ID), logger.F("cause", err.Error()))
		return w, notRun(http.StatusUnauthorized, ReasonKey), false
	}
	customer, ok := s.Inventory.Customer(grant.Customer)
	if !ok || !customer.Uses(service.Name) {
		return w, notRun(http.StatusForbidden, ReasonForbidden), false
	}
	w.Customer = grant.Customer
	w.Digest = grant.Digest
	w.Keys = s.Ring.Version()
	return w, Result{}, true
}

// withOperation demands an operation identity for non-idempotent work.
func (c *Carrier) withOperation(w Work, r *http.Request) (Work, Result, bool) {
	if w.Idempotent {
		return w, Result{}, true
	}
	w.Operation = r.Header.Get(HeaderOperation)
	if w.Operation == "" {
		return w, notRun(http.StatusPreconditionRequired, ReasonIdentity), false
	}
	return w, Result{}, true
}

// timeout returns how long the caller waits, bounded by the service.
func (c *Carrier) timeout(r *http.Request, service registrar.Service) (time.Duration, bool) {
	longest := c.cfg.Timeout
	if service.Timeout > 0 {
		longest = service.Timeout
	}
	text := r.Header.Get(HeaderDeadline)
	if text == "" {
		return longest, true
	}
	ms, err := strconv.ParseUint(text, 10, 31)
	if err != nil || ms == 0 {
		return 0, false
	}
	return min(longest, time.Duration(ms)*time.Millisecond), true
}

func (c *Carrier) finish(w Work, r Result, took time.Duration) {
	c.stats.request(w, r, took)
	c.parts.Log.Log(eventAnswered,
		logger.F("request", w.ID),
		logger.F("customer", w.Customer),
		logger.F("service", w.Service),
		logger.F("outcome", outcomeName(r.Outcome)),
		logger.F("status", r.Status),
		logger.F("reason", string(r.Reason)),
		logger.F("target", r.Target),
		logger.F("host", r.Host),
		logger.F("took", took.Microseconds()),
	)
}

// failure is the body of an answer that is not a target's.
type failure struct {
	Outcome string `json:"outcome"`
	Reason  string `json:"reason"`
	Request string `json:"request"`
}

func (c *Carrier) write(w http.ResponseWriter, id string, r Result) {
	h := w.Header()
	for name, values := range r.Header {
		h[name] = values
	}
	h.Set(HeaderRequest, id)
	h.Set(HeaderOutcome, outcomeName(r.Outcome))
	body := r.Body
	if r.Reason != "" {
		body = c.writeFailure(h, id, r)
	}
	h.Set("Content-Length", strconv.Itoa(len(body)))
	w.WriteHeader(r.Status)
	_, _ = w.Write(body)
}

func (c *Carrier) writeFailure(h http.Header, id string, r Result) []byte {
	h.Set(HeaderReason, string(r.Reason))
	h.Set("Content-Type", "application/json")
	if r.Renewed != "" {
		h.Set(HeaderOperation, r.Renewed)
	}
	if r.Retry > 0 {
		seconds := (r.Retry + time.Second - 1) / time.Second
		h.Set("Retry-After", strconv.Itoa(int(seconds)))
	}
	return toJSON(failure{
		Outcome: outcomeName(r.Outcome),
		Reason:  string(r.Reason),
		Request: id,
	})
}

func toJSON(v interface{}) []byte {
	body, err := json.Marshal(v)
	if err != nil {
		return []byte("{}\n")
	}
	return append(body, '\n')
}

// splitPath cuts "/v1/services/{service}/{path}" into its service and the target's path.
func splitPath(path string) (service, rest string) {
	service, rest, _ = strings.Cut(strings.TrimPrefix(path, pathServices), "/")
	return service, "/" + rest
}

func joinQuery(path, query string) string {
	if query == "" {
		return path
	}
	return path + "?" + query
}
