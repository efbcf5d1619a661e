package scheduler

import (
	"cmp"
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"github.com/fescuethread/fescuethread/timer"
)

const (
	simulated   = 5 * time.Second
	meanRun     = 20 * time.Millisecond
	simDeadline = 100 * time.Millisecond
	simTargets  = 3
	seeds       = 3
)

type event struct {
	at timer.Instant
	do func()
}

// scenario is one run in virtual time: eight customers of equal rate, the first at several
// times its rate.
type scenario struct {
	slots    int
	load     float64 // sum of the customers' rates as a part of the capacity
	greed    float64 // the first customer's arrivals as a multiple of its rate
	fifo     bool    // all customers share one flow
	blind    bool    // the scheduler isn't told deadlines
	slow     float64 // run time factor of the first target
	cold     float64 // run time factor of the second target, until 200 answers
	thrash   bool    // the cold target's run time grows with what it runs at once
	noWarmup bool
	choose   func(*rand.Rand) chooser
}

type waiting struct {
	ticket   *Ticket
	arrived  timer.Instant
	customer int
}

type simulation struct {
	scenario
	now     timer.Instant
	rng     *rand.Rand
	queue   []event // in the order of their instants
	sched   *Scheduler
	waiting []waiting
	runs    map[string]int
	busy    map[string]int
	offered [8]int
	intime  [8]int
	refused [8]int
	late    int
	latency *hdrhistogram.Histogram // of the customers that keep to their rate
	refusal *hdrhistogram.Histogram
}

func newSimulation(sc scenario, seed uint64) *simulation {
	s := &simulation{
		scenario: sc, rng: rand.New(rand.NewPCG(seed, 1)), runs: map[string]int{}, busy: map[string]int{},
		latency: hdrhistogram.New(1, 1e8, 3), refusal: hdrhistogram.New(1, 1e8, 3),
	}
	cfg := Config{}
	if sc.fifo {
		cfg.CustomerQueue = DefaultQueue
	}
	s.sched = New(cfg)
	var targets []Target
	for i := range simTargets {
		targets = append(targets, Target{Name: fmt.Sprint(i), Service: "s", Slots: sc.slots, Warmup: time.Hour})
	}
	_ = s.sched.Configure(0, targets)
	for _, t := range s.sched.pools["s"].targets {
		if sc.noWarmup || t.Name != "1" {
			t.limit = t.Slots
		}
	}
	if sc.choose != nil {
		s.sched.pools["s"].choose = sc.choose(s.rng)
	}
	return s
}

func (s *simulation) after(d time.Duration, do func()) {
	e := event{at: s.now.Add(d), do: do}
	i, _ := slices.BinarySearchFunc(s.queue, e, func(a, b event) int { return cmp.Compare(a.at, b.at) })
	s.queue = slices.Insert(s.queue, i, e)
}

func (s *simulation) run() {
	for c := range 8 {
		s.arrive(c)
	}
	s.tick()
	for len(s.queue) > 0 && s.queue[0].at < timer.Instant(simulated) {
		e := s.queue[0]
		s.queue = s.queue[1:]
		s.now = e.at
		e.do()
		s.collect()
	}
}

func (s *simulation) tick() {
	s.sched.Tick(s.now)
	s.after(10*time.Millisecond, s.tick)
}

func (s *simulation) capacity() float64 {
	return float64(simTargets*s.slots) / meanRun.Seconds()
}

func (s *simulation) arrive(customer int) {
	rate := s.load * s.capacity() / 8
	if customer == 0 {
		rate *= s.greed
	}
	s.after(time.Duration(s.rng.ExpFloat64()/rate*1e9), func() {
		s.request(customer)
		s.arrive(customer)
	})
}

func (s *simulation) request(customer int) {
	w := Work{Customer: fmt.Sprint(customer), Service: "s", Idempotent: true}
	if s.fifo {
		w.Customer = "all"
	}
	if !s.blind {
		w.Deadline = s.now.Add(simDeadline)
	}
	s.offered[customer]++
	t := s.sched.Enqueue(s.now, w)
	s.waiting = append(s.waiting, waiting{ticket: t, arrived: s.now, customer: customer})
}

func (s *simulation) collect() {
	kept := s.waiting[:0]
	for _, w := range s.waiting {
		select {
		case d := <-w.ticket.C:
			s.decided(w, d)
		default:
			kept = append(kept, w)
		}
	}
	s.waiting = kept
}

func (s *simulation) decided(w waiting, d Decision) {
	if !d.Granted() {
		s.refused[w.customer]++
		_ = s.refusal.RecordValue(s.now.Sub(w.arrived).Microseconds())
		return
	}
	s.busy[d.Target.Name]++
	s.after(s.runTime(d.Target.Name), func() {
		s.busy[d.Target.Name]--
		s.end(w)
	})
}

func (s *simulation) runTime(target string) time.Duration {
	s.runs[target]++
	d := float64(meanRun) * (0.5 + s.rng.Float64())
	if target == "0" && s.slow > 0 {
		d *= s.slow
	}
	if target == "1" && s.cold > 0 && s.runs[target] <= 200 {
		d *= s.cold
		if s.thrash {
			d *= float64(s.busy["1"]) / 3
		}
	}
	return time.Duration(d)
}

