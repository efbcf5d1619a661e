package detector

import (
	"fmt"
	"math/rand"
	"testing"
	"time"

	"pgregory.net/rapid"

	"github.com/fescuethread/fescuethread/messenger"
	"github.com/fescuethread/fescuethread/timer"
)

// maxDelay is the longest delay of a digest in a faulty network.
const maxDelay = 15 * time.Second

// place is a host's position in its life as another host knows it.
type place struct {
	incarnation, sequence uint64
}

// fleetMachine brings faults about in a fleet and checks that no view goes back.
type fleetMachine struct {
	fleet *fleet
	seen  map[string]place
	born  map[string]uint64
}

func newFleetMachine(zones, hosts int, seed int64) *fleetMachine {
	m := &fleetMachine{
		fleet: newFleet(zones, hosts),
		seen:  make(map[string]place),
		born:  make(map[string]uint64),
	}
	rnd := rand.New(rand.NewSource(seed))
	m.fleet.fate = func() []time.Duration {
		copies := make([]time.Duration, rnd.Intn(4))
		for i := range copies {
			copies[i] = time.Duration(rnd.Int63n(int64(maxDelay)))
		}
		return copies
	}
	return m
}

func (m *fleetMachine) host(t *rapid.T) string {
	return m.fleet.hosts[rapid.IntRange(0, len(m.fleet.hosts)-1).Draw(t, "host")].Name
}

func (m *fleetMachine) Pass(t *rapid.T) {
	m.fleet.run(time.Duration(rapid.IntRange(1, 80).Draw(t, "steps")) * step)
}

func (m *fleetMachine) Pause(t *rapid.T) {
	m.fleet.down[m.host(t)] = true
}

func (m *fleetMachine) Resume(t *rapid.T) {
	m.fleet.down[m.host(t)] = false
}

func (m *fleetMachine) Restart(t *rapid.T) {
	name := m.host(t)
	m.born[name]++
	m.fleet.start(name, firstIncarnation+m.born[name])
	for key := range m.seen {
		if key[:len(name)] == name {
			delete(m.seen, key)
		}
	}
}

func (m *fleetMachine) Cut(t *rapid.T) {
	m.fleet.cut[m.host(t)] = true
}

func (m *fleetMachine) Heal(t *rapid.T) {
	m.fleet.cut[m.host(t)] = false
}

// Check demands that no view of a host goes back to an earlier heartbeat.
func (m *fleetMachine) Check(t *rapid.T) {
	for _, a := range m.fleet.hosts {
		for _, v := range m.fleet.tables[a.Name].Members(m.fleet.now) {
			key := a.Name + " " + v.Host.Name
			old, now := m.seen[key], place{v.Incarnation, v.Sequence}
			if now.incarnation < old.incarnation ||
				now.incarnation == old.incarnation && now.sequence < old.sequence {
				t.Fatalf("%s: went back from %v to %v", key, old, now)
			}
			m.seen[key] = now
		}
	}
}

// settle ends all faults but stopped hosts and lets the bound for agreement pass.
func (m *fleetMachine) settle() {
	m.fleet.fate = func() []time.Duration { return []time.Duration{step} }
	clear(m.fleet.cut)
	m.fleet.run(maxDelay + 40*time.Second)
}

func TestFaultsLeaveNoTrace(t *testing.T) {
	for _, size := range []struct{ zones, hosts int }{{3, 7}, {6, 36}} {
		t.Run(fmt.Sprint(size.hosts), func(t *testing.T) {
			rapid.Check(t, func(t *rapid.T) {
				seed := rapid.Int64().Draw(t, "seed")
				m := newFleetMachine(size.zones, size.hosts, seed)
				t.Repeat(rapid.StateMachineActions(m))
				m.settle()
				if wrong := m.fleet.disagreements(); len(wrong) > 0 {
					t.Fatalf("%d wrong views, first: %s", len(wrong), wrong[0])
				}
			})
		})
	}
}

func TestLiveHostsAreNeverTakenForDead(t *testing.T) {
	for _, size := range []struct{ zones, hosts int }{{6, 7}, {12, 70}} {
		f := newFleet(size.zones, size.hosts)
		rnd := rand.New(rand.NewSource(1))
		f.fate = func() []time.Duration {
			return []time.Duration{time.Duration(rnd.Int63n(int64(500 * time.Millisecond)))}
		}
		for range 60 {
			f.run(time.Second)
			for viewer := range f.hosts {
				for _, v := range f.table(viewer).Members(f.now) {
					if v.State == StateDead {
						t.Fatalf("h%04d takes %s for dead: %s", viewer, v.Host.Name, v.Reason)
					}
				}
			}
		}
	}
}

