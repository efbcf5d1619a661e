package limiter

import (
	"fmt"
	"math"
	"math/rand"
	"sort"
	"time"

	"google.golang.org/protobuf/proto"

	"github.com/fescuethread/fescuethread/messenger"
	"github.com/fescuethread/fescuethread/timer"
)

// fataler is what tests and properties fail through.
type fataler interface {
	Fatal(args ...any)
	Fatalf(format string, args ...any)
}

// world is true time, the processes and the messages between them.
type world struct {
	tb        fataler
	now       int64
	procs     []*proc
	messages  []*message
	plans     []Plan
	reference map[string]*reference
	admitted  int
	// paused is the process that is inside a call.
	paused *proc
}

// proc is one process of a host.
type proc struct {
	world       *world
	host        string
	incarnation uint64
	driftPPM    int64
	limiter     *Limiter
	dead        bool
	diedAt      int64
	// pause runs inside the next but n-th reading of the clock.
	pause func()
	after int
	// members is what the process heard of other hosts.
	members map[string]heartbeat
}

// heartbeat is a heartbeat: incarnation and version.
type heartbeat struct{ incarnation, version uint64 }

type message struct {
	from    *proc
	to      string
	request *messenger.LoanRequest
	reply   *messenger.LoanReply
	digest  map[string]heartbeat
}

// reference is one central bucket that every admission must fit into.
type reference struct{ tokens, rate, burst int64 }

const (
	nano = int64(time.Second)
	// testDriftPPM is far above real clocks' drift, so that its effects show within few steps.
	testDriftPPM = 50_000
	testMargin   = 320 * time.Millisecond
	// lingering is the least time after which a dead lender's loans count as lapsed.
	lingering = int64(DefaultTerm+testMargin) * 1_000_000 / (1_000_000 + testDriftPPM)
)

func newWorld(tb fataler) *world {
	return &world{tb: tb, reference: make(map[string]*reference)}
}

func (w *world) publish(p Plan) {
	p.Version = uint64(len(w.plans) + 1)
	w.plans = append(w.plans, p)
	for _, a := range p.Accounts {
		if w.reference[a.Name] == nil {
			w.reference[a.Name] = &reference{tokens: a.Burst * nano}
		}
	}
	w.bound()
}

func (w *world) start(host string, driftPPM int64, exclusive bool) *proc {
	p := &proc{
		world: w, host: host, driftPPM: driftPPM,
		incarnation: uint64(len(w.procs) + 1), members: make(map[string]heartbeat),
	}
	limiter, err := New(Config{
		Host: host, Incarnation: p.incarnation, Exclusive: exclusive, Now: p.clock,
		DriftPPM: testDriftPPM, Margin: testMargin,
	})
	if err != nil {
		w.tb.Fatal(err)
	}
	p.limiter = limiter
	w.procs = append(w.procs, p)
	return p
}

func (p *proc) clock() timer.Instant {
	if p.pause != nil && p.after == 0 {
		pause := p.pause
		p.pause = nil
		pause()
	}
	p.after--
	return timer.Instant(p.world.now + p.world.now/1_000_000*p.driftPPM + 1)
}

// common is a version that bounds the sum of all shares: the newest that any process holds settled,
// or the one that all processes have in force. Loans of dead processes count until they lapse.
func (w *world) common() uint64 {
	settled, lowest, highest := uint64(1), uint64(math.MaxUint64), uint64(0)
	for _, p := range w.procs {
		s := p.limiter.settlement
		if p.dead && w.now >= p.diedAt+lingering || s.held == 0 {
			continue
		}
		settled = max(settled, s.settled)
		lowest = min(lowest, s.held)
		highest = max(highest, s.held)
	}
	if lowest == highest {
		return highest
	}
	return settled
}

// bound sets the reference to the limits that the sum of all shares must keep to.
func (w *world) bound() {
	plan := w.plans[w.common()-1]
	for name, r := range w.reference {
		r.rate, r.burst = 0, 0
		for _, a := range plan.Accounts {
			if a.Name == name {
				r.rate, r.burst = a.Rate, a.Burst
			}
		}
		r.tokens = min(r.tokens, r.burst*nano)
	}
}

// check compares the shares that all processes may spend now with the largest limits in force.
func (w *world) check() {
	total := make(map[string]Share)
	for _, p := range alive(w.procs) {
		if p == w.paused {
			continue
		}
		for _, a := range p.limiter.Snapshot().Accounts {
			own := a.Home.Minus(a.Lent).Plus(a.Held)
			total[a.Name] = total[a.Name].Plus(own)
		}
	}
	w.bound()
	for name, r := range w.reference {
		limit := Share{Rate: r.rate * scale, Burst: r.burst * scale}
		if !limit.Covers(total[name]) {
			w.tb.Fatalf("shares of %s add up to %+v, over %+v", name, total[name], limit)
		}
	}
}

func (w *world) advance(d time.Duration) {
	w.bound()
	w.now += int64(d)
	for _, r := range w.reference {
		r.tokens = min(r.burst*nano, r.tokens+r.rate*int64(d))
	}
	w.check()
}

