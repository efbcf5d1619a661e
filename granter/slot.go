package granter

import (
	"time"

	"github.com/fescuethread/fescuethread/carrier"
	"github.com/fescuethread/fescuethread/isolator"
	"github.com/fescuethread/fescuethread/messenger"
	"github.com/fescuethread/fescuethread/registrar"
	"github.com/fescuethread/fescuethread/scheduler"
	"github.com/fescuethread/fescuethread/timer"
)

// slot is a target's slot held by one request.
type slot struct {
	granter *Granter
	zone    *zone
	ticket  *scheduler.Ticket
	target  registrar.Target
	permit  *isolator.Permit
	since   timer.Instant
}

// Target is the target that runs the request.
func (s *slot) Target() registrar.Target {
	return s.target
}

// Release gives the slot back.
func (s *slot) Release(r carrier.Result) {
	now := s.granter.now()
	s.zone.scheduler.Done(now, s.ticket, resultOf(r, now.Sub(s.since)))
	if r.Loss == carrier.LossRefused {
		s.granter.isolator.Refused(now, s.target.Name)
	}
	s.granter.isolator.End(now, s.permit, outcomeOf(r))
}

func outcomeOf(r carrier.Result) isolator.Outcome {
	switch {
	case r.Outcome == messenger.Outcome_OUTCOME_ANSWERED:
		return isolator.OutcomeAnswered
	case r.Outcome == messenger.Outcome_OUTCOME_NOT_RUN:
		return isolator.OutcomeNotRun
	case r.Loss == carrier.LossBroken:
		return isolator.OutcomeLost
	default:
		return isolator.OutcomeEnded
	}
}

const (
	// shedStatus is the HTTP status with which a target sheds load.
	shedStatus = 503
	// failedStatus is the lowest HTTP status with which a target tells of a failure of its own.
	failedStatus = 500
	// patience is the time from which a deadline that passes counts against the target; a shorter
	// deadline says nothing, or a caller in a hurry could have targets ejected.
	patience = time.Second
)

func resultOf(r carrier.Result, took time.Duration) scheduler.Result {
	switch {
	case r.Reason == carrier.ReasonKey || r.Reason == carrier.ReasonCaller:
		return scheduler.ResultCancelled
	case r.Reason == carrier.ReasonDeadline && took < patience:
		return scheduler.ResultCancelled
	case r.Outcome == messenger.Outcome_OUTCOME_ANSWERED && r.Status == shedStatus:
		return scheduler.ResultShed
	case r.Outcome == messenger.Outcome_OUTCOME_ANSWERED && r.Status < failedStatus:
		return scheduler.ResultOK
	default:
		return scheduler.ResultFailed
	}
}