func TestOldProcessLearnsThatItWasReplaced(t *testing.T) {
	f := newFleet(2, 3)
	f.run(3 * time.Second)
	old := f.table(1)
	f.start("h0001", firstIncarnation+1)
	f.run(3 * time.Second)
	messages := old.Tick(f.now)
	answer := f.table(0).Receive(f.now, "h0001", messages[0].Digest)
	if v, _ := f.table(0).Member(f.now, "h0001"); v.Incarnation != firstIncarnation+1 {
		t.Fatalf("incarnation %d after a heartbeat of an earlier one", v.Incarnation)
	}
	old.Receive(f.now, "h0000", answer)
	if !old.Replaced() || old.Tick(f.now) != nil {
		t.Fatal("the old process goes on")
	}
}

func TestRelayedHeartbeatDoesNotRevive(t *testing.T) {
	f := newFleet(1, 3)
	f.run(3 * time.Second)
	last := f.table(1).heartbeat(f.now)
	f.down["h0001"] = true
	f.run(DeadAfter + Period)
	f.table(0).Receive(f.now, "h0002", &messenger.Digest{Members: []*messenger.Member{last}})
	if got := f.state(0, 1); got != StateDead {
		t.Fatalf("an old heartbeat made the host %v", got)
	}
}

func TestListOnlyConfirms(t *testing.T) {
	f := newFleet(2, 4)
	f.run(3 * time.Second)
	list := func(state Listed, want State) {
		t.Helper()
		f.table(0).Listed(f.now, []ListedHost{{Name: "h0001", State: state}})
		if got := f.state(0, 1); got != want {
			t.Fatalf("listed %v: %v, want %v", state, got, want)
		}
	}
	list(ListedGone, StateLive)
	list(ListedLeaving, StateLeaving)
	list(ListedLive, StateLive)
	f.down["h0001"] = true
	f.run(SuspectAfter + Period)
	list(ListedLive, StateSuspect)
	list(ListedGone, StateDead)
	f.run(DeadAfter)
	list(ListedLive, StateDead)
	f.start("h0001", firstIncarnation+1)
	f.down["h0001"] = false
	list(ListedLeaving, StateDead)
	f.run(2 * time.Second)
	if got := f.state(0, 1); got != StateLive {
		t.Fatalf("the list speaks of an earlier incarnation, but: %v", got)
	}
}

func TestDepartureIsKnownEverywhere(t *testing.T) {
	f := newFleet(12, 70)
	f.run(20 * time.Second)
	leaver := f.table(13)
	leaver.SetState(messenger.State_STATE_LEAVING)
	f.run(8 * time.Second)
	for viewer := range f.hosts {
		if got := f.state(viewer, 13); got != StateLeaving {
			t.Fatalf("h%04d: %v", viewer, got)
		}
	}
	leaver.SetState(messenger.State_STATE_LEFT)
	leaver.SetSuccessor("h0025")
	f.run(2 * time.Second)
	f.down["h0013"] = true
	f.start("h0002", firstIncarnation+1)
	f.run(20 * time.Second)
	for viewer := range f.hosts {
		v, _ := f.table(viewer).Member(f.now, "h0013")
		if viewer != 13 && (v.State != StateLeft || v.Successor != "h0025") {
			t.Fatalf("h%04d: %v, successor %q", viewer, v.State, v.Successor)
		}
	}
}

func TestZonesAddUp(t *testing.T) {
	f := newFleet(12, 70)
	for i := range f.hosts {
		dress(f.table(i), f.now)
	}
	f.table(30).SetDocuments([]*messenger.DocumentVersion{{Name: "inventory", Version: 9}})
	f.run(20 * time.Second)
	for viewer := range f.hosts {
		for _, z := range f.table(viewer).Zones(f.now) {
			slots := z.Loads[0].Slots
			if z.State != StateLive || z.Heard != z.Hosts || slots != 9*uint32(z.Hosts) {
				t.Fatalf("h%04d: zone %+v with %d slots", viewer, z, slots)
			}
		}
	}
	if version, holders := f.table(30).Highest(f.now, "inventory"); version != 8 || len(holders) == 0 {
		t.Fatalf("peers hold version %d at %v", version, holders)
	}
	if version, _ := f.table(42).Highest(f.now, "inventory"); version != 9 {
		t.Fatalf("highest version heard of is %d", version)
	}
}

