package sharer

import (
	"container/heap"
	"fmt"
	"math"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/fescuethread/fescuethread/planner"
	"github.com/fescuethread/fescuethread/timer"
)

// The pattern: many hosts and customers, rates of a few requests a second for each customer, and
// demand that moves between regions in waves and all at once between two zones. Each customer keeps
// well within its rate, so every refusal is wrongful.
const (
	loadZones     = 9
	loadHosts     = 118
	loadCustomers = 190
	// loadRate is the number of requests a second, and loadHeadroom the customers' rate as a multiple
	// of their requests.
	loadRate     = 1430
	loadHeadroom = 1.6
	// loadWave is the amplitude of the waves of demand, loadPeriod their period.
	loadWave   = 0.55
	loadPeriod = 36 * time.Second
	// loadLength is the length of the simulation; refusals count from loadSettled on.
	loadLength  = 12 * time.Second
	loadSettled = 2 * time.Second
	// loadWait is how long a request waits for a token, loadAnswerWait for one holder's answer.
	loadWait       = 300 * time.Millisecond
	loadAnswerWait = 120 * time.Millisecond
)

// loadEvent is something that happens at an instant.
type loadEvent struct {
	at  timer.Instant
	run func()
}

// loadEvents is a heap of events, the earliest first.
type loadEvents []loadEvent

func (e *loadEvents) Len() int           { return len(*e) }
func (e *loadEvents) Less(i, j int) bool { return (*e)[i].at < (*e)[j].at }
func (e *loadEvents) Swap(i, j int)      { (*e)[i], (*e)[j] = (*e)[j], (*e)[i] }
func (e *loadEvents) Push(x interface{}) {
	if event, ok := x.(loadEvent); ok {
		*e = append(*e, event)
	}
}
func (e *loadEvents) Pop() interface{} {
	last := (*e)[len(*e)-1]
	*e = (*e)[:len(*e)-1]
	return last
}

// loadFleet simulates hosts that exchange tokens over links with delay.
type loadFleet struct {
	rng      *rand.Rand
	now      timer.Instant
	events   loadEvents
	hosts    []*Sharer
	byName   map[string]*Sharer
	byZone   [loadZones][]*Sharer
	dead     map[string]bool
	requests int
	refused  int
}

func loadHost(i int) Host {
	zone := i % loadZones
	return Host{
		Name: fmt.Sprint("h", i), Zone: fmt.Sprint("z", zone), Region: fmt.Sprint("r", zone%3),
	}
}

// loadWeights gives a few customers most of the requests.
func loadWeights() []float64 {
	weights := make([]float64, loadCustomers)
	sum := 0.0
	for i := range weights {
		weights[i] = 1 / math.Pow(float64(i+1), 0.7)
		sum += weights[i]
	}
	for i := range weights {
		weights[i] /= sum
	}
	return weights
}

func newLoadFleet() *loadFleet {
	f := &loadFleet{
		rng: rand.New(rand.NewPCG(1, 2)), now: start, byName: map[string]*Sharer{}, dead: map[string]bool{},
	}
	hosts := make([]Host, 0, loadHosts)
	for i := range loadHosts {
		hosts = append(hosts, loadHost(i))
	}
	customers := make([]planner.Customer, 0, loadCustomers)
	for i, w := range loadWeights() {
		rate := w * loadRate * loadHeadroom
		customers = append(customers, planner.Customer{Name: fmt.Sprint("c", i), Rate: rate, Burst: rate})
	}
	for i, h := range hosts {
		s := New(h, tolerance)
		s.Configure(start, customers, hosts)
		s.AccrueFrom(start)
		f.hosts = append(f.hosts, s)
		f.byName[h.Name] = s
		f.byZone[i%loadZones] = append(f.byZone[i%loadZones], s)
	}
	return f
}

func (f *loadFleet) after(d time.Duration, run func()) {
	heap.Push(&f.events, loadEvent{f.now.Add(d), run})
}

func linkDelay(a, b Host) time.Duration {
	return []time.Duration{200 * time.Microsecond, time.Millisecond, 35 * time.Millisecond}[distance(a, b)]
}

