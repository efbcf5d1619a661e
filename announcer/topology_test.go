package announcer

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"google.golang.org/protobuf/proto"

	"github.com/fescuethread/fescuethread/messenger"
	"github.com/fescuethread/fescuethread/timer"
)

const (
	// controlBound is the most that control may send on a host in a second.
	controlBound = 15_000
	// interRegionDelay and zoneDelay are the delays of the links.
	interRegionDelay = 35 * time.Millisecond
	zoneDelay        = time.Millisecond
	simStart         = timer.Instant(time.Hour)
	simStep          = 5 * time.Millisecond
)

// simHandler provides content of realistic size, and records what arrives.
type simHandler struct {
	demand map[string]bool
	// verifiedAt is when the host's copy of the store was last verified, on the common clock.
	verifiedAt timer.Instant
}

func (h *simHandler) Heartbeat(now timer.Instant) *messenger.Beat {
	b := &messenger.Beat{Ready: true, Works: h.ZoneDemand(now)}
	for subject := range uint32(4) {
		b.Proofs = append(b.Proofs, &messenger.Proof{
			Subject: subject, Mark: 1 << 60, Age: uint32(now.Sub(h.verifiedAt).Milliseconds()) + 1,
		})
	}
	return b
}

// Views returns as many views as there is room for, with large values.
func (h *simHandler) Views(n int) *messenger.Views {
	v := &messenger.Views{}
	for i := range n {
		v.Targets = append(v.Targets, uint32(i))
		v.Loads = append(v.Loads, 200)
		v.Answered = append(v.Answered, 100)
		v.Failed = append(v.Failed, 100)
		v.Slowdowns = append(v.Slowdowns, 250)
	}
	return v
}

func (h *simHandler) ZoneDemand(timer.Instant) []*messenger.Work {
	return []*messenger.Work{{Service: "saleroom", Demand: 50_000}, {Service: "woolshed", Demand: 50_000}}
}

func (h *simHandler) HandleHeartbeat(_, echoSentAt timer.Instant, b *messenger.Beat) {
	if echoSentAt != 0 && len(b.GetProofs()) > 0 {
		at := echoSentAt.Add(-time.Duration(b.GetProofs()[0].GetAge()) * time.Millisecond)
		h.verifiedAt = max(h.verifiedAt, at)
	}
}

func (h *simHandler) HandleDigest(_ timer.Instant, zone string, _ *messenger.Digest) {
	h.demand[zone] = true
}

func (h *simHandler) HandleTokenRequest(timer.Instant, *messenger.Plea)  {}
func (h *simHandler) HandleTokenTransfer(timer.Instant, *messenger.Gift) {}

// simHost is a host of a simulated fleet.
type simHost struct {
	*Announcer
	content *simHandler
	member  Member
	// nextBeat is when the host sends its next heartbeat.
	nextBeat timer.Instant
	dead     bool
	sent     int
}

// simFleet simulates the heartbeats of a fleet without a network.
type simFleet struct {
	rng     *rand.Rand
	now     timer.Instant
	hosts   []*simHost
	byName  map[string]*simHost
	pending []delivery
	// cut reports whether datagrams between two hosts are lost.
	cut func(from, to Member) bool
}

type delivery struct {
	at   timer.Instant
	to   *simHost
	data []byte
}

