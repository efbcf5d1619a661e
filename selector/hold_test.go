package selector

import (
	"fmt"
	"testing"
	"time"

	"pgregory.net/rapid"

	"github.com/fescuethread/fescuethread/timer"
)

// target503 ends the choice with a refusal of the target that asks for a pause.
func target503(s *Selector, now timer.Instant, c *Choice, q Query, pause time.Duration) {
	s.End(now, c, q, Result{Outcome: OutcomeShed, HoldFor: pause})
}

// TestTargetsThatHoldOffGetNothing: whatever the targets said, in any order of responses, lapsed
// and renewed entries and restarts, no request is sent to one that is leaving or wants a pause.
func TestTargetsThatHoldOffGetNothing(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		s := newSelector("h", "a1")
		list := targetsOf(2, "a1", "b1")
		s.SetTargets(start, list)
		now := start
		until := map[string]timer.Instant{}
		leaving := map[string]bool{}
		for step := range rapid.IntRange(1, 60).Draw(t, "steps") {
			now = now.Add(time.Duration(rapid.IntRange(0, 700).Draw(t, "ms")) * time.Millisecond)
			if rapid.IntRange(0, 9).Draw(t, "event") == 0 {
				i := rapid.IntRange(0, len(list)-1).Draw(t, "target")
				switch rapid.IntRange(0, 2).Draw(t, "kind") {
				case 0: // The entry lapses and is listed again.
					s.SetTargets(now, append(append([]Target{}, list[:i]...), list[i+1:]...))
				case 1: // The target starts again under its ID.
					list[i].StartMillis++
					delete(until, list[i].ID)
					delete(leaving, list[i].ID)
				}
				s.SetTargets(now, append([]Target{}, list...))
			}
			s.Tick(now)
			q := query(fmt.Sprint(step))
			c := s.Choose(now, q)
			if !c.Chosen() {
				continue
			}
			id := c.Target.ID
			if leaving[id] || now.Before(until[id]) {
				t.Fatalf("step %d: %s was chosen by rule %q", step, id, c.Rule)
			}
			r := Result{Outcome: OutcomeAnswered, Latency: time.Millisecond}
			switch rapid.IntRange(0, 4).Draw(t, "answer") {
			case 0:
				r.Leaving = true
				leaving[id] = true
			case 1:
				r.Outcome = OutcomeShed
				r.HoldFor = time.Duration(rapid.IntRange(1, 5000).Draw(t, "pause")) * time.Millisecond
				until[id] = max(until[id], now.Add(r.HoldFor))
			}
			s.End(now, &c, q, r)
		}
	})
}

// TestAllTargetsHoldOff: a request without any target is refused at once and told when the first
// pause ends, but no later than the caller would come back.
func TestAllTargetsHoldOff(t *testing.T) {
	s := newSelector("h", "a1")
	s.SetTargets(start, targetsOf(2, "a1"))
	for _, pause := range []time.Duration{600 * time.Millisecond, 5 * time.Second} {
		c := s.Choose(start, query("o"))
		target503(s, start, &c, query("o"), pause)
	}
	c := s.Choose(start, query("o"))
	if c.Chosen() || c.Reason != ReasonHeldOff {
		t.Fatalf("reason %q, target %s", c.Reason, c.Target.ID)
	}
	if c.RetryAfter < 600*time.Millisecond || c.RetryAfter > time.Second {
		t.Fatalf("retry after %s, want that of the first pause", c.RetryAfter)
	}
	if c := s.Choose(start.Add(time.Second), query("o")); !c.Chosen() {
		t.Fatalf("reason %q after the first pause", c.Reason)
	}
}

// TestLongPauseIsBounded: a target can't ask for more than MaxHold.
func TestLongPauseIsBounded(t *testing.T) {
	s := newSelector("h", "a1")
	s.SetTargets(start, targetsOf(1, "a1"))
	c := s.Choose(start, query("o"))
	target503(s, start, &c, query("o"), 1000*time.Hour)
	if c := s.Choose(start.Add(MaxHold+time.Second), query("o")); !c.Chosen() {
		t.Fatalf("reason %q", c.Reason)
	}
}
