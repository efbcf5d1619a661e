package retrier

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"pgregory.net/rapid"

	"github.com/fescuethread/fescuethread/timer"
)

func TestReasons(t *testing.T) {
	r := New(Config{Burst: 1})
	for _, c := range []struct {
		a    Attempt
		want Reason
	}{
		{Attempt{Attempts: 1}, ReasonUnsafe},
		{Attempt{Attempts: DefaultMaxAttempts, NotRun: true}, ReasonMaxAttempts},
		{Attempt{Attempts: 1, NotRun: true, Deadline: 10, ExpectedDuration: time.Second}, ReasonDeadline},
		{Attempt{Attempts: 1, NotRun: true, Deadline: timer.Instant(time.Second)}, ReasonRetry},
		{Attempt{Attempts: 1, Idempotent: true}, ReasonBudget},
		{Attempt{Attempts: 2, Idempotent: true, Service: "other"}, ReasonRetry},
	} {
		if got := r.Decide(0, c.a); got.Reason != c.want {
			t.Errorf("%+v: %q, want %q", c.a, got.Reason, c.want)
		}
	}
}

// Retries for a service never exceed the burst plus the percentage of its first attempts.
func TestRetriesAreBounded(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		cfg := Config{RetryPercent: rapid.IntRange(1, 50).Draw(t, "percent"), Burst: rapid.IntRange(1, 5).Draw(t, "burst")}
		r := New(cfg)
		first, retries := [2]int{}, [2]int{}
		for range rapid.IntRange(1, 300).Draw(t, "steps") {
			c := rapid.IntRange(0, 1).Draw(t, "service")
			name := string(rune('a' + c))
			if rapid.Bool().Draw(t, "first") {
				r.Deposit(name)
				first[c]++
			} else if r.Decide(0, Attempt{Service: name, Attempts: 1, NotRun: true}).Retry() {
				retries[c]++
			}
			if retries[c]*100 > cfg.Burst*100+first[c]*cfg.RetryPercent {
				t.Fatalf("%d retries after %d first attempts", retries[c], first[c])
			}
		}
	})
}

// zoneModel simulates six availability zones in discrete steps. Some are down from the start and
// are avoided once this is detected. Rejecting a request takes a fifth of the capacity of serving
// one.
type zoneModel struct {
	rng       *rand.Rand
	retrier   *Retrier // nil: no budget, each request has three attempts
	down      int      // zones 0 to down-1 are down
	detected  bool
	remaining [6]float64
	attempts  int
	answered  int
}

const (
	stepCapacity   = 100
	steps          = 200
	detectionSteps = 20
)

func (z *zoneModel) send(service string, attempt, last int) {
	z.attempts++
	zone := z.pick(last)
	if zone >= z.down && z.remaining[zone] >= 1 {
		z.remaining[zone]--
		z.answered++
		return
	}
	z.remaining[zone] -= 0.2
	retry := attempt < DefaultMaxAttempts
	if z.retrier != nil {
		retry = z.retrier.Decide(0, Attempt{Service: service, Attempts: attempt, NotRun: true}).Retry()
	}
	if retry {
		z.send(service, attempt+1, zone)
	}
}

// pick chooses a random zone that is neither the last one tried nor detected to be down.
func (z *zoneModel) pick(last int) int {
	for {
		zone := z.rng.IntN(6)
		if zone != last && (zone >= z.down || !z.detected) {
			return zone
		}
	}
}

// run returns a summary with the attempts and responses in percent of the requests, before and
// after the zones are detected to be down, and the attempts in percent over both phases. load is
// in percent of the capacity of all six zones.
func (z *zoneModel) run(load int) (string, float64) {
	var attempts, answered, requests [2]int
	for step := range steps {
		z.detected = step >= detectionSteps
		for i := range z.remaining {
			z.remaining[i] = stepCapacity
		}
		phase := 0
		if z.detected {
			phase = 1
		}
		z.attempts, z.answered = 0, 0
		for i := range 6 * stepCapacity * load / 100 {
			service := string(rune('a' + i%8))
			if z.retrier != nil {
				z.retrier.Deposit(service)
			}
			z.send(service, 1, -1)
			requests[phase]++
		}
		attempts[phase] += z.attempts
		answered[phase] += z.answered
	}
	percent := func(n, of int) float64 { return 100 * float64(n) / float64(of) }
	return fmt.Sprintf("undetected: %.1f %% attempts, %.1f %% answered; detected: %.1f %% attempts, %.1f %% answered",
		percent(attempts[0], requests[0]), percent(answered[0], requests[0]),
		percent(attempts[1], requests[1]), percent(answered[1], requests[1])), percent(attempts[0]+attempts[1], requests[0]+requests[1])
}

// TestMeasureAmplification logs how many attempts are made per request while zones are down, with
// and without a retry budget, and checks that the budget limits them.
func TestMeasureAmplification(t *testing.T) {
	for _, down := range []int{1, 2} {
		for _, load := range []int{60, 80, 95} {
			for _, retryPercent := range []int{0, 10, DefaultRetryPercent} {
				z := zoneModel{rng: rand.New(rand.NewPCG(1, 1)), down: down}
				if retryPercent > 0 {
					z.retrier = New(Config{RetryPercent: retryPercent})
				}
				summary, attemptPercent := z.run(load)
				t.Logf("%d of 6 zones down, load %d %%, budget %d %%: %s", down, load, retryPercent, summary)
				// burstPercent is the bursts of all 8 services in percent of the requests.
				burstPercent := 100 * 8 * DefaultBurst / float64(steps*6*stepCapacity*load/100)
				if retryPercent > 0 && attemptPercent > float64(100+retryPercent)+burstPercent {
					t.Errorf("%.1f %% attempts exceed the retry budget", attemptPercent)
				}
			}
		}
	}
}
