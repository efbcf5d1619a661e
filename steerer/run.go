package steerer

import (
	"context"
	"net/http"
	"slices"
	"time"

	"github.com/fescuethread/fescuethread/isolator"
	"github.com/fescuethread/fescuethread/logger"
	"github.com/fescuethread/fescuethread/planner"
	"github.com/fescuethread/fescuethread/retrier"
	"github.com/fescuethread/fescuethread/selector"
	"github.com/fescuethread/fescuethread/timer"
)

// run sends the request to one target after another until one returns a usable response.
// callerCtx ends when the caller disconnects; ctx ends then too, and timeoutSlack after the
// request's deadline.
func (s *Steerer) run(ctx, callerCtx context.Context, q *request) Result {
	var failure *attemptResult
	for {
		choice := s.deps.Selector.Choose(timer.Now(), s.query(q))
		if !choice.Chosen() {
			s.logNoTarget(q, &choice)
			return s.failureResult(q, failure, reasonOf(choice.Reason), s.retryAfter(&choice))
		}
		if !s.keyStillValid(q) {
			s.deps.Selector.End(timer.Now(), &choice, s.query(q), selector.Result{})
			return s.failureResult(q, failure, ReasonStaleKeys, shortRetryAfter)
		}
		res := s.attempt(ctx, q, &choice)
		if res.usable() {
			return res.result()
		}
		if callerCtx.Err() != nil {
			return Result{Reason: ReasonCallerDisconnected}
		}
		failure = s.mergeFailure(failure, res)
		if reason, retry := s.shouldRetry(ctx, q, res); !retry {
			return s.failureResult(q, failure, reason, s.retryAfter(&choice))
		}
	}
}

// retryAfter returns when a rejected request may return; other hosts may serve what this one can't
// finish before it ends.
func (s *Steerer) retryAfter(c *selector.Choice) time.Duration {
	if s.leaving() {
		return shortRetryAfter
	}
	return c.RetryAfter
}

func (s *Steerer) query(q *request) selector.Query {
	return selector.Query{
		Service:     q.service,
		Route:       q.route.Name,
		Object:      q.affinityKey,
		HomeRegions: planner.HomeRegions(q.route, q.customer),
		Objective:   q.route.Objective,
		Timeout:     s.timeLeft(q),
		Priority:    planner.Priority(q.route, q.customer),
		CallerRetry: q.callerRetry,
		Exclude:     q.triedTargets,
		Exclusive:   q.permit.Verdict == isolator.VerdictAlone,
	}
}

func reasonOf(r selector.Reason) Reason {
	switch r {
	case selector.ReasonNoTarget:
		return ReasonNoTarget
	case selector.ReasonHeldOff:
		return ReasonHeldOff
	}
	return ReasonFull
}

// mergeFailure returns the failure to report to the caller: a response of a target that may have
// run the request takes precedence.
func (s *Steerer) mergeFailure(failure, res *attemptResult) *attemptResult {
	if failure != nil && failure.response != nil && failure.mayHaveRun &&
		(res.response == nil || !res.mayHaveRun) {
		return failure
	}
	return res
}