// newSimFleet returns hosts spread evenly over zones, and zones over regions.
func newSimFleet(t *testing.T, hosts, zones, regions int) *simFleet {
	t.Helper()
	f := &simFleet{
		rng: rand.New(rand.NewPCG(1, uint64(hosts))), now: simStart, byName: map[string]*simHost{},
		cut: func(Member, Member) bool { return false },
	}
	members := make([]Member, 0, hosts)
	for i := range hosts {
		zone := i % zones
		members = append(members, Member{
			Name: fmt.Sprintf("edge-region-zone-%d", i), Zone: fmt.Sprintf("region-zone-%d", zone),
			Region: fmt.Sprint("region-", zone%regions), PeerAddress: "127.0.0.1:1",
		})
	}
	for i, m := range members {
		h := &simHost{content: &simHandler{demand: map[string]bool{}, verifiedAt: simStart}, member: m}
		h.nextBeat = simStart.Add(time.Duration(f.rng.Int64N(int64(HeartbeatInterval))))
		h.Announcer = &Announcer{
			self: m, incarnation: 1, roster: NewRoster(m), handler: h.content, sequence: uint64(i) << 32,
		}
		h.roster.Replace(simStart, append([]Member(nil), members...))
		f.hosts = append(f.hosts, h)
		f.byName[m.Name] = h
	}
	return f
}

// run lets the fleet live for a time; each step is five milliseconds.
func (f *simFleet) run(t *testing.T, d time.Duration) {
	t.Helper()
	for end := f.now.Add(d); f.now < end; f.now = f.now.Add(simStep) {
		f.deliver(t)
		for _, h := range f.hosts {
			if !h.dead && f.now >= h.nextBeat {
				h.nextBeat = h.nextBeat.Add(h.interval())
				f.beat(t, h)
			}
		}
	}
}

func (f *simFleet) beat(t *testing.T, h *simHost) {
	clock := func() timer.Instant { return f.now }
	h.sendHeartbeat(f.now, clock, func(to Member, b *messenger.Beat) {
		data, err := proto.Marshal(&messenger.Datagram{Beat: b})
		if err != nil {
			t.Fatal(err)
		}
		h.sent += len(data) + datagramOverhead
		if f.cut(h.member, to) {
			return
		}
		delay := zoneDelay
		if to.Region != h.member.Region {
			delay = interRegionDelay
		}
		f.pending = append(f.pending, delivery{f.now.Add(delay), f.byName[to.Name], data})
	})
}

func (f *simFleet) deliver(t *testing.T) {
	kept := f.pending[:0]
	for _, d := range f.pending {
		switch {
		case d.at > f.now:
			kept = append(kept, d)
		case !d.to.dead:
			var m messenger.Datagram
			if err := proto.Unmarshal(d.data, &m); err != nil {
				t.Fatal(err)
			}
			d.to.handleHeartbeat(f.now, m.GetBeat())
		}
	}
	f.pending = kept
}

// wrong returns how many hosts' views of other hosts differ from the truth: a host that isn't dead
// must be serving for each live one that it isn't cut off from.
func (f *simFleet) wrong() int {
	n := 0
	for _, h := range f.hosts {
		for _, other := range f.hosts {
			if h == other || h.dead {
				continue
			}
			if h.roster.Serving(f.now, other.member.Name) == other.dead {
				n++
			}
		}
	}
	return n
}

// TestHeartbeatBytesAreBounded: what any host sends for heartbeats in a second stays within the
// bound for control, at the size of today's fleet and at that of two years.
func TestHeartbeatBytesAreBounded(t *testing.T) {
	for _, size := range []struct{ hosts, zones, regions int }{
		{7, 6, 3}, {118, 9, 3}, {300, 27, 9}, {1600, 92, 27},
	} {
		t.Run(fmt.Sprint(size.hosts), func(t *testing.T) {
			f := newSimFleet(t, size.hosts, size.zones, size.regions)
			f.run(t, 2*time.Second)
			for _, h := range f.hosts {
				h.sent = 0
			}
			const measured = time.Second
			f.run(t, measured)
			most, sum := 0, 0
			for _, h := range f.hosts {
				most, sum = max(most, h.sent), sum+h.sent
			}
			perSecond := float64(most) / measured.Seconds()
			t.Logf("most %.0f bytes a second, mean %.0f", perSecond,
				float64(sum)/measured.Seconds()/float64(size.hosts))
			if perSecond > controlBound {
				t.Fatalf("a host sends %.0f bytes a second, want at most %d", perSecond, controlBound)
			}
		})
	}
}