func (s *simulation) end(w waiting) {
	s.sched.Done(s.now, w.ticket, ResultOK)
	took := s.now.Sub(w.arrived)
	if took > simDeadline {
		s.late++
	} else {
		s.intime[w.customer]++
	}
	if w.customer > 0 || s.greed <= 1 {
		_ = s.latency.RecordValue(took.Microseconds())
	}
}

// total sums the figures of several seeds; shares and rates are in percent.
type total struct {
	worst, refused, late, intime float64
	latency, refusal             *hdrhistogram.Histogram
}

func measure(sc scenario) total {
	t := total{latency: hdrhistogram.New(1, 1e8, 3), refusal: hdrhistogram.New(1, 1e8, 3)}
	for seed := range uint64(seeds) {
		s := newSimulation(sc, seed)
		s.run()
		t.add(s)
	}
	return t
}

func (t *total) add(s *simulation) {
	offered, refused, all, intime, worst := 0, 0, 0, 0, 1e9
	part := s.capacity() * simulated.Seconds() / 8
	for c := range 8 {
		all += s.offered[c]
		intime += s.intime[c]
		worst = min(worst, float64(s.intime[c])/min(part, float64(s.offered[c])))
		if c > 0 || s.greed <= 1 {
			offered += s.offered[c]
			refused += s.refused[c]
		}
	}
	t.worst += 100 * worst / seeds
	t.refused += 100 * float64(refused) / float64(offered) / seeds
	t.late += 100 * float64(s.late) / float64(all) / seeds
	t.intime += 100 * float64(intime) / (s.capacity() * simulated.Seconds()) / seeds
	t.latency.Merge(s.latency)
	t.refusal.Merge(s.refusal)
}

func (t total) String() string {
	ms := func(h *hdrhistogram.Histogram, q float64) float64 { return float64(h.ValueAtQuantile(q)) / 1000 }
	return fmt.Sprintf("worst %5.1f %% of its part, refused %5.1f %%, late %5.1f %%, in time %5.1f %% of capacity, "+
		"p50 %5.1f ms, p99 %5.1f ms, refusal p99 %5.1f ms", t.worst, t.refused, t.late, t.intime,
		ms(t.latency, 50), ms(t.latency, 99), ms(t.refusal, 99))
}

func roundRobin(*rand.Rand) chooser {
	next := 0
	return func(free []candidate) *target {
		if len(free) == 0 {
			return nil
		}
		next++
		return free[next%len(free)].target
	}
}

func leastBusy(free []candidate) *target {
	for i := range free {
		free[i].latency = 1
	}
	return fastest(free)
}

func twoChoices(rng *rand.Rand) chooser {
	return func(free []candidate) *target {
		if len(free) < 2 {
			return leastBusy(free)
		}
		i, j := rng.IntN(len(free)), rng.IntN(len(free)-1)
		if j >= i {
			j++
		}
		return leastBusy([]candidate{free[i], free[j]})
	}
}

func TestMeasureFairness(t *testing.T) {
	for _, slots := range []int{9, 3} {
		fifo := measure(scenario{slots: slots, load: 1.25, greed: 5, fifo: true})
		fair := measure(scenario{slots: slots, load: 1.25, greed: 5})
		t.Logf("%d slots, first in first out: %v", slots, fifo)
		t.Logf("%d slots, fair:               %v", slots, fair)
		if fair.worst < 90 || fair.worst < 1.5*fifo.worst {
			t.Errorf("%d slots: the worst-served customer gets %.1f %% of its part", slots, fair.worst)
		}
	}
}

func TestMeasureChoice(t *testing.T) {
	for _, slots := range []int{9, 3} {
		for _, load := range []float64{0.3, 0.6} {
			sc := scenario{slots: slots, load: load, greed: 1, slow: 5, cold: 5}
			for _, c := range []struct {
				name   string
				choose func(*rand.Rand) chooser
			}{{"round robin", roundRobin}, {"two choices", twoChoices}, {"least busy", func(*rand.Rand) chooser { return leastBusy }}, {"fastest", nil}} {
				sc.choose = c.choose
				t.Logf("%d slots, load %.1f, %s: %v", slots, load, c.name, measure(sc))
			}
		}
	}
}

func TestMeasureEarlyRefusal(t *testing.T) {
	for _, slots := range []int{9, 3} {
		sc := scenario{slots: slots, load: 2, greed: 1}
		early := measure(sc)
		sc.blind = true
		none := measure(sc)
		t.Logf("%d slots, early refusal: %v", slots, early)
		t.Logf("%d slots, none:          %v", slots, none)
		if early.late > none.late {
			t.Errorf("%d slots: %.1f %% late answers, %.1f %% without early refusal", slots, early.late, none.late)
		}
	}
}

func TestMeasureWarmup(t *testing.T) {
	for _, slots := range []int{9, 3} {
		for _, load := range []float64{0.4, 0.7} {
			for _, thrash := range []bool{false, true} {
				sc := scenario{slots: slots, load: load, greed: 1, cold: 5, thrash: thrash}
				t.Logf("%d slots, load %.1f, thrash %v, warm-up: %v", slots, load, thrash, measure(sc))
				sc.noWarmup = true
				t.Logf("%d slots, load %.1f, thrash %v, none:    %v", slots, load, thrash, measure(sc))
			}
		}
	}
}
