package timer

import (
	"testing"
	"time"
)

func TestSubscriptionTicksOncePerPeriod(t *testing.T) {
	s := New()
	sub := s.Subscribe(time.Second)
	defer sub.Close()
	start := sub.next.Add(-time.Second)
	s.dispatch(start.Add(999 * time.Millisecond))
	if len(sub.C()) != 0 {
		t.Fatal("ticked before its period had passed")
	}
	s.dispatch(start.Add(time.Second))
	s.dispatch(start.Add(time.Second + time.Millisecond))
	if len(sub.C()) != 1 {
		t.Fatal("did not tick once")
	}
}

func TestClosedSubscriptionIsRemoved(t *testing.T) {
	s := New()
	sub := s.Subscribe(time.Second)
	sub.Close()
	if len(s.subs) != 0 {
		t.Fatal("a closed subscription is kept")
	}
}

// TestServiceSleepsUntilTheNextTick: the service wakes when a tick is due and otherwise seldom, as
// each wake-up costs processor time on every host.
func TestServiceSleepsUntilTheNextTick(t *testing.T) {
	s := New()
	sub := s.Subscribe(40 * time.Millisecond)
	defer sub.Close()
	due := sub.next
	if next := s.dispatch(due.Add(-30 * time.Millisecond)); next != due {
		t.Fatalf("wakes %s before the tick", due.Sub(next))
	}
	s.dispatch(due)
	if tick := <-sub.C(); tick.At != due {
		t.Fatalf("the tick was sent at %d, but says %d", due, tick.At)
	}
	if next := s.dispatch(due.Add(time.Millisecond)); next != due.Add(40*time.Millisecond) {
		t.Fatalf("wakes %s after the tick", next.Sub(due))
	}
	sub.Close()
	if next := s.dispatch(due); next != due.Add(maxSleep) {
		t.Fatalf("wakes after %s without a subscription", next.Sub(due))
	}
}