// dress gives a table what an ordinary host reports.
func dress(t *Table, now timer.Instant) {
	t.SetContact(now)
	t.SetDocuments([]*messenger.DocumentVersion{
		{Name: "inventory", Version: 8}, {Name: "keys", Version: 1234}, {Name: "drains", Version: 7},
	})
	t.SetLoads([]*messenger.Load{
		{Service: "rate-desk", Slots: 9, Busy: 7, Queued: 2, Ready: 9},
		{Service: "reel-archive", Slots: 180, Busy: 120, Queued: 31, Ready: 180},
	})
}

func TestCutHostHearsNobody(t *testing.T) {
	f := newFleet(6, 7)
	f.run(5 * time.Second)
	f.cut["h0002"] = true
	f.run(10 * time.Second)
	for _, r := range f.table(2).Reachable(f.now).Regions {
		if own := r.Name == "region00"; own != (r.Heard > 0) {
			t.Fatalf("cut host hears %+v", r)
		}
	}
	for _, z := range f.table(0).Reachable(f.now).Zones {
		if cut := z.Name == "az02"; cut != (z.State == StateDead) {
			t.Fatalf("connected host takes zone %s for %v", z.Name, z.State)
		}
	}
}

// BenchmarkTraffic reports the bytes of digests that a host sends and receives in a second.
func BenchmarkTraffic(b *testing.B) {
	for _, size := range []struct{ zones, hosts int }{{6, 7}, {12, 70}, {24, 400}, {92, 1600}} {
		b.Run(fmt.Sprintf("hosts=%d", size.hosts), func(b *testing.B) {
			for b.Loop() {
				measure(b, size.zones, size.hosts)
			}
		})
	}
}

func measure(b *testing.B, zones, hosts int) {
	const seconds = 20
	f := newFleet(zones, hosts)
	for i := range f.hosts {
		dress(f.table(i), f.now)
	}
	f.run(15 * time.Second)
	f.sizes = make(map[*messenger.Digest]int)
	f.run(seconds * time.Second)
	var total, most int
	for _, info := range f.hosts {
		sum := f.in[info.Name] + f.out[info.Name]
		total += sum
		most = max(most, sum)
	}
	b.ReportMetric(float64(total)/float64(len(f.hosts)*seconds), "mean-B/s")
	b.ReportMetric(float64(most)/seconds, "most-B/s")
}

func TestPausedHostBlamesNobody(t *testing.T) {
	for _, size := range []struct{ zones, hosts int }{{6, 7}, {12, 70}} {
		f := newFleet(size.zones, size.hosts)
		f.run(30 * time.Second)
		f.down["h0003"] = true
		f.run(time.Minute)
		f.down["h0003"] = false
		for range 30 {
			f.run(time.Second)
			for _, v := range f.table(3).Members(f.now) {
				if v.State == StateDead {
					t.Fatalf("%s is taken for dead: %s", v.Host.Name, v.Reason)
				}
			}
		}
		f.wantAgreement(t)
	}
}

func TestFleetGrowsPastTheMesh(t *testing.T) {
	f := newFleet(6, MeshHosts+1)
	all := f.hosts
	f.hosts = all[:MeshHosts]
	for _, info := range f.hosts {
		f.tables[info.Name].Configure(f.now, f.hosts)
	}
	f.run(10 * time.Second)
	f.wantAgreement(t)
	f.hosts = all
	f.start(all[MeshHosts].Name, firstIncarnation+1)
	for i := range MeshHosts {
		f.table(i).Configure(f.now, all)
		f.run(time.Second)
	}
	f.run(20 * time.Second)
	f.wantAgreement(t)
}

func TestLossOfMostOfAZoneIsKnown(t *testing.T) {
	f := newFleet(3, 36)
	f.run(20 * time.Second)
	for i := 1; i < 28; i += 3 {
		f.down[f.hosts[i].Name] = true
	}
	f.run(30 * time.Second)
	f.wantAgreement(t)
}

func TestNewHostKnowsTheFleetSoon(t *testing.T) {
	f := newFleet(12, 200)
	f.run(20 * time.Second)
	f.start("h0007", firstIncarnation+1)
	f.run(5 * time.Second)
	f.wantAgreement(t)
}