// attempt sends the request to the chosen target and reports the result to the selector, the
// isolator, the metrics and the log.
func (s *Steerer) attempt(ctx context.Context, q *request, c *selector.Choice) *attemptResult {
	now := timer.Now()
	if !s.deps.Isolator.Start(now, q.permit, c.Target.ID) {
		s.deps.Selector.End(now, c, s.query(q), selector.Result{})
		return &attemptResult{
			outcome: selector.OutcomeCancelled,
			cause:   "suspected of crashing targets after admission",
		}
	}
	q.attempts++
	q.lastTarget = c.Target.ID
	q.triedTargets = append(slices.Clone(q.triedTargets), c.Target.ID)
	s.deps.Log.Log(EventSent,
		logger.F("request", q.id), logger.F("route", q.route.Name),
		logger.F("service", q.service), logger.F("customer", q.customerName()),
		logger.F("target", c.Target.ID), logger.F("zone", c.Target.Zone),
		logger.F("rule", string(c.Rule)), logger.F("move", string(c.Move)),
		logger.F("load", round(c.Load)),
		logger.F("expected_ms", c.ExpectedLatency.Milliseconds()),
		logger.F("left_ms", q.deadline.Sub(now).Milliseconds()),
		logger.F("cold_ms", c.ColdFor.Milliseconds()), logger.F("limited", c.Limited),
		logger.F("recent", c.Recent),
		logger.F("returned", q.callerRetry),
		logger.F("plan", q.plan.Version()), logger.F("try", q.attempts))
	res := s.send(ctx, q, c)
	ended := timer.Now()
	if res.mayHaveRun {
		q.possibleRuns++
	}
	news := s.deps.Selector.End(ended, c, s.query(q), selector.Result{
		Outcome: res.outcome, Report: res.load, Latency: ended.Sub(now),
		Leaving: res.leaving, HoldFor: res.holdFor, Refused: res.refused,
		Disconnected: res.disconnected, ConnectedAt: res.connectedAt,
	})
	if news {
		s.deps.Announce()
	}
	s.logHold(q, res)
	s.logInvalidLoad(ended, q, res)
	s.deps.Stats.countAttempt(q.service, outcomeName(res.outcome), ended.Sub(now))
	s.endPermit(ended, q, res)
	if !res.usable() {
		s.logFailure(q, res, ended.Sub(now))
	}
	return res
}

// send sends the request to the target. If a reused connection ended before the response, the
// target most likely closed it while idle, so an idempotent request is sent again over a new
// connection; the retry is charged to the retry budget.
func (s *Steerer) send(ctx context.Context, q *request, c *selector.Choice) *attemptResult {
	started := timer.Now()
	res := s.deps.Sender.send(ctx, q, c.Target, connReuse)
	if res.disconnected {
		s.disconnected(c.Target.ID, false)
	}
	if !res.stale || !q.route.Idempotent() || ctx.Err() != nil || !s.keyStillValid(q) ||
		!s.deps.Selector.Repeat(timer.Now(), c, s.query(q)) || !s.takeRetry(q, res) {
		return res
	}
	s.logFailure(q, res, timer.Now().Sub(started))
	retried := s.deps.Sender.send(ctx, q, c.Target, connNew)
	if retried.outcome == selector.OutcomeUnreachable {
		// The target may have crashed because of the request.
		res.unreachable = true
		res.refused = retried.refused
		return res
	}
	// The request may have run after the first send, whatever the second returned.
	retried.mayHaveRun = true
	return retried
}

// endPermit ends the request's isolator permit and reports a target that became unreachable.
func (s *Steerer) endPermit(now timer.Instant, q *request, res *attemptResult) {
	switch res.outcome {
	case selector.OutcomeUnreachable:
		s.deps.Isolator.End(now, q.permit, isolator.OutcomeNotRun)
		s.deps.Isolator.ConnectionRefused(now, q.lastTarget)
	case selector.OutcomeLost:
		s.deps.Isolator.End(now, q.permit, isolator.OutcomeLost)
		if res.unreachable {
			s.deps.Isolator.ConnectionRefused(now, q.lastTarget)
		}
	case selector.OutcomeCancelled:
		if res.shortage {
			s.deps.Isolator.End(now, q.permit, isolator.OutcomeNotRun)
			return
		}
		s.deps.Isolator.End(now, q.permit, isolator.OutcomeEnded)
	case selector.OutcomeShed, selector.OutcomeMisdirected:
		s.deps.Isolator.End(now, q.permit, isolator.OutcomeNotRun)
	default:
		s.deps.Isolator.End(now, q.permit, isolator.OutcomeAnswered)
	}
}

// shouldRetry reports whether to send the request to another target, or the reason not to. It
// charges the retry budget and acquires a new isolator permit.
func (s *Steerer) shouldRetry(ctx context.Context, q *request, res *attemptResult) (Reason, bool) {
	now := timer.Now()
	switch {
	case s.aborted.Err() != nil:
		return ReasonStopping, false
	case ctx.Err() != nil || now.Add(retryMargin) >= q.deadline:
		return ReasonTimeout, false
	case res.mayHaveRun && !q.route.Idempotent():
		return ReasonResponseLost, false
	case res.shortage:
		return ReasonShortage, false
	case q.possibleRuns >= q.route.MaxAttempts || q.attempts >= maxAttempts:
		return ReasonAttempts, false
	}
	if !s.takeRetry(q, res) {
		return ReasonRetryBudget, false
	}
	if _, ok := s.checkQuarantine(q); !ok {
		return ReasonCrashesTargets, false
	}
	return "", true
}

