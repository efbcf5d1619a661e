package scheduler

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"pgregory.net/rapid"

	"github.com/fescuethread/fescuethread/timer"
)

const second = timer.Instant(time.Second)

func newScheduler(cfg Config, slots ...int) *Scheduler {
	s := New(cfg)
	var targets []Target
	for i, n := range slots {
		targets = append(targets, Target{Name: fmt.Sprintf("t%d", i), Service: "s", Slots: n, Warmup: time.Hour})
	}
	if err := s.Configure(0, targets); err != nil {
		panic(err)
	}
	return s
}

// warm opens all slots.
func warm(s *Scheduler) *Scheduler {
	for _, t := range s.pools["s"].targets {
		t.limit = t.Slots
	}
	return s
}

func work(customer string) Work {
	return Work{Customer: customer, Service: "s", Idempotent: true}
}

func reason(t *Ticket) Reason {
	select {
	case d := <-t.C:
		return d.Reason
	default:
		return ""
	}
}

func want(t *testing.T, ticket *Ticket, r Reason) {
	t.Helper()
	if got := reason(ticket); got != r {
		t.Fatalf("decision %q, want %q", got, r)
	}
}

func TestRefusalsAreTyped(t *testing.T) {
	s := warm(newScheduler(Config{Queue: 3, CustomerQueue: 2}, 1))
	want(t, s.Enqueue(0, Work{Service: "other"}), ReasonNoTarget)
	first := s.Enqueue(0, work("a"))
	want(t, first, ReasonGranted)
	s.Done(second, first, ResultOK)
	busy := s.Enqueue(second, work("a"))
	want(t, busy, ReasonGranted)
	late := work("a")
	late.Deadline = 2 * second
	want(t, s.Enqueue(second, late), ReasonDeadline)
	queued := []*Ticket{s.Enqueue(second, work("a")), s.Enqueue(second, work("a"))}
	want(t, s.Enqueue(second, work("a")), ReasonCustomer)
	gone := s.Enqueue(second, work("b"))
	s.Cancel(second, gone)
	want(t, gone, ReasonCancelled)
	s.Enqueue(second, work("b"))
	evicting := s.Enqueue(second, work("c"))
	want(t, queued[1], ReasonFull)
	want(t, s.Enqueue(second, work("b")), ReasonFull)
	want(t, evicting, "")
	s.Done(2*second, busy, ResultOK)
	want(t, queued[0], ReasonGranted)
	s.Drain(2*second, "t0")
	want(t, evicting, ReasonNoTarget)
}

func TestFairOrderServesTheLeastServed(t *testing.T) {
	s := warm(newScheduler(Config{}, 1))
	running := s.Enqueue(0, work("greedy"))
	var queued []*Ticket
	for range 5 {
		queued = append(queued, s.Enqueue(0, work("greedy")))
	}
	queued = append(queued, s.Enqueue(0, work("small")))
	order := []int{0, 5, 1}
	for i, next := range order {
		s.Done(timer.Instant(i), running, ResultOK)
		want(t, queued[next], ReasonGranted)
		running = queued[next]
	}
}

func fail(s *Scheduler, now timer.Instant, n int) {
	for range n {
		s.Done(now, s.Enqueue(now, work("a")), ResultFailed)
	}
}

func state(s *Scheduler, now timer.Instant, target int) State {
	return s.Standings(now, "s")[target].State
}

func TestOwnResultsComeBeforeReports(t *testing.T) {
	s := warm(newScheduler(Config{}, 1, 1, 1))
	s.Report(0, "t0", Report{At: 0, Ready: false})
	if got := state(s, 0, 0); got != StateProbe {
		t.Fatalf("reported unready without own results: %s", got)
	}
	if got := state(s, 10*second, 0); got != StateReady {
		t.Fatalf("an old report counts: %s", got)
	}
	s.pools["s"].targets[0].succeed(0, time.Millisecond)
	if got := state(s, second, 0); got != StateReady {
		t.Fatalf("reported unready while it answers: %s", got)
	}
	s.Report(second, "t0", Report{At: second, Ready: true})
	for range DefaultEjectAfter {
		s.pools["s"].targets[0].fail(second)
	}
	if got := state(s, second, 0); got != StateEjected {
		t.Fatalf("reported ready while it fails: %s", got)
	}
}

