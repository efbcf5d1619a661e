package steerer

import (
	"fmt"
	"time"

	"github.com/VictoriaMetrics/metrics"

	"github.com/fescuethread/fescuethread/selector"
)

// Stats updates the metrics of requests, attempts and store calls.
type Stats struct {
	writeErrors  *metrics.Counter
	invalidLoads *metrics.Counter
}

// NewStats returns the process-wide metrics; all instances share them.
func NewStats() *Stats {
	return &Stats{
		writeErrors:  metrics.GetOrCreateCounter("fescuethread_answers_unwritten_total"),
		invalidLoads: metrics.GetOrCreateCounter("fescuethread_load_reports_invalid_total"),
	}
}

func (s *Stats) countRequest(route string, r Result, elapsed time.Duration) {
	metrics.GetOrCreateCounter(fmt.Sprintf(
		"fescuethread_requests_total{route=%q,status=\"%d\",reason=%q}", route, r.Status, r.Reason,
	)).Inc()
	metrics.GetOrCreateHistogram(fmt.Sprintf(
		"fescuethread_request_seconds{route=%q,reason=%q}", route, r.Reason,
	)).Update(elapsed.Seconds())
}

func (s *Stats) countAttempt(service, outcome string, elapsed time.Duration) {
	metrics.GetOrCreateCounter(fmt.Sprintf(
		"fescuethread_tries_total{service=%q,outcome=%q}", service, outcome,
	)).Inc()
	metrics.GetOrCreateHistogram(fmt.Sprintf(
		"fescuethread_try_seconds{service=%q,outcome=%q}", service, outcome,
	)).Update(elapsed.Seconds())
}

// countVerification counts one verification of a target's start.
func (s *Stats) countVerification(v selector.Verification) {
	result := "unknown"
	switch {
	case v.Refused:
		result = "refused"
	case v.Answered && v.ColdRemaining > 0:
		result = "cold"
	case v.Answered:
		result = "warm"
	}
	metrics.GetOrCreateCounter(fmt.Sprintf(
		"fescuethread_target_verifications_total{result=%q}", result,
	)).Inc()
}

// CountCall counts one call of the configuration store and records its duration.
func (s *Stats) CountCall(op string, err error, elapsed time.Duration) {
	result := "ok"
	if err != nil {
		result = "failed"
	}
	metrics.GetOrCreateCounter(fmt.Sprintf(
		"fescuethread_store_calls_total{call=%q,result=%q}", op, result,
	)).Inc()
	metrics.GetOrCreateHistogram(fmt.Sprintf(
		"fescuethread_store_call_seconds{call=%q}", op,
	)).Update(elapsed.Seconds())
}