// ask sends a request for tokens; the answer is lost if the holder is dead.
func (f *loadFleet) ask(from *Sharer, req TokenRequest, answered func()) {
	sentAt := f.now
	for _, name := range req.Peers {
		holder := f.byName[name]
		if f.dead[name] {
			continue
		}
		part := req
		part.Tokens = req.Tokens/uint32(len(req.Peers)) + 1
		if req.Waiting {
			part.Tokens = req.Tokens
		}
		delay := linkDelay(from.self, holder.self)
		f.after(delay, func() {
			g := holder.Debit(f.now, part)
			f.after(delay, func() {
				from.Credit(f.now, sentAt, req.Customer, g)
				answered()
			})
		})
	}
}

// request is a caller's request at a host.
func (f *loadFleet) request(s *Sharer, customer string) {
	counts := f.now >= start.Add(loadSettled)
	if counts {
		f.requests++
	}
	if s.Admit(f.now, customer) == ReasonAdmitted {
		return
	}
	f.wait(s, customer, f.now.Add(loadWait), 0, func() {
		if counts {
			f.refused++
		}
	})
}

// wait asks one holder after the other for a token until the deadline.
func (f *loadFleet) wait(
	s *Sharer, customer string, deadline timer.Instant, attempt int, refuse func(),
) {
	if f.now >= deadline {
		refuse()
		return
	}
	done := false
	next := func() {
		if done {
			return
		}
		done = true
		if s.AdmitWaiting(f.now, customer) != ReasonAdmitted {
			f.wait(s, customer, deadline, attempt+1, refuse)
		}
	}
	if req, ok := s.TokenRequestFor(customer, attempt); ok {
		f.ask(s, req, next)
	}
	f.after(min(loadAnswerWait, deadline.Sub(f.now)), next)
}

// arrive lets a caller's request arrive in a zone by the waves of demand; between 4 s and 8 s most
// callers of zone 6 are in zone 0.
func (f *loadFleet) arrive(weights []float64) {
	f.after(time.Duration(f.rng.ExpFloat64()/loadRate*float64(time.Second)), func() { f.arrive(weights) })
	elapsed := f.now.Sub(start)
	zone := f.rng.IntN(loadZones)
	phase := 2 * math.Pi * (elapsed.Seconds()/loadPeriod.Seconds() + float64(zone%3)/3)
	if f.rng.Float64()*(1+loadWave) > 1+loadWave*math.Sin(phase) {
		zone = (zone + 1) % loadZones
	}
	if zone == 6 && elapsed > 4*time.Second && elapsed < 8*time.Second && f.rng.Float64() < 0.83 {
		zone = 0
	}
	list := f.byZone[zone]
	s := list[f.rng.IntN(len(list))]
	if f.dead[s.self.Name] {
		return
	}
	x := f.rng.Float64()
	for i, w := range weights {
		if x -= w; x < 0 {
			f.request(s, fmt.Sprint("c", i))
			return
		}
	}
}

// refill is the periodic check of the buckets of one host.
func (f *loadFleet) refill(s *Sharer) {
	f.after(100*time.Millisecond, func() { f.refill(s) })
	for _, req := range s.TokenRequests(f.now) {
		f.ask(s, req, func() {})
	}
}

func (f *loadFleet) run() {
	for _, s := range f.hosts {
		f.refill(s)
	}
	f.arrive(loadWeights())
	for f.now < start.Add(loadLength) {
		if e, ok := heap.Pop(&f.events).(loadEvent); ok {
			f.now = e.at
			e.run()
		}
	}
}

// TestFewWrongfulRefusalsAtManyHosts: callers within their rates are hardly ever refused at 118
// hosts, whichever host they reach, also while one host in twenty is dead.
func TestFewWrongfulRefusalsAtManyHosts(t *testing.T) {
	for name, dead := range map[string]int{"all hosts live": 0, "some hosts dead": loadHosts / 20} {
		t.Run(name, func(t *testing.T) {
			f := newLoadFleet()
			for i := range dead {
				f.dead[fmt.Sprint("h", 20*i)] = true
			}
			f.run()
			if share := float64(f.refused) / float64(f.requests); share >= 0.01 {
				t.Fatalf("%d of %d requests were refused, %.2f%%", f.refused, f.requests, 100*share)
			}
		})
	}
}