// admit asks for units and checks the fleet-wide bound in every window that ends now.
func (w *world) admit(p *proc, account string, units int64) Decision {
	d := p.limiter.Admit(account, units)
	if !d.Admitted {
		return d
	}
	w.admitted++
	w.bound()
	r := w.reference[account]
	r.tokens -= units * nano
	if r.tokens < 0 {
		w.tb.Fatalf("%s admitted %d of %s: %d nano-units over the bound", p.host, units, account, -r.tokens)
	}
	return d
}

func (w *world) tick(p *proc) {
	for _, ask := range p.limiter.Requests() {
		w.messages = append(w.messages, &message{from: p, to: ask.Peer, request: ask.Request})
	}
}

func (w *world) gossip(p *proc, to string) {
	digest := map[string]heartbeat{p.host: {p.incarnation, p.limiter.Version()}}
	for h, m := range p.members {
		digest[h] = m
	}
	w.messages = append(w.messages, &message{from: p, to: to, digest: digest})
}

// deliver hands a message to a process; what comes back is queued.
func (w *world) deliver(m *message, p *proc) {
	switch {
	case m.reply != nil:
		// Replies that are not awaited are refused; that is part of the protocol.
		_ = p.limiter.Credit(m.to, proto.CloneOf(m.reply))
	case m.request != nil:
		reply, err := p.limiter.Lend(proto.CloneOf(m.request))
		if err == nil {
			w.messages = append(w.messages, &message{from: m.from, to: p.host, reply: reply})
		}
	default:
		p.hear(m)
	}
	w.check()
}

// hear takes what the sender heard of others before what it says of itself.
func (p *proc) hear(m *message) {
	hosts := make([]string, 0, len(m.digest))
	for h := range m.digest {
		if h != p.host && h != m.from.host {
			hosts = append(hosts, h)
		}
	}
	sort.Strings(hosts)
	for _, h := range append(hosts, m.from.host) {
		next, ok := m.digest[h]
		old := p.members[h]
		if !ok || h == p.host || next.incarnation < old.incarnation {
			continue
		}
		if next.incarnation == old.incarnation && next.version < old.version {
			continue
		}
		p.members[h] = next
		p.limiter.Acknowledge(h, next.incarnation, next.version)
	}
}

// receivers are the processes that a message may reach.
func (w *world) receivers(m *message) []*proc {
	if m.reply != nil {
		return alive([]*proc{m.from})
	}
	var procs []*proc
	for _, p := range w.procs {
		if p.host == m.to {
			procs = append(procs, p)
		}
	}
	return alive(procs)
}

func alive(procs []*proc) []*proc {
	var living []*proc
	for _, p := range procs {
		if !p.dead {
			living = append(living, p)
		}
	}
	return living
}

// disturb delivers what is under way with loss, delay, repetition and change of order.
func (w *world) disturb(r *rand.Rand) {
	for i := len(w.messages); i > 0 && len(w.messages) > 0; i-- {
		j := r.Intn(len(w.messages))
		m := w.messages[j]
		fate := r.Intn(16)
		if fate != 0 && fate != 1 {
			w.messages = append(w.messages[:j], w.messages[j+1:]...)
		}
		if fate == 2 || fate == 1 {
			continue
		}
		for _, p := range w.receivers(m) {
			w.deliver(m, p)
		}
	}
}

// flush delivers everything that is under way.
func (w *world) flush() {
	for len(w.messages) > 0 {
		m := w.messages[0]
		w.messages = w.messages[1:]
		for _, p := range w.receivers(m) {
			w.deliver(m, p)
		}
	}
}

// learn reads the newest plan from the platform.
func (w *world) learn(p *proc) {
	plan := w.plans[len(w.plans)-1]
	if plan.Version < p.limiter.settlement.newest() {
		return
	}
	if err := p.limiter.Configure(plan); err != nil {
		w.tb.Fatal(err)
	}
	p.limiter.Confirm(plan.Version)
}

// copyPlan takes the newest plan of another process.
func (w *world) copyPlan(p, from *proc) {
	version := from.limiter.settlement.newest()
	if version <= p.limiter.settlement.newest() {
		return
	}
	if err := p.limiter.Configure(w.plans[version-1]); err != nil {
		w.tb.Fatal(err)
	}
}

func (w *world) kill(p *proc) {
	p.dead = true
	p.diedAt = w.now
}

func names(n int) []string {
	hosts := make([]string, n)
	for i := range hosts {
		hosts[i] = fmt.Sprintf("host%d", i)
	}
	return hosts
}

// settleDown runs all processes without loss for a while.
func (w *world) settleDown(d time.Duration) {
	for end := w.now + int64(d); w.now < end; w.advance(DefaultTick) {
		w.round()
	}
}

func (w *world) round() {
	living := alive(w.procs)
	for _, p := range living {
		w.tick(p)
		for _, q := range living {
			if q != p {
				w.gossip(p, q.host)
			}
		}
	}
	w.flush()
}

func drift(r *rand.Rand) int64 {
	return r.Int63n(2*testDriftPPM+1) - testDriftPPM
}