// TestSparseFleetKnowsWhoIsLive: all hosts learn of all others from nothing; they learn of the loss
// of a host, of the carriers and of a zone, and of their return.
func TestSparseFleetKnowsWhoIsLive(t *testing.T) {
	f := newSimFleet(t, 118, 9, 3)
	f.run(t, 4*time.Second)
	if n := f.wrong(); n > 0 {
		t.Fatalf("%d views are wrong after the start", n)
	}
	for name, lost := range map[string]func(i int, h *simHost) bool{
		"one in ten hosts": func(i int, _ *simHost) bool { return i%10 == 3 },
		"a zone":           func(_ int, h *simHost) bool { return h.member.Zone == "region-zone-4" },
		"a region":         func(_ int, h *simHost) bool { return h.member.Region == "region-1" },
		"all carriers": func(_ int, h *simHost) bool {
			top := topology{self: h.member, members: h.roster.Members(), live: func(string) bool { return true }}
			for _, r := range top.recipients(0) {
				if r.link != linkMesh {
					return true
				}
			}
			return false
		},
	} {
		for i, h := range f.hosts {
			h.dead = lost(i, h)
		}
		f.run(t, HeartbeatTimeout+digestTimeout+2*time.Second)
		if n := f.wrong(); n > 0 {
			t.Fatalf("%s: %d views are wrong after the loss", name, n)
		}
		for _, h := range f.hosts {
			h.dead = false
		}
		f.run(t, 5*time.Second)
		if n := f.wrong(); n > 0 {
			t.Fatalf("%s: %d views are wrong after the return", name, n)
		}
	}
}

// TestVerificationsReachTheRegion: while one host of a region verifies its copy of the store each
// second, no other host's verification gets older than the age at which it would read the store
// itself; a tenth of the hosts is dead.
func TestVerificationsReachTheRegion(t *testing.T) {
	const oldest = 3400 * time.Millisecond
	f := newSimFleet(t, 118, 9, 3)
	for i, h := range f.hosts {
		h.dead = i%10 == 5
	}
	f.run(t, 5*time.Second)
	readers := map[string]*simHost{}
	for _, h := range f.hosts {
		if readers[h.member.Region] == nil && !h.dead {
			readers[h.member.Region] = h
		}
	}
	oldestSeen := time.Duration(0)
	for range 20 {
		for _, h := range readers {
			h.content.verifiedAt = f.now
		}
		f.run(t, time.Second)
		for _, h := range f.hosts {
			if !h.dead && f.now > simStart.Add(10*time.Second) {
				oldestSeen = max(oldestSeen, f.now.Sub(h.content.verifiedAt))
			}
		}
	}
	t.Logf("oldest verification: %s", oldestSeen)
	if oldestSeen > oldest {
		t.Fatalf("a verification is %s old, want at most %s", oldestSeen, oldest)
	}
}

// TestCutRegionGoesOnByItself: a region that is cut off knows its own hosts, counts the others as
// lost and finds them again.
func TestCutRegionGoesOnByItself(t *testing.T) {
	f := newSimFleet(t, 118, 9, 3)
	f.run(t, 4*time.Second)
	f.cut = func(from, to Member) bool {
		return (from.Region == "region-0") != (to.Region == "region-0")
	}
	f.run(t, 8*time.Second)
	for _, h := range f.hosts {
		for _, other := range f.hosts {
			reachable := (h.member.Region == "region-0") == (other.member.Region == "region-0")
			if h != other && h.roster.Serving(f.now, other.member.Name) != reachable {
				t.Fatalf("%s in %s counts %s in %s as serving: %v", h.member.Name, h.member.Region,
					other.member.Name, other.member.Region, !reachable)
			}
		}
	}
	f.cut = func(Member, Member) bool { return false }
	f.run(t, 5*time.Second)
	if n := f.wrong(); n > 0 {
		t.Fatalf("%d views are wrong after the cut", n)
	}
}