func TestEjectedTargetIsProbedAndWarmsUp(t *testing.T) {
	s := warm(newScheduler(Config{}, 9))
	fail(s, 0, DefaultEjectAfter)
	want(t, s.Enqueue(0, work("a")), ReasonNoTarget)
	bid := work("a")
	bid.Idempotent = false
	held := s.Enqueue(second, bid)
	want(t, held, "")
	probe := s.Enqueue(second, work("a"))
	s.Tick(second)
	want(t, probe, ReasonGranted)
	s.Cancel(second, held)
	s.Done(second, probe, ResultFailed)
	if got := s.Standings(second+1, "s")[0]; got.State != StateEjected || !got.Doubted {
		t.Fatalf("failed probe: %+v", got)
	}
	probe = s.Enqueue(3*second, work("a"))
	want(t, probe, ReasonGranted)
	s.Done(3*second, probe, ResultOK)
	if got := s.Standings(3*second, "s")[0]; got.State != StateReady || got.Capacity != 1 {
		t.Fatalf("answered probe: %+v", got)
	}
}

func TestMostTargetsFailingIsDoubted(t *testing.T) {
	s := warm(newScheduler(Config{}, 1, 1, 1))
	for i := range 2 {
		s.Report(0, fmt.Sprintf("t%d", i), Report{At: 0, Ready: false})
	}
	for range 3 {
		want(t, s.Enqueue(0, work("a")), ReasonGranted)
	}
}

func TestShedTargetGetsHalf(t *testing.T) {
	s := warm(newScheduler(Config{}, 8))
	s.Done(0, s.Enqueue(0, work("a")), ResultShed)
	if got := s.Loads(0)[0]; got.Ready != 4 || got.Slots != 8 || got.Busy != 0 {
		t.Fatalf("load %+v", got)
	}
}

func TestReconfiguredTargetKeepsItsHistory(t *testing.T) {
	s := warm(newScheduler(Config{}, 4))
	running := s.Enqueue(0, work("a"))
	if err := s.Configure(0, nil); err != nil {
		t.Fatal(err)
	}
	want(t, s.Enqueue(0, work("a")), ReasonNoTarget)
	if err := s.Configure(0, []Target{{Name: "t0", Service: "s", Slots: 2, Warmup: time.Hour}}); err != nil {
		t.Fatal(err)
	}
	if l := s.Loads(0)[0]; l.Busy != 1 || l.Ready != 2 {
		t.Fatalf("load %+v", l)
	}
	s.Done(0, running, ResultOK)
	s.Done(0, running, ResultOK)
	if l := s.Loads(0)[0]; l.Busy != 0 {
		t.Fatalf("load %+v", l)
	}
	if err := s.Configure(0, []Target{{Name: "t0", Service: "s"}}); err == nil {
		t.Fatal("a target without slots is accepted")
	}
}

// Hosts that learn of changes at different instants never hold more than a target's slots, as
// long as each uses new slots only after every other has learned and its work has ended.
func TestSlotsAreHeldOnce(t *testing.T) {
	const maxRun, maxLearn = 10, 20
	rapid.Check(t, func(t *rapid.T) {
		slots := rapid.IntRange(1, 9).Draw(t, "slots")
		hosts := make([]*Scheduler, rapid.IntRange(2, 4).Draw(t, "hosts"))
		for i := range hosts {
			hosts[i] = warm(newScheduler(Config{}, slots, slots))
			hosts[i].SetShare(0, i, len(hosts), 0)
		}
		type change struct{ at, holders int }
		changes := make([][]change, len(hosts))
		var running []*Ticket
		owner := map[*Ticket]*Scheduler{}
		started := map[*Ticket]int{}
		for now := range rapid.IntRange(10, 120).Draw(t, "steps") {
			at := timer.Instant(now)
			if rapid.IntRange(0, 9).Draw(t, "change") == 0 {
				c := change{at: now, holders: rapid.IntRange(1, len(hosts)).Draw(t, "holders")}
				for i := range changes {
					changes[i] = append(changes[i], c)
				}
			}
			for i, h := range hosts {
				learns := rapid.IntRange(0, 9).Draw(t, "learns") == 0
				for len(changes[i]) > 0 && (learns || now-changes[i][0].at >= maxLearn) {
					n := changes[i][0].holders
					changes[i] = changes[i][1:]
					index := i
					if i >= n {
						index = -1
					}
					h.SetShare(at, index, n, at+maxLearn+maxRun)
				}
			}
			h := hosts[rapid.IntRange(0, len(hosts)-1).Draw(t, "host")]
			for range rapid.IntRange(0, 9).Draw(t, "requests") {
				ticket := h.Enqueue(at, work("a"))
				owner[ticket] = h
				running = append(running, ticket)
			}
			running = advance(at, running, owner, started, maxRun)
			checkSlots(t, hosts, slots)
		}
	})
}

