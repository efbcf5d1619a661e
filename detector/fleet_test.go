package detector

import (
	"fmt"
	"testing"
	"time"

	"google.golang.org/protobuf/proto"

	"github.com/fescuethread/fescuethread/messenger"
	"github.com/fescuethread/fescuethread/timer"
)

const (
	step   = 100 * time.Millisecond
	origin = timer.Instant(time.Hour)
	// firstIncarnation is as long on the wire as a start in nanoseconds.
	firstIncarnation = 1 << 60
)

// parcel is a digest on its way.
type parcel struct {
	from, to string
	due      timer.Instant
	digest   *messenger.Digest
}

// fleet runs tables over a network in memory.
type fleet struct {
	now    timer.Instant
	hosts  []HostInfo
	tables map[string]*Table
	index  map[string]int
	down   map[string]bool
	cut    map[string]bool
	queue  []parcel
	// fate returns the delays after which copies of a digest arrive.
	fate  func() []time.Duration
	out   map[string]int
	in    map[string]int
	sizes map[*messenger.Digest]int
}

func newFleet(zones, hosts int) *fleet {
	f := &fleet{
		now:    origin,
		tables: make(map[string]*Table),
		index:  make(map[string]int),
		down:   make(map[string]bool),
		cut:    make(map[string]bool),
		fate:   func() []time.Duration { return []time.Duration{step} },
		out:    make(map[string]int),
		in:     make(map[string]int),
	}
	for i := range hosts {
		zone := i % zones
		f.hosts = append(f.hosts, HostInfo{
			Name:   fmt.Sprintf("h%04d", i),
			Zone:   fmt.Sprintf("az%02d", zone),
			Region: fmt.Sprintf("region%02d", zone/3),
		})
		f.index[f.hosts[i].Name] = i
	}
	for _, info := range f.hosts {
		f.start(info.Name, firstIncarnation)
	}
	return f
}

func (f *fleet) start(name string, incarnation uint64) {
	info := f.hosts[f.index[name]]
	t, err := NewTable(Config{
		Host: name, Zone: info.Zone, Region: info.Region, Incarnation: incarnation, Start: f.now,
	})
	if err != nil {
		panic(err)
	}
	t.Configure(f.now, f.hosts)
	f.tables[name] = t
}

// run lets d pass; each host ticks once a second in a phase of its own.
func (f *fleet) run(d time.Duration) {
	for end := f.now.Add(d); f.now.Before(end); {
		f.now = f.now.Add(step)
		f.deliver()
		for i, info := range f.hosts {
			if int64(f.now/timer.Instant(step))%10 == int64(i%10) && !f.down[info.Name] {
				f.post(info.Name, f.tables[info.Name].Tick(f.now))
			}
		}
	}
}

func (f *fleet) post(from string, messages []Message) {
	for _, m := range messages {
		f.count(from, m)
		for _, delay := range f.fate() {
			f.queue = append(f.queue, parcel{from, m.To, f.now.Add(delay), m.Digest})
		}
	}
}

func (f *fleet) count(from string, m Message) {
	if f.sizes == nil {
		return
	}
	if f.sizes[m.Digest] == 0 {
		f.sizes[m.Digest] = proto.Size(m.Digest)
	}
	f.out[from] += f.sizes[m.Digest]
	f.in[m.To] += f.sizes[m.Digest]
}

func (f *fleet) deliver() {
	var later []parcel
	for _, p := range f.queue {
		switch {
		case f.now.Before(p.due):
			later = append(later, p)
		case f.down[p.to] || f.cut[p.from] != f.cut[p.to]:
		default:
			f.tables[p.to].Receive(f.now, p.from, p.digest)
		}
	}
	f.queue = later
}

// disagreements lists the live hosts' views that differ from the truth.
func (f *fleet) disagreements() []string {
	var out []string
	for _, a := range f.hosts {
		if f.down[a.Name] {
			continue
		}
		for _, b := range f.hosts {
			want := StateLive
			if f.down[b.Name] {
				want = StateDead
			}
			if got := f.tables[a.Name].State(f.now, b.Name); got != want {
				out = append(out, fmt.Sprintf("%s takes %s for %v", a.Name, b.Name, got))
			}
		}
	}
	return out
}

func (f *fleet) wantAgreement(t testing.TB) {
	t.Helper()
	if wrong := f.disagreements(); len(wrong) > 0 {
		t.Fatalf("%d wrong views, first: %s", len(wrong), wrong[0])
	}
}

func (f *fleet) table(i int) *Table {
	return f.tables[f.hosts[i].Name]
}

func (f *fleet) state(viewer, host int) State {
	return f.table(viewer).State(f.now, f.hosts[host].Name)
}

func TestFleetsAgree(t *testing.T) {
	for _, size := range []struct{ zones, hosts int }{{6, 7}, {12, 70}, {24, 96}} {
		f := newFleet(size.zones, size.hosts)
		f.run(40 * time.Second)
		f.wantAgreement(t)
		f.down[f.hosts[1].Name] = true
		f.run(30 * time.Second)
		f.wantAgreement(t)
		f.down[f.hosts[1].Name] = false
		f.run(30 * time.Second)
		f.wantAgreement(t)
	}
}

func TestSilenceIsSuspectedThenDead(t *testing.T) {
	f := newFleet(2, 4)
	f.run(5 * time.Second)
	f.down["h0001"] = true
	f.run(SuspectAfter + Period)
	if got := f.state(0, 1); got != StateSuspect {
		t.Fatalf("after %v: %v", SuspectAfter, got)
	}
	f.run(DeadAfter - SuspectAfter)
	if got := f.state(0, 1); got != StateDead {
		t.Fatalf("after %v: %v", DeadAfter, got)
	}
}
