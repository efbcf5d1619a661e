package conductor

import (
	"context"
	"time"

	"github.com/fescuethread/fescuethread/logger"
	"github.com/fescuethread/fescuethread/timer"
)

const (
	// defaultGrace is the time for a stop where the users state none.
	defaultGrace = 6 * time.Second
	// lookupTerms is the number of lifetimes that callers keep an answer of the directory.
	lookupTerms = 3
	// exitMargin is left of the grace time for the process's end.
	exitMargin = 400 * time.Millisecond
	// idlePeriod is the time between two looks whether requests are still served.
	idlePeriod = 20 * time.Millisecond
)

// Stop begins a graceful stop; Run returns once the host has left.
func (h *Host) Stop() {
	h.stopOnce.Do(func() { close(h.stop) })
}

// awaitStop leaves the directory, serves callers that still come until their answers of the
// directory have run out, then refuses new work, finishes what is served and ends the process.
func (h *Host) awaitStop(ctx context.Context) error {
	select {
	case <-ctx.Done():
		return nil
	case <-h.stop:
	}
	began := timer.Now()
	grace := h.bounds.Load().Grace()
	if grace <= 0 {
		grace = defaultGrace
	}
	h.leaving.Store(true)
	h.callers.Retire()
	h.announcer.Beat(began)
	h.log.Log(eventStopping, logger.F("phase", "leave"), logger.F("serving", h.steerer.InFlight()))
	if !sleep(ctx, min(lookupTerms*directoryLifetime, grace/2)) {
		return nil
	}
	h.steerer.Stop()
	h.log.Log(eventStopping, logger.F("phase", "finish"), logger.F("serving", h.steerer.InFlight()))
	for h.steerer.InFlight() > 0 && timer.Now().Sub(began) < grace-exitMargin {
		if !sleep(ctx, idlePeriod) {
			return nil
		}
	}
	if n := h.steerer.InFlight(); n > 0 {
		h.log.Log(eventStopCut, logger.F("serving", n))
	}
	h.cancel()
	return nil
}
