package selector

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/fescuethread/fescuethread/timer"
)

// answerAll sends requests for n objects, of which respond decides the results, for a period.
func answerAll(
	s *Selector, from, to timer.Instant, n, priority int, respond func(c *Choice) Result,
) map[string]int {
	served := map[string]int{}
	for now := from; now < to; now = now.Add(20 * time.Millisecond) {
		q := query(fmt.Sprint("object", int(now/timer.Instant(20*time.Millisecond))%n))
		q.Priority = priority
		c := s.Choose(now, q)
		if !c.Chosen() {
			continue
		}
		r := respond(&c)
		s.End(now.Add(10*time.Millisecond), &c, q, r)
		if r.Outcome == OutcomeAnswered {
			served[c.Target.ID]++
		}
		s.Tick(now)
	}
	return served
}

func answered(*Choice) Result {
	return Result{Outcome: OutcomeAnswered, Latency: 10 * time.Millisecond}
}

// TestFailingTargetRecoversWithUrgentRequests guards against a target that is never asked again
// after a fault because all requests of its service are urgent (scale-1 of a deployment whose most
// frequent requests have priority 1: three in four targets of a region stayed out of use).
func TestFailingTargetRecoversWithUrgentRequests(t *testing.T) {
	s := newSelector("h", "a1")
	s.SetTargets(start, targetsOf(4, "a1"))
	end := start.Add(4 * time.Second)
	answerAll(s, start, end, 40, 0, func(c *Choice) Result {
		if c.Target.ID == "a1-0" {
			return Result{Outcome: OutcomeFailed}
		}
		return answered(c)
	})
	if !s.targets["a1-0"].failing() {
		t.Fatal("a target that fails all requests isn't failing")
	}
	answerAll(s, end, end.Add(20*time.Second), 40, 0, answered)
	served := answerAll(s, end.Add(20*time.Second), end.Add(24*time.Second), 40, 0, answered)
	if served["a1-0"] == 0 {
		t.Fatalf("20 s after the fault the target gets no requests: %v", served)
	}
}

// TestFailureOfTheTargetsInUseIsCommon guards against hosts that take most targets of their region
// out of use because those of other regions, which they don't call, count as sound.
func TestFailureOfTheTargetsInUseIsCommon(t *testing.T) {
	s := newSelector("h", "a1")
	s.SetTargets(start, targetsOf(4, "a1", "b1", "b2"))
	s.SetDemand("h", Demand{Zone: "a1", UpdatedAt: start, Concurrency: map[string]float64{"sale": 2}})
	s.Tick(start)
	rng := rand.New(rand.NewPCG(1, 2))
	moved := map[string]int{}
	answerAll(s, start, start.Add(4*time.Second), 40, 0, func(c *Choice) Result {
		moved[c.Target.ID]++
		if rng.Float64() < 0.6 {
			return Result{Outcome: OutcomeFailed}
		}
		return answered(c)
	})
	for id, n := range moved {
		if n > 0 && s.targets[id].Zone != "a1" {
			t.Fatalf("requests moved to another region while all targets in use fail alike: %v", moved)
		}
	}
}
