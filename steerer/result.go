package steerer

import (
	"fmt"
	"net/http"
	"strconv"
	"time"

	"github.com/fescuethread/fescuethread/logger"
	"github.com/fescuethread/fescuethread/platform"
	"github.com/fescuethread/fescuethread/timer"
)

// Result is what the caller gets.
type Result struct {
	// Status is the status code; 0 is no answer.
	Status int
	// Header holds the target's header fields.
	Header http.Header
	// Body is the target's whole body.
	Body []byte
	// Reason says why the request ended so.
	Reason Reason
	// Retry is when a refused request should come back; 0 is unsaid.
	Retry time.Duration
}

func refusal(status int, r Reason, retry time.Duration) Result {
	return Result{Status: status, Reason: r, Retry: retry}
}

func (s *Steerer) finish(q *request, r Result) {
	took := timer.Now().Sub(q.started)
	route := ""
	if q.route != nil {
		route = q.route.Name
	}
	s.parts.Stats.ended(route, r, took)
	event := EventEnded
	if q.tries == 0 {
		event = EventRefused
	}
	version := uint64(0)
	if q.plan != nil {
		version = q.plan.Version()
	}
	s.parts.Log.Log(event,
		logger.F("request", q.id), logger.F("route", route),
		logger.F("customer", q.customerName()), logger.F("service", q.service),
		logger.F("status", r.Status), logger.F("reason", string(r.Reason)),
		logger.F("target", q.target), logger.F("tries", q.tries),
		logger.F("took_ms", took.Milliseconds()), logger.F("plan", version),
		logger.F("proof_ms", age(s.parts.Plans.Proved())),
		logger.F("hosts_ms", age(s.cfg.ListedSince())),
		logger.F("retry_ms", r.Retry.Milliseconds()))
}

// age returns the milliseconds since the instant of a proof; -1 is never.
func age(at timer.Instant) int64 {
	if at == 0 {
		return -1
	}
	return timer.Now().Sub(at).Milliseconds()
}

func (s *Steerer) write(w http.ResponseWriter, q *request, r Result) {
	if r.Status == 0 {
		// The caller has left; the status only ends the exchange.
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
			h.Set(platform.HeaderRequest, q.id)
		}
		h.Set("Content-Type", "application/json")
		if r.Retry > 0 {
			h.Set("Retry-After", strconv.FormatFloat(r.Retry.Seconds(), 'f', 3, 64))
		}
		body = fmt.Appendf(nil, "{\"error\":%q}\n", string(r.Reason))
	}
	h.Set("Content-Length", strconv.Itoa(len(body)))
	w.WriteHeader(r.Status)
	if _, err := w.Write(body); err != nil {
		s.parts.Stats.unwritten.Inc()
	}
}
