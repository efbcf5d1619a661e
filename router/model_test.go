package router

import (
	"cmp"
	"fmt"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"github.com/fescuethread/fescuethread/scheduler"
	"github.com/fescuethread/fescuethread/timer"
)

const (
	modelZones    = 6
	modelHosts    = 7
	modelService  = "s"
	modelMean     = 20 * time.Millisecond
	modelDeadline = 300 * time.Millisecond
	modelLag      = time.Second
	modelPeriod   = 500 * time.Millisecond
	modelEnd      = 12 * time.Second
	faultAt       = 4 * time.Second
	deathKnown    = 3 * time.Second
	coldAnswers   = 300
)

// deployment is one of the two of the brief.
type deployment struct {
	name    string
	rtt     time.Duration
	targets int
	slots   int
}

var deployments = []deployment{
	{name: "Karoo", rtt: 35 * time.Millisecond, targets: 20, slots: 9},
	{name: "Batbayar", rtt: 55 * time.Millisecond, targets: 14, slots: 3},
}

// scene is a load and a fault, which starts at faultAt.
type scene struct {
	name       string
	load       float64
	hot        float64
	lostZone   bool
	lostRegion bool
	lostHosts  bool
	silent     time.Duration
	falseFree  bool
	cold       float64
}

type event struct {
	at timer.Instant
	do func()
}

type report struct {
	at   timer.Instant
	load scheduler.Load
}

type request struct {
	sender  *modelHost
	born    timer.Instant
	choices []Choice
	next    int
	current Choice
}

type pending struct {
	ticket *scheduler.Ticket
	r      *request
}

type modelHost struct {
	m       *model
	name    string
	zone    int
	s       *scheduler.Scheduler
	dead    bool
	waiting []pending
	reports []report
	flights map[string]*Flight
	first   int
	retries int
	turn    int
}

type policy func(h *modelHost) []Choice

// model is a fleet in virtual time around the real router and the real scheduler.
type model struct {
	d        deployment
	sc       scene
	choose   policy
	rng      *rand.Rand
	now      timer.Instant
	queue    []event
	hosts    []*modelHost
	warm     map[string]int
	arrivals [modelZones]int
	busiest  float64
	peak     int
	swing    float64
	swings   int
	before   [modelZones]float64
	all      int
	late     int
	refused  int
	wrongful int
	latency  *hdrhistogram.Histogram
}

func newModel(d deployment, sc scene, p policy, seed uint64) *model {
	m := &model{
		d: d, sc: sc, choose: p, rng: rand.New(rand.NewPCG(seed, 7)), now: timer.Instant(time.Hour),
		warm: map[string]int{}, latency: hdrhistogram.New(1, 10_000_000, 3),
	}
	for i := range modelHosts {
		h := &modelHost{
			m: m, name: fmt.Sprint("h", i), zone: i % modelZones,
			s: scheduler.New(scheduler.Config{WarmupAnswers: 1}), flights: map[string]*Flight{},
		}
		index, count := 0, 1
		if h.zone == 0 {
			index, count = i/modelZones, 2
		}
		h.s.SetShare(m.now, index, count, m.now)
		if err := h.s.Configure(m.now, m.targets(h.zone)); err != nil {
			panic(err)
		}
		m.hosts = append(m.hosts, h)
	}
	return m
}

func (m *model) targets(zone int) []scheduler.Target {
	var list []scheduler.Target
	for i := zone; i < m.d.targets; i += modelZones {
		list = append(list, scheduler.Target{Name: fmt.Sprint("t", i), Service: modelService, Slots: m.d.slots})
	}
	return list
}

func (m *model) capacity(zone int) float64 {
	return float64(len(m.targets(zone))*m.d.slots) / modelMean.Seconds()
}

func zoneName(z int) string   { return fmt.Sprint("z", z) }
func regionName(z int) string { return fmt.Sprint("r", z/2) }

func (m *model) after(d time.Duration, do func()) {
	e := event{at: m.now.Add(d), do: do}
	i, _ := slices.BinarySearchFunc(m.queue, e.at+1, func(e event, at timer.Instant) int { return cmp.Compare(e.at, at) })
	m.queue = slices.Insert(m.queue, i, e)
}

