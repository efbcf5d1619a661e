package steerer

import (
	"context"
	"net/http"
	"strconv"
	"time"

	"github.com/fescuethread/fescuethread/exchanger"
	"github.com/fescuethread/fescuethread/logger"
	"github.com/fescuethread/fescuethread/pacer"
	"github.com/fescuethread/fescuethread/platform"
	"github.com/fescuethread/fescuethread/selector"
	"github.com/fescuethread/fescuethread/timer"
)

const (
	// verifyTimeout bounds the verification of a target's start.
	verifyTimeout = time.Second
	// verifyInterval is the time between two verifications of a target.
	verifyInterval = 250 * time.Millisecond
)

// IdleEnded handles that a target ended an idle connection.
func (s *Steerer) IdleEnded(target string) {
	s.deps.Log.Log(EventIdleEnded, logger.F("target", target))
	s.disconnected(target, true)
}

// disconnected handles that a target has ended a connection: it is asked whether it has started
// again. This doesn't wait for the response.
func (s *Steerer) disconnected(target string, idle bool) {
	if c, ok := s.deps.Selector.Disconnected(timer.Now(), target, idle); ok {
		go s.verify(c)
	}
}

// verify asks a target for its start until nothing contradicts the response, or this host ends.
func (s *Steerer) verify(c selector.Check) {
	for wait := c.Wait; ; wait = verifyInterval {
		if (pacer.Clock{}).Sleep(s.aborted, wait) != nil {
			return
		}
		askedAt := timer.Now()
		v, cause := s.checkHealth(c.Target)
		now := timer.Now()
		tell, again := s.deps.Selector.Verified(now, askedAt, c.Target, v)
		s.deps.Stats.countVerification(v)
		s.deps.Log.Log(EventTargetVerified, logger.F("target", c.Target.ID),
			logger.F("answered", v.Answered), logger.F("refused", v.Refused),
			logger.F("cold_ms", v.ColdRemaining.Milliseconds()), logger.F("cause", cause),
			logger.F("took_ms", now.Sub(askedAt).Milliseconds()))
		if tell {
			s.deps.Announce()
		}
		if !again {
			return
		}
	}
}

// checkHealth asks the target's health endpoint over a new connection. A response of something
// else, such as a proxy or another target, says nothing, nor does a rejection without a cold time.
func (s *Steerer) checkHealth(t selector.Target) (v selector.Verification, cause string) {
	plan := s.deps.Plans.Plan()
	if plan == nil || plan.Service(t.Service) == nil || plan.Service(t.Service).HealthPath == "" {
		return v, "the service has no health path"
	}
	ctx, cancel := context.WithTimeout(s.aborted, verifyTimeout)
	defer cancel()
	resp, err := s.deps.Sender.checkHealth(ctx, t, plan.Service(t.Service).HealthPath)
	if err != nil {
		v.Refused = exchanger.Refused(err)
		return v, err.Error()
	}
	if resp.Header.Get(platform.HeaderTarget) != t.ID {
		return v, "the response has another target's ID or none"
	}
	if v.ColdRemaining, err = platform.ParseColdRemaining(
		resp.Header.Get(platform.HeaderColdRemaining)); err != nil {
		return v, err.Error()
	}
	if v.ColdRemaining == 0 && resp.Status != http.StatusOK {
		return v, "the health check was rejected"
	}
	v.Answered = true
	return v, ""
}

// checkHealth sends a health check to the target over a new connection, which can be reused
// afterwards.
func (s *Sender) checkHealth(
	ctx context.Context, t selector.Target, path string,
) (*exchanger.Response, error) {
	h := http.Header{}
	h.Set(platform.HeaderExpectedTarget, t.ID)
	h.Set(platform.HeaderDeadline, strconv.FormatInt(verifyTimeout.Milliseconds(), 10))
	return s.pool(t).ExchangeNewConn(ctx, &exchanger.Request{
		Method: http.MethodGet, Path: path, Header: h, IDHeader: platform.HeaderRequestID, Check: true,
	})
}
