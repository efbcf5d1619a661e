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