// takeRetry reports whether a retry is permitted, and charges it to the service's retry budget if
// so.
func (s *Steerer) takeRetry(q *request, res *attemptResult) bool {
	d := s.budget.Decide(timer.Now(), retrier.Attempt{
		Service:          q.service,
		Attempts:         q.attempts,
		Idempotent:       q.route.Idempotent(),
		NotRun:           !res.mayHaveRun,
		Deadline:         q.deadline,
		ExpectedDuration: retryMargin,
	})
	return d.Retry()
}

// failureResult returns the response to a request without a usable response from a target. It
// passes on a stamped error response of a target that may have run the request. Otherwise, the
// status is 503, which callers may retry, only if the request cannot have run.
func (s *Steerer) failureResult(
	q *request, failure *attemptResult, r Reason, retryAfter time.Duration,
) Result {
	s.deps.Isolator.End(timer.Now(), q.permit, isolator.OutcomeNotRun)
	if failure != nil && failure.mayHaveRun && failure.response != nil && failure.stamped {
		return failure.result()
	}
	switch {
	case q.possibleRuns == 0:
		return rejection(http.StatusServiceUnavailable, r, max(retryAfter, shortRetryAfter))
	case r == ReasonTimeout:
		return Result{Status: http.StatusGatewayTimeout, Reason: r}
	case r == ReasonStopping:
		return Result{Status: http.StatusBadGateway, Reason: r}
	}
	return Result{Status: http.StatusBadGateway, Reason: ReasonResponseLost}
}

func (s *Steerer) logNoTarget(q *request, c *selector.Choice) {
	s.deps.Log.Log(EventNoTarget,
		logger.F("request", q.id), logger.F("service", q.service),
		logger.F("reason", string(c.Reason)), logger.F("target", c.Target.ID),
		logger.F("load", round(c.Load)), logger.F("slots", c.Target.Slots),
		logger.F("expected_ms", c.ExpectedLatency.Milliseconds()),
		logger.F("left_ms", q.deadline.Sub(timer.Now()).Milliseconds()),
		logger.F("returned", q.callerRetry))
}

func (s *Steerer) logFailure(q *request, res *attemptResult, elapsed time.Duration) {
	s.deps.Log.Log(EventAttemptFailed,
		logger.F("request", q.id), logger.F("target", q.lastTarget),
		logger.F("outcome", outcomeName(res.outcome)), logger.F("may_have_run", res.mayHaveRun),
		logger.F("status", res.status()), logger.F("cause", res.cause),
		logger.F("took_ms", elapsed.Milliseconds()))
}

// logHold logs what a target said about further requests.
func (s *Steerer) logHold(q *request, res *attemptResult) {
	if !res.leaving && res.holdFor == 0 && res.invalidHold == "" {
		return
	}
	s.deps.Log.Log(EventTargetHeld,
		logger.F("request", q.id), logger.F("target", q.lastTarget),
		logger.F("leaving", res.leaving), logger.F("hold_ms", res.holdFor.Milliseconds()),
		logger.F("limit_ms", selector.MaxHold.Milliseconds()), logger.F("invalid", res.invalidHold))
}

// logInvalidLoad counts a load report that can't be parsed, and logs one per invalidLoadInterval.
func (s *Steerer) logInvalidLoad(now timer.Instant, q *request, res *attemptResult) {
	if res.invalidLoad == nil {
		return
	}
	s.deps.Stats.invalidLoads.Inc()
	last := s.invalidLoadAt.Load()
	if last != 0 && now.Sub(timer.Instant(last)) < invalidLoadInterval ||
		!s.invalidLoadAt.CompareAndSwap(last, int64(now)) {
		return
	}
	s.deps.Log.Log(EventLoadInvalid, logger.F("request", q.id), logger.F("target", q.lastTarget),
		logger.F("cause", res.invalidLoad.Error()))
}

// round rounds to one decimal place.
func round(v float64) float64 {
	return float64(int(v*10+0.5)) / 10
}
