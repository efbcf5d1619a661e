package scheduler

import (
	"fmt"
	"testing"
	"time"

	"pgregory.net/rapid"

	"github.com/fescuethread/fescuethread/arbiter"
	"github.com/fescuethread/fescuethread/timer"
)

var claimsOf = map[State]arbiter.Claim{
	StateReady:    arbiter.ClaimUse,
	StateProbe:    arbiter.ClaimProbe,
	StateEjected:  arbiter.ClaimAvoid,
	StateDraining: arbiter.ClaimAvoid,
}

func TestVerdictsAgreeWithStates(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		now := timer.Instant(time.Hour)
		s := New(Config{})
		var targets []Target
		for i := range 3 {
			targets = append(targets, Target{Name: fmt.Sprint(i), Service: "s", Slots: 2, Warmup: time.Hour})
		}
		if err := s.Configure(now, targets); err != nil {
			t.Fatal(err)
		}
		for range rapid.IntRange(1, 40).Draw(t, "steps") {
			name := fmt.Sprint(rapid.IntRange(0, 2).Draw(t, "target"))
			switch rapid.IntRange(0, 4).Draw(t, "step") {
			case 0:
				s.Report(now, name, Report{At: now, Ready: rapid.Bool().Draw(t, "ready")})
			case 1:
				s.Drain(now, name)
			case 2:
				s.Undrain(now, name)
			case 3:
				now = now.Add(time.Duration(rapid.IntRange(1, 60).Draw(t, "tenths")) * time.Second / 10)
			default:
				r := rapid.SampledFrom([]Result{ResultOK, ResultFailed, ResultFailed, ResultShed}).Draw(t, "result")
				s.Done(now, s.Enqueue(now, Work{Service: "s", Idempotent: true}), r)
			}
			for _, standing := range s.Standings(now, "s") {
				v := arbiter.Vote(standing.Target.Name, standing.Signals)
				if v.Claim != claimsOf[standing.State] {
					t.Fatalf("the scheduler says %s, the vote %v: %+v", standing.State, v.Claim, v)
				}
			}
		}
	})
}
