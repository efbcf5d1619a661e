package assembler

import (
	"context"
	"time"

	"github.com/pkg/errors"

	"github.com/fescuethread/fescuethread/detector"
	"github.com/fescuethread/fescuethread/drainer"
	"github.com/fescuethread/fescuethread/identifier"
	"github.com/fescuethread/fescuethread/logger"
	"github.com/fescuethread/fescuethread/messenger"
	"github.com/fescuethread/fescuethread/timer"
)

const (
	// stopPeriod is the time between two looks at a graceful stop.
	stopPeriod = 100 * time.Millisecond
	// newsSpread is the time in which every host hears that this one leaves.
	newsSpread = 3 * time.Second
	// handoverTimeout bounds the handing over of operations.
	handoverTimeout = 5 * time.Second
	// handoverRetry is the time between two tries to hand over.
	handoverRetry = 200 * time.Millisecond
)

// stopper brings the host through the phases of a graceful stop.
type stopper struct {
	host   *Host
	ticker *timer.Subscription
	asked  chan struct{}
	state  drainer.Stop
}

func newStopper(h *Host, ticker *timer.Subscription) *stopper {
	limits := drainer.Limits{
		Answers: newsSpread + h.settings.Callers.Lifetime.Std(),
		Finish:  h.settings.Drain.Limit.Std(),
	}
	return &stopper{
		host:   h,
		ticker: ticker,
		asked:  make(chan struct{}, 1),
		state:  drainer.NewStop(limits),
	}
}

// ask begins a graceful stop.
func (s *stopper) ask() {
	select {
	case s.asked <- struct{}{}:
	default:
	}
}

// Run follows the stop and ends the host once it has left.
func (s *stopper) Run(ctx context.Context) error {
	defer s.ticker.Close()
	begun := false
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-s.asked:
			begun = true
		case tick := <-s.ticker.C():
			if s.step(ctx, tick.At, begun) {
				s.host.cancel()
				return nil
			}
		}
	}
}

// step reports whether the host has left.
func (s *stopper) step(ctx context.Context, now timer.Instant, begun bool) bool {
	before := s.state.Phase()
	if begun || s.planned() {
		s.state = s.state.WithBegin(now)
	} else {
		s.state = s.state.WithCancel()
	}
	s.state = s.state.WithProgress(now, s.host.inFlight())
	s.enter(before, s.state.Phase())
	if s.state.Phase() != drainer.PhaseHanding {
		return false
	}
	s.logCut()
	s.handOver(ctx)
	s.state = s.state.WithHandedOver(now)
	s.enter(drainer.PhaseHanding, s.state.Phase())
	s.host.gossiper.Announce(ctx)
	return true
}

// planned reports whether the operators drain this host.
func (s *stopper) planned() bool {
	c := s.host.enforcer.Configuration()
	if c.Inventory == nil {
		return false
	}
	host, ok := c.Inventory.Host(s.host.settings.Host.Name)
	return ok && c.Drains.Host(c.Inventory, host)
}

func (s *stopper) enter(before, after drainer.Phase) {
	if before == after {
		return
	}
	s.host.phase.Store(int32(after))
	s.host.log.Log(eventPhase, logger.F("phase", after.String()))
	switch after {
	case drainer.PhaseServing:
		s.host.setState(messenger.State_STATE_LIVE)
	case drainer.PhaseLeaving:
		s.host.setState(messenger.State_STATE_LEAVING)
	case drainer.PhaseFinishing:
		s.host.callers.Retire()
	case drainer.PhaseLeft:
		s.host.setState(messenger.State_STATE_LEFT)
	}
}

func (s *stopper) logCut() {
	if s.state.Cut() > 0 {
		s.host.log.Log(eventCut, logger.F("requests", s.state.Cut()))
	}
}

// handOver hands the operations to a successor and tells the peers. Only one successor is ever
// tried: after a lost acknowledgement another one could run what the first one runs.
func (s *stopper) handOver(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, handoverTimeout)
	defer cancel()
	successor, ok := s.successor()
	if !ok {
		s.host.registry.Freeze()
		s.host.log.Log(eventNotHanded, logger.F("cause", "no live host"))
		return
	}
	if err := s.adopt(ctx, successor); err != nil {
		s.host.log.Log(eventNotHanded, logger.F("cause", err.Error()))
		return
	}
	s.host.log.Log(eventHanded, logger.F("successor", successor.Host))
	s.host.detector.Update(func(t *detector.Table) { t.SetSuccessor(successor.Host) })
}

func (s *stopper) adopt(ctx context.Context, successor identifier.Owner) error {
	body, err := s.host.registry.Export(timer.Now(), successor)
	if err != nil {
		return err
	}
	in := &messenger.Handover{
		Host:        s.host.settings.Host.Name,
		Incarnation: s.host.incarnation,
		Registry:    body,
	}
	for {
		reply, err := s.host.peers.Adopt(ctx, successor.Host, in)
		if err == nil && reply.GetAdopted() {
			return nil
		}
		if err == nil {
			return errors.New("the successor refused")
		}
		select {
		case <-ctx.Done():
			return err
		case <-time.After(handoverRetry):
		}
	}
}

// successor returns a live host, of this host's own zone if there is one.
func (s *stopper) successor() (identifier.Owner, bool) {
	var found identifier.Owner
	for _, m := range s.host.detector.Members(timer.Now()) {
		if m.State != detector.StateLive {
			continue
		}
		owner := identifier.Owner{Host: m.Host.Name, Incarnation: m.Incarnation}
		if m.Host.Zone == s.host.settings.Host.Zone {
			return owner, true
		}
		if found.Host == "" {
			found = owner
		}
	}
	return found, found.Host != ""
}
