package steerer

import (
	"fmt"
	"net/http"
	"strconv"
	"time"

	"github.com/fescuethread/fescuethread/logger"
	"github.com/fescuethread/fescuethread/platform"
	"github.com/fescuethread/fescuethread/server"
	"github.com/fescuethread/fescuethread/timer"
)

// Result is the response to the caller.
type Result struct {
	// Status is the HTTP status code; 0 means that the caller has disconnected.
	Status int
	// Header holds the end-to-end fields of the target's response.
	Header http.Header
	// Body is the body of the target's response.
	Body []byte
	// Reason says how the request ended.
	Reason Reason
	// RetryAfter is sent as the Retry-After header; 0 omits it.
	RetryAfter time.Duration
}

func rejection(status int, r Reason, retryAfter time.Duration) Result {
	return Result{Status: status, Reason: r, RetryAfter: retryAfter}
}

// record logs the end of the request and updates the metrics.
func (s *Steerer) record(q *request, r Result) {
	elapsed := timer.Now().Sub(q.started)
	route := ""
	if q.route != nil {
		route = q.route.Name
	}
	s.deps.Stats.countRequest(route, r, elapsed)
	event := EventEnded
	if q.attempts == 0 {
		event = EventRejected
	}
	version := uint64(0)
	if q.plan != nil {
		version = q.plan.Version()
	}
	s.deps.Log.Log(event,
		logger.F("request", q.id), logger.F("route", route),
		logger.F("customer", q.customerName()), logger.F("service", q.service),
		logger.F("status", r.Status), logger.F("reason", string(r.Reason)),
		logger.F("target", q.lastTarget), logger.F("tries", q.attempts),
		logger.F("took_ms", elapsed.Milliseconds()), logger.F("plan", version),
		logger.F("proof_ms", ageMillis(s.deps.Plans.VerifiedAt())),
		logger.F("hosts_ms", ageMillis(s.cfg.LastRegistered())),
		logger.F("retry_ms", r.RetryAfter.Milliseconds()))
}

// ageMillis returns the milliseconds since t, or -1 if t is zero.
func ageMillis(t timer.Instant) int64 {
	if t == 0 {
		return -1
	}
	return timer.Now().Sub(t).Milliseconds()
}

func (s *Steerer) write(w http.ResponseWriter, q *request, r Result) {
	if r.Status == 0 {
		// The caller has disconnected; the status only completes the exchange.
		w.WriteHeader(http.StatusBadGateway)
		return
	}
	h := w.Header()
	for name, values := range r.Header {
		h[name] = values
	}
	body := r.Body
	if r.Reason != ReasonAnswered {
		if q.id != "" {
			h.Set(platform.HeaderRequestID, q.id)
		}
		h.Set("Content-Type", "application/json")
		if r.RetryAfter > 0 {
			h.Set("Retry-After", strconv.FormatFloat(r.RetryAfter.Seconds(), 'f', 3, 64))
		}
		body = fmt.Appendf(nil, "{\"error\":%q}\n", string(r.Reason))
	}
	h.Set("Content-Length", strconv.Itoa(len(body)))
	w.WriteHeader(r.Status)
	if _, err := server.WriteBody(w, body); err != nil {
		s.deps.Stats.writeErrors.Inc()
	}
}
