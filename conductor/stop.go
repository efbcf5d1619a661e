package conductor

import (
	"context"
	"time"

	"github.com/fescuethread/fescuethread/logger"
	"github.com/fescuethread/fescuethread/timer"
)

const (
	// defaultGracePeriod is the time for a graceful shutdown if the bounds set none.
	defaultGracePeriod = 6 * time.Second
	// callerTTLFactor is the number of TTLs for which some callers cache a directory response.
	callerTTLFactor = 3
	// exitMargin is the time of the grace period that is kept for the last responses and the exit of
	// the process, at most exitPart of the grace period.
	exitMargin = 600 * time.Millisecond
	exitPart   = 8
	// abortTimeout bounds the wait for the responses to aborted requests.
	abortTimeout = 100 * time.Millisecond
	// drainPollInterval is how often the number of requests in flight is checked.
	drainPollInterval = 20 * time.Millisecond
)

// Stop begins a graceful shutdown; Run returns when it is complete.
func (h *Host) Stop() {
	h.stopOnce.Do(func() { close(h.stop) })
}

// handleStop waits for Stop, then takes the host out of the directory and keeps serving until the
// directory responses that callers have cached expire, at most for half the grace period. After
// that it refuses new requests, drains those in flight and ends all services. Requests that are
// still in flight shortly before the end of the grace period are answered instead of cut off.
func (h *Host) handleStop(ctx context.Context) error {
	select {
	case <-ctx.Done():
		return nil
	case <-h.stop:
	}
	start := timer.Now()
	grace := h.bounds.Load().GracePeriod()
	if grace <= 0 {
		grace = defaultGracePeriod
	}
	end := start.Add(grace - min(exitMargin, grace/exitPart))
	h.steerer.Leave(end)
	h.draining.Store(true)
	h.callerServer.DisableKeepAlives()
	h.announcer.SendHeartbeat(start)
	h.log.Log(eventStopping, logger.F("phase", "leave"), logger.F("serving", h.steerer.InFlight()))
	if !sleep(ctx, min(callerTTLFactor*directoryTTL, grace/2)) {
		return nil
	}
	h.steerer.Stop()
	h.log.Log(eventStopping, logger.F("phase", "finish"), logger.F("serving", h.steerer.InFlight()))
	if !h.awaitRequests(ctx, end) {
		return nil
	}
	if n := h.steerer.InFlight(); n > 0 {
		h.log.Log(eventStopTimeout, logger.F("serving", n))
		h.steerer.Abort()
		h.awaitRequests(ctx, timer.Now().Add(abortTimeout))
	}
	h.cancel()
	return nil
}

// awaitRequests waits until no request is in flight and callers have read their responses, at most
// until end; it returns false if ctx ends before.
func (h *Host) awaitRequests(ctx context.Context, end timer.Instant) bool {
	for (h.steerer.InFlight() > 0 || h.callerServer.Unsent()) && timer.Now() < end {
		if !sleep(ctx, drainPollInterval) {
			return false
		}
	}
	return true
}