// advance ends what has run for maxRun and notes what has started.
func advance(now timer.Instant, running []*Ticket, owner map[*Ticket]*Scheduler, started map[*Ticket]int, maxRun int) []*Ticket {
	var kept []*Ticket
	for _, ticket := range running {
		if reason(ticket) == ReasonGranted {
			started[ticket] = int(now)
		}
		if at, ok := started[ticket]; ok && int(now)-at >= maxRun {
			owner[ticket].Done(now, ticket, ResultCancelled)
			continue
		}
		kept = append(kept, ticket)
	}
	return kept
}

func checkSlots(t *rapid.T, hosts []*Scheduler, slots int) {
	busy := map[string]int{}
	for _, h := range hosts {
		for _, g := range h.pools["s"].targets {
			busy[g.Name] += g.busy
		}
	}
	for name, n := range busy {
		if n > slots {
			t.Fatalf("%s runs %d with %d slots", name, n, slots)
		}
	}
}

func TestWorkRunsAlone(t *testing.T) {
	s := warm(newScheduler(Config{}, 2, 2))
	var busy []*Ticket
	for range 3 {
		busy = append(busy, s.Enqueue(0, work("a")))
	}
	suspect := work("a")
	suspect.Alone = true
	first, second := s.Enqueue(0, suspect), s.Enqueue(0, suspect)
	free := s.Enqueue(0, work("a"))
	want(t, first, "")
	want(t, free, "")
	reserved := s.pools["s"].alone.reserved
	for _, ticket := range busy {
		if ticket.target == reserved {
			s.Done(1, ticket, ResultOK)
		}
	}
	want(t, first, ReasonGranted)
	want(t, free, "")
	if reserved.busy != 1 || !reserved.exclusive {
		t.Fatalf("%d requests on the reserved target", reserved.busy)
	}
	want(t, second, "")
	s.Cancel(1, second)
	s.Done(1, first, ResultOK)
	want(t, free, ReasonGranted)
	if reserved.exclusive || s.pools["s"].alone.reserved != nil {
		t.Fatal("the target is still reserved")
	}
}

func TestConcurrentUseKeepsTheCount(t *testing.T) {
	s := warm(newScheduler(Config{}, 2, 3))
	ended := make(chan struct{})
	for w := range 8 {
		go func() {
			for n := range 200 {
				now := timer.Instant(n)
				ticket := s.Enqueue(now, work(fmt.Sprint(w)))
				if n%5 == 0 {
					s.Cancel(now, ticket)
				}
				if d := <-ticket.C; d.Granted() {
					s.Done(now, ticket, ResultOK)
				}
				s.Loads(now)
			}
			ended <- struct{}{}
		}()
	}
	for range 8 {
		<-ended
	}
	if l := s.Loads(1000)[0]; l.Busy != 0 || l.Queued != 0 {
		t.Fatalf("load %+v", l)
	}
}

func TestServiceSettingsAndWarmup(t *testing.T) {
	s := New(Config{})
	targets := []Target{{Name: "t0", Service: "s", Slots: 2, Warmup: time.Minute}}
	if err := s.Configure(0, targets); err != nil {
		t.Fatal(err)
	}
	s.SetService(Service{Name: "s", Queue: 1})
	if ready := s.Loads(0)[0].Ready; ready != 1 {
		t.Errorf("%d slots of a cold target are ready", ready)
	}
	warm := timer.Instant(time.Minute)
	if ready := s.Loads(warm)[0].Ready; ready != 2 {
		t.Errorf("%d slots are ready after the warm-up", ready)
	}
	var reasons []Reason
	for _, customer := range []string{"a", "a", "a", "a"} {
		ticket := s.Enqueue(warm, Work{Customer: customer, Service: "s"})
		select {
		case d := <-ticket.C:
			reasons = append(reasons, d.Reason)
		default:
			reasons = append(reasons, "waits")
		}
	}
	want := []Reason{ReasonGranted, ReasonGranted, "waits", ReasonFull}
	if !slices.Equal(reasons, want) {
		t.Errorf("got %v, want %v", reasons, want)
	}
}
