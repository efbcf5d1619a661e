package timer

import (
	"context"
	"sync"
	"time"
)

const (
	// Resolution is the shortest period of a subscription.
	Resolution = 10 * time.Millisecond
	// minSleep is the shortest time between two checks of the subscriptions.
	minSleep = time.Millisecond
	// maxSleep is the longest time between two checks of the subscriptions: the runtime's timers
	// don't count time in suspend.
	maxSleep = 100 * time.Millisecond
)

// Tick is one periodic notification.
type Tick struct {
	// At is the instant at which the tick was sent.
	At Instant
}

// Service sends ticks to its subscribers.
type Service struct {
	mu   sync.Mutex
	subs []*Subscription
}

// Subscription receives a tick once per period.
type Subscription struct {
	period  time.Duration
	next    Instant
	ch      chan Tick
	service *Service
}

// New returns a timer service without subscribers.
func New() *Service {
	return &Service{}
}

// Now reads the service's clock.
func (s *Service) Now() Instant {
	return Now()
}

// Subscribe returns a subscription with the given period, or Resolution if that is longer.
func (s *Service) Subscribe(period time.Duration) *Subscription {
	period = max(period, Resolution)
	sub := &Subscription{
		period:  period,
		next:    Now().Add(period),
		ch:      make(chan Tick, 1),
		service: s,
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.subs = append(s.subs, sub)
	return sub
}

// Run sends ticks until ctx is done.
func (s *Service) Run(ctx context.Context) error {
	t := time.NewTimer(0)
	defer t.Stop()
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-t.C:
			now := Now()
			t.Reset(s.dispatch(now).Sub(now))
		}
	}
}

// dispatch sends the ticks that are due and returns when to check again.
func (s *Service) dispatch(now Instant) Instant {
	s.mu.Lock()
	defer s.mu.Unlock()
	next := now.Add(maxSleep)
	for _, sub := range s.subs {
		sub.offer(now)
		next = min(next, sub.next)
	}
	return max(next, now.Add(minSleep))
}

// C returns the channel of ticks; a tick is dropped while the previous one has not been received.
func (s *Subscription) C() <-chan Tick {
	return s.ch
}

// Close ends the subscription.
func (s *Subscription) Close() {
	s.service.remove(s)
}

func (s *Service) remove(sub *Subscription) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for i, other := range s.subs {
		if other == sub {
			s.subs = append(s.subs[:i], s.subs[i+1:]...)
			return
		}
	}
}

func (s *Subscription) offer(now Instant) {
	if now.Before(s.next) {
		return
	}
	s.next = now.Add(s.period)
	select {
	case s.ch <- Tick{At: now}:
	default:
	}
}