func (m *model) every(d time.Duration, do func()) {
	m.after(d, func() {
		do()
		m.every(d, do)
	})
}

func (m *model) run() *model {
	start := m.now
	for z := range modelZones {
		m.arrive(z)
	}
	m.every(modelPeriod, m.report)
	m.every(time.Second, m.sample)
	m.every(10*time.Millisecond, m.tick)
	m.after(faultAt, m.fault)
	for len(m.queue) > 0 && m.queue[0].at.Sub(start) < modelEnd {
		e := m.queue[0]
		m.queue = m.queue[1:]
		m.now = e.at
		e.do()
	}
	return m
}

func (m *model) fault() {
	for _, h := range m.hosts {
		if m.sc.lostZone && h.zone == 2 || m.sc.lostHosts && h.zone/2 == 1 {
			h.dead = true
		}
		if m.sc.lostRegion && h.zone/2 == 1 {
			if err := h.s.Configure(m.now, nil); err != nil {
				panic(err)
			}
		}
	}
}

func (m *model) faulty() bool {
	return m.now.Sub(timer.Instant(time.Hour)) >= faultAt
}

func (m *model) rate(z int) float64 {
	if z == 0 && m.sc.hot > 0 && m.faulty() {
		return m.sc.hot * m.capacity(z)
	}
	if z == 2 && m.sc.falseFree {
		return 1.2 * m.capacity(z)
	}
	return m.sc.load * m.capacity(z)
}

func (m *model) arrive(z int) {
	gap := time.Duration(m.rng.ExpFloat64() / m.rate(z) * float64(time.Second))
	m.after(gap, func() {
		m.entry(z).receive()
		m.arrive(z)
	})
}

// entry is the host that a caller of the zone uses: of its zone, of its region, or any.
func (m *model) entry(z int) *modelHost {
	for _, width := range []int{1, 2, modelZones} {
		near := func(h *modelHost) bool { return !h.dead && h.zone/width == z/width }
		live := slices.DeleteFunc(slices.Clone(m.hosts), func(h *modelHost) bool { return !near(h) })
		if len(live) > 0 {
			return live[m.rng.IntN(len(live))]
		}
	}
	panic("no live host")
}

func (m *model) report() {
	for _, h := range m.hosts {
		h.s.Tick(m.now)
		if h.dead || m.faulty() && m.now.Sub(timer.Instant(time.Hour)) < faultAt+m.sc.silent {
			continue
		}
		l := h.load()
		if m.sc.falseFree && h.zone == 2 {
			l.Busy, l.Queued = 0, 0
		}
		h.reports = append(h.reports, report{at: m.now, load: l})
	}
}

func (m *model) tick() {
	for _, h := range m.hosts {
		h.s.Tick(m.now)
		h.poll()
	}
}

func (m *model) sample() {
	for z := range modelZones {
		used := float64(m.arrivals[z]) / m.capacity(z)
		m.arrivals[z] = 0
		if m.faulty() {
			m.busiest = max(m.busiest, used)
			m.swing += max(used-m.before[z], m.before[z]-used)
			m.swings++
		}
		m.before[z] = used
	}
}

func (h *modelHost) load() scheduler.Load {
	for _, l := range h.s.Loads(h.m.now) {
		return l
	}
	return scheduler.Load{}
}

// seen is the newest report that has arrived, and its age.
func (h *modelHost) seen() (scheduler.Load, time.Duration, bool) {
	for _, r := range slices.Backward(h.reports) {
		if age := h.m.now.Sub(r.at); age >= modelLag {
			return r.load, age, true
		}
	}
	return scheduler.Load{}, 0, false
}

func (h *modelHost) receive() {
	h.m.all++
	h.first++
	r := &request{sender: h, born: h.m.now, choices: h.m.choose(h)}
	h.try(r)
}

