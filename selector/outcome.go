package selector

import (
	"time"

	"github.com/fescuethread/fescuethread/timer"
)

// Outcome classifies the result of an attempt at a target.
type Outcome uint8

const (
	// OutcomeCancelled means that the attempt was cancelled; the target's health stays as it is.
	OutcomeCancelled Outcome = iota
	// OutcomeAnswered means that the target sent a usable response.
	OutcomeAnswered
	// OutcomeFailed means that the target responded with a server error.
	OutcomeFailed
	// OutcomeShed means that the request was refused without being run.
	OutcomeShed
	// OutcomeMisdirected means that another target has the address now.
	OutcomeMisdirected
	// OutcomeLost means that the connection broke or that the response was not usable.
	OutcomeLost
	// OutcomeUnreachable means that no connection to the target could be opened.
	OutcomeUnreachable
)

// answered reports whether the target sent a response.
func (o Outcome) answered() bool {
	return o == OutcomeAnswered || o == OutcomeFailed || o == OutcomeShed
}

// begin counts a request as in flight.
func (t *target) begin(now timer.Instant, baseLatency time.Duration) {
	if t.inFlight == 0 {
		t.busySince = now
		t.maxBaseLatency = 0
	}
	t.maxBaseLatency = max(t.maxBaseLatency, baseLatency)
	t.inFlight++
	t.sent = append(t.sent, now)
	if t.failing() {
		t.lastProbe = now
	}
}

// end records the result of a request.
func (t *target) end(now, sentAt timer.Instant, r Result, serviceLatency time.Duration) {
	t.inFlight--
	t.observed = t.observed || r.Outcome != OutcomeCancelled
	t.hold.observe(now, r)
	t.reportTTL = min(max(serviceLatency, minReportTTL), maxReportTTL)
	if r.Report != nil {
		t.report = *r.Report
		t.reportAt = now
		t.reportInFlight = t.inFlight
	}
	if r.Disconnected {
		t.forgetSent(sentAt)
	}
	if r.Outcome.answered() {
		t.ending.answered(now, sentAt, r.ConnectedAt)
	}
	switch r.Outcome {
	case OutcomeAnswered:
		t.succeeded(now, r)
	case OutcomeFailed:
		t.lastResponse = now
		t.consecutiveLosses = 0
		t.failureRate += failureWeight * (1 - t.failureRate)
	case OutcomeShed:
		t.shed(now, r)
	case OutcomeMisdirected:
		t.misdirected = true
	case OutcomeLost:
		if r.Refused {
			t.down(now)
			return
		}
		t.lost(now)
	case OutcomeUnreachable:
		t.down(now)
	}
}

func (t *target) succeeded(now timer.Instant, r Result) {
	t.lastResponse = now
	t.consecutiveLosses = 0
	t.ejections = 0
	t.failureRate -= failureWeight * t.failureRate
	if r.BaseLatency > 0 {
		ratio := min(float64(r.Latency)/float64(r.BaseLatency), maxLatencyRatio)
		t.latencyRatio += latencyRatioWeight * (ratio - t.latencyRatio)
	}
}

// shed records a refusal: a failure if the target reports free slots, otherwise overload.
func (t *target) shed(now timer.Instant, r Result) {
	t.lastResponse = now
	t.consecutiveLosses = 0
	if r.Report.free() {
		t.failureRate += failureWeight * (1 - t.failureRate)
		return
	}
	t.report = Load{Running: t.Slots, Waiting: 2 * t.Slots, Slots: t.Slots}
	t.reportAt = now
	t.reportInFlight = t.inFlight
}

func (t *target) lost(now timer.Instant) {
	t.consecutiveLosses++
	t.failureRate += failureWeight * (1 - t.failureRate)
	if t.consecutiveLosses < ejectAfterLosses {
		return
	}
	ejection := min(minEjectionTime<<min(t.ejections, 8), maxEjectionTime)
	t.ejections++
	t.ejectedUntil = now.Add(ejection)
}