func (h *modelHost) try(r *request) {
	m := h.m
	if r.next >= len(r.choices) || r.next > 0 && h.retries >= 50+h.first/5 {
		m.refuse()
		return
	}
	if r.next > 0 {
		h.retries++
	}
	r.current = r.choices[r.next]
	r.next++
	if r.current.Host == "" {
		h.enqueue(r)
		return
	}
	h.begin(r.current)
	peer := m.hosts[slices.IndexFunc(m.hosts, func(o *modelHost) bool { return o.name == r.current.Host })]
	m.after(h.rtt(peer.zone)/2, func() { peer.enqueue(r) })
}

func (h *modelHost) rtt(zone int) time.Duration {
	switch {
	case zone == h.zone:
		return 0
	case zone/2 == h.zone/2:
		return time.Millisecond
	}
	return h.m.d.rtt
}

func (h *modelHost) enqueue(r *request) {
	if h.dead {
		h.answer(r, false)
		return
	}
	h.m.arrivals[h.zone]++
	t := h.s.Enqueue(h.m.now, scheduler.Work{
		Customer: fmt.Sprint(h.m.rng.IntN(8)), Service: modelService, Deadline: r.born.Add(modelDeadline), Idempotent: true,
	})
	h.waiting = append(h.waiting, pending{ticket: t, r: r})
	h.poll()
}

func (h *modelHost) poll() {
	waiting := h.waiting
	h.waiting = nil
	for _, p := range waiting {
		select {
		case d := <-p.ticket.C:
			h.decided(p, d)
		default:
			h.waiting = append(h.waiting, p)
		}
	}
	h.m.peak = max(h.m.peak, len(h.waiting))
}

func (h *modelHost) decided(p pending, d scheduler.Decision) {
	if !d.Granted() {
		h.answer(p.r, false)
		return
	}
	took := time.Duration((0.5 + h.m.rng.Float64()) * float64(modelMean))
	key := p.r.sender.region() + h.region()
	if h.m.sc.cold > 1 && p.r.sender.zone/2 != h.zone/2 {
		missing := max(0, 1-float64(h.m.warm[key])/coldAnswers)
		took = time.Duration(float64(took) * (1 + (h.m.sc.cold-1)*missing))
		h.m.warm[key]++
	}
	h.m.after(took, func() {
		h.s.Done(h.m.now, p.ticket, scheduler.ResultOK)
		h.answer(p.r, true)
		h.poll()
	})
}

func (h *modelHost) region() string { return regionName(h.zone) }

func (h *modelHost) answer(r *request, ok bool) {
	m := h.m
	if r.current.Host == "" {
		r.sender.finish(r, ok)
		return
	}
	m.after(r.sender.rtt(h.zone)/2, func() {
		r.sender.end(r.current, ok)
		r.sender.finish(r, ok)
	})
}

func (h *modelHost) finish(r *request, ok bool) {
	m := h.m
	if !ok {
		h.try(r)
		return
	}
	took := m.now.Sub(r.born)
	if took > modelDeadline {
		m.late++
	}
	if err := m.latency.RecordValue(took.Microseconds()); err != nil {
		panic(err)
	}
}

// refuse counts a refusal; it is wrongful while a twentieth of the fleet's slots is free.
func (m *model) refuse() {
	m.refused++
	free, slots := 0, 0
	for _, h := range m.hosts {
		if h.dead {
			continue
		}
		l := h.load()
		slots += l.Ready
		free += max(l.Ready-l.Busy-l.Queued, 0)
	}
	if free*20 > slots {
		m.wrongful++
	}
}

func (m *model) String() string {
	percent := func(n int) float64 { return 100 * float64(n) / float64(m.all) }
	ms := func(q float64) float64 { return float64(m.latency.ValueAtQuantile(q)) / 1000 }
	return fmt.Sprintf("| %.1f | %.1f | %.2f | %.2f | %.2f | %.0f | %d | %.1f |", ms(50), ms(99), percent(m.late),
		percent(m.refused), percent(m.wrongful), 100*m.busiest, m.peak, 100*m.swing/float64(max(m.swings, 1)))
}

func (h *modelHost) flight(zone string) *Flight {
	if h.flights[zone] == nil {
		h.flights[zone] = &Flight{}
	}
	return h.flights[zone]
}

func (h *modelHost) begin(c Choice) {
	h.flight(c.Zone).Begin(h.m.now)
}

func (h *modelHost) end(c Choice, ok bool) {
	feedback := FeedbackAnswered
	if !ok {
		feedback = FeedbackRefused
	}
	h.flight(c.Zone).End(h.m.now, feedback)
}

// survey does what the surveyor does: own state is fresh, other zones' reports lag.
func (h *modelHost) survey() []Zone {
	var zones []Zone
	for z := range modelZones {
		zone := Zone{
			Name: zoneName(z), Region: regionName(z), Near: z == h.zone, RTT: h.rtt(z),
			Weight: int(h.m.capacity(z)), Shift: z/2 != h.zone/2,
		}
		h.fill(&zone, z)
		zones = append(zones, zone)
	}
	if mates := h.mates(); len(mates.Hosts) > 0 {
		zones = append(zones, mates)
	}
	return zones
}

// mates is the part of the own zone whose slots another host holds.
func (h *modelHost) mates() Zone {
	zone := Zone{Name: zoneName(h.zone), Region: h.region(), RTT: time.Millisecond}
	h.fill(&zone, h.zone)
	return zone
}

func (h *modelHost) fill(zone *Zone, z int) {
	if zone.Near {
		l := h.load()
		zone.Load = Load{Known: true, Ready: l.Ready, Busy: l.Busy, Queued: l.Queued, Service: l.Took}
		return
	}
	now := h.m.now
	for _, peer := range h.m.hosts {
		l, age, ok := peer.seen()
		if peer == h || peer.zone != z || !ok || peer.dead && age > deathKnown {
			continue
		}
		zone.Hosts = append(zone.Hosts, peer.name)
		zone.Load = Load{
			Known: true, Age: max(zone.Load.Age, age), Ready: zone.Load.Ready + l.Ready,
			Busy: zone.Load.Busy + l.Busy, Queued: zone.Load.Queued + l.Queued, Service: max(zone.Load.Service, l.Took),
		}
	}
	zone.Senders = h.senders(z)
	zone.InFlight = h.flight(zone.Name).Count()
	zone.Held = h.flight(zone.Name).Held(now, zone.Load)
	zone.Refused = h.flight(zone.Name).Refused(now, zone.Load)
}

// senders are this host and those whose own slots are known to be short, or of which nothing is known.
func (h *modelHost) senders(z int) int {
	n := 1
	for _, peer := range h.m.hosts {
		l, _, ok := peer.seen()
		if peer != h && peer.zone != z && !peer.dead && (!ok || Load{Ready: l.Ready, Busy: l.Busy, Queued: l.Queued}.Short()) {
			n++
		}
	}
	return n
}

func decide(h *modelHost) []Choice {
	return Decide(h.region(), h.survey(), h.m.rng).Choices
}

func (h *modelHost) toChoice(z Zone) Choice {
	c := Choice{Zone: z.Name, Region: z.Region}
	if !z.Near {
		c.Host = z.Hosts[h.m.rng.IntN(len(z.Hosts))]
	}
	return c
}

func (h *modelHost) usable() []Zone {
	return slices.DeleteFunc(h.survey(), func(z Zone) bool { return !z.Near && len(z.Hosts) == 0 })
}

func ownZone(h *modelHost) []Choice {
	for _, z := range h.usable() {
		if z.Near {
			return []Choice{h.toChoice(z)}
		}
	}
	return nil
}

func roundRobin(h *modelHost) []Choice {
	zones := h.usable()
	var out []Choice
	h.turn++
	for i := range min(maxChoices, len(zones)) {
		out = append(out, h.toChoice(zones[(h.turn+i)%len(zones)]))
	}
	return out
}

// leastLoaded follows the lagging reports alone, as every other host does.
func leastLoaded(h *modelHost) []Choice {
	zones := h.usable()
	use := func(z Zone) float64 { return float64(z.Load.Busy+z.Load.Queued) / max(float64(z.Load.Ready), 0.1) }
	slices.SortStableFunc(zones, func(a, b Zone) int { return cmp.Or(cmp.Compare(use(a), use(b)), int(a.RTT-b.RTT)) })
	var out []Choice
	for _, z := range zones[:min(maxChoices, len(zones))] {
		out = append(out, h.toChoice(z))
	}
	return out
}
