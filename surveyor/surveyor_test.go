package surveyor

import (
	"fmt"
	"slices"
	"strings"
	"testing"
	"time"

	"github.com/fescuethread/fescuethread/detector"
	"github.com/fescuethread/fescuethread/limiter"
	"github.com/fescuethread/fescuethread/messenger"
	"github.com/fescuethread/fescuethread/registrar"
	"github.com/fescuethread/fescuethread/router"
	"github.com/fescuethread/fescuethread/scheduler"
	"github.com/fescuethread/fescuethread/timer"
)

// fleet is the surveyor's surroundings: zones with hosts and four targets each.
type fleet struct {
	inv     *registrar.Inventory
	members []detector.MemberView
	zones   []detector.ZoneView
	slots   *scheduler.Scheduler
	charged []string
	doc     string
	full    string
}

func (f *fleet) Inventory() *registrar.Inventory             { return f.inv }
func (f *fleet) DrainsZone(string) bool                      { return false }
func (f *fleet) Near() []string                              { return []string{"z0"} }
func (f *fleet) Loads(string) []scheduler.Load               { return f.slots.Loads(1) }
func (f *fleet) Members(timer.Instant) []detector.MemberView { return f.members }
func (f *fleet) Zones(timer.Instant) []detector.ZoneView     { return f.zones }

func (f *fleet) Admit(account string, units int64) limiter.Decision {
	f.charged = append(f.charged, fmt.Sprint(account, " ", units))
	return limiter.Decision{Admitted: account != f.full}
}

func newFleet(tb testing.TB, zones, hosts int) (*fleet, *Surveyor) {
	tb.Helper()
	var doc strings.Builder
	doc.WriteString("[[services]]\nname = \"s\"\ntimeout = \"2s\"\nslots = 9\nconnections = 9\nqueue = 64\n")
	for r := range zones / 2 {
		fmt.Fprintf(&doc, "[[regions]]\nname = \"r%d\"\n", r)
	}
	f := &fleet{slots: scheduler.New(scheduler.Config{})}
	for z := range zones {
		fmt.Fprintf(&doc, "[[zones]]\nname = \"z%d\"\nregion = \"r%d\"\n", z, z/2)
		for i := range 4 {
			fmt.Fprintf(&doc, "[[upstreams]]\nname = \"t%d-%d\"\nservice = \"s\"\nzone = \"z%d\"\naddress = \"10.1.%d.%d:80\"\n", z, i, z, z, i+1)
		}
		for i := range hosts / zones {
			n := z*(hosts/zones) + i
			fmt.Fprintf(&doc, "[[hosts]]\nname = \"h%d\"\nzone = \"z%d\"\naddress = \"10.2.%d.%d:1\"\npeer = \"10.2.%d.%d:2\"\nadmin = \"10.2.%d.%d:3\"\n",
				n, z, n/250, n%250+1, n/250, n%250+1, n/250, n%250+1)
			f.members = append(f.members, member(n, z))
		}
	}
	inv, err := registrar.Parse("test.toml", []byte(doc.String()))
	if err != nil {
		tb.Fatal(err)
	}
	f.inv = inv
	f.doc = doc.String()
	var targets []scheduler.Target
	for i := range 4 {
		targets = append(targets, scheduler.Target{Name: fmt.Sprint("t0-", i), Service: "s", Slots: 9})
	}
	if err := f.slots.Configure(0, targets); err != nil {
		tb.Fatal(err)
	}
	f.members = f.members[1:]
	return f, New("h0", "z0", f, f, f, f)
}

func member(n, z int) detector.MemberView {
	return detector.MemberView{
		Host:  detector.HostInfo{Name: fmt.Sprint("h", n), Zone: fmt.Sprint("z", z), Region: fmt.Sprint("r", z/2)},
		State: detector.StateLive, Age: 500 * time.Millisecond,
		Loads: []*messenger.Load{{Service: "s", Slots: 18, Ready: 18, Busy: 9, Took: 20_000}},
	}
}

func TestSurveyShowsTheMatesPart(t *testing.T) {
	_, s := newFleet(t, 6, 12)
	zones := s.Survey(1, router.Query{Service: "s"})
	if len(zones) != 7 || !zones[0].Near || zones[1].Near || zones[1].Name != "z0" || zones[1].Hosts[0] != "h1" {
		t.Fatalf("%+v", zones)
	}
}

func TestSurveyTakesSumsOfZonesThatAreHeardThroughSpeakers(t *testing.T) {
	f, s := newFleet(t, 6, 12)
	for i := range f.members {
		f.members[i].Loads = nil
	}
	f.zones = []detector.ZoneView{{Name: "z3", State: detector.StateLive, Age: time.Second,
		Loads: []*messenger.Load{{Service: "s", Slots: 36, Ready: 30, Busy: 9}}}}
	z := s.Survey(1, router.Query{Service: "s"})[3]
	if z.Load.Ready != 30 || z.Load.Age != time.Second || len(z.Hosts) != 2 {
		t.Fatalf("%+v", z)
	}
}

func TestZoneOfJoiningHostsHasNoReport(t *testing.T) {
	f, s := newFleet(t, 6, 12)
	f.zones = []detector.ZoneView{{Name: "z3", State: detector.StateLive, Loads: f.members[5].Loads}}
	f.members[5].State = detector.StateJoining // h6 in z3
	f.members[6].State = detector.StateJoining // h7 in z3
	z := s.Survey(1, router.Query{Service: "s"})[4]
	if z.Name != "z3" || z.Load.Known || len(z.Hosts) != 2 {
		t.Fatalf("%+v", z)
	}
}

func TestSendersAreHostsThatAreShort(t *testing.T) {
	f, s := newFleet(t, 6, 12)
	f.members[5].Loads = []*messenger.Load{{Service: "s", Slots: 18, Ready: 18, Busy: 18}} // h6 in z3
	f.members[8].Loads = nil                                                               // h9 in z4
	f.members[10].State = detector.StateDead
	zones := s.Survey(1, router.Query{Service: "s"})
	for _, z := range zones {
		want := 3
		if z.Name == "z3" || z.Name == "z4" {
			want = 2
		}
		if z.Senders != want || z.Shift != (z.Region != "r0") {
			t.Errorf("%s: %d senders, shift %t", z.Name, z.Senders, z.Shift)
		}
	}
}

func TestKeptSurveyAgesAndCounts(t *testing.T) {
	f, s := newFleet(t, 6, 12)
	q := router.Query{Service: "s"}
	now := timer.Instant(time.Minute)
	before := s.Survey(now, q)[2]
	choice := router.Choice{Zone: "z1", Region: "r0", Host: "h2"}
	s.Begin(now, "s", choice)
	f.slots.Enqueue(1, scheduler.Work{Service: "s", Idempotent: true})
	now = now.Add(surveyPeriod / 2)
	zones := s.Survey(now, q)
	if zones[0].Load.Busy != 1 || zones[2].InFlight != 1 || zones[2].Load.Age != before.Load.Age+surveyPeriod/2 {
		t.Fatalf("%+v", zones)
	}
	s.End(now, "s", choice, router.FeedbackRefused)
	if after := s.Survey(now, q)[2]; after.InFlight != 0 || !after.Refused {
		t.Fatalf("%+v", after)
	}
	f.members = nil
	if gone := s.Survey(now.Add(surveyPeriod), q)[1]; gone.Load.Known || len(gone.Hosts) != 0 {
		t.Fatalf("%+v", gone)
	}
}

func benchmarkSurvey(b *testing.B, zones, hosts int, step time.Duration, route bool) {
	_, s := newFleet(b, zones, hosts)
	q := router.Query{Service: "s"}
	now := timer.Instant(time.Minute)
	b.ReportAllocs()
	for b.Loop() {
		now = now.Add(step)
		if route {
			s.Route(now, q)
			continue
		}
		s.Survey(now, q)
	}
}

func BenchmarkSurvey(b *testing.B) {
	for _, size := range []struct{ zones, hosts int }{{6, 6}, {92, 1564}} {
		name := fmt.Sprintf("%d zones, %d hosts", size.zones, size.hosts)
		b.Run(name+"/gathered", func(b *testing.B) { benchmarkSurvey(b, size.zones, size.hosts, surveyPeriod, false) })
		b.Run(name+"/kept", func(b *testing.B) { benchmarkSurvey(b, size.zones, size.hosts, 0, false) })
		b.Run(name+"/route", func(b *testing.B) { benchmarkSurvey(b, size.zones, size.hosts, 0, true) })
	}
}

// Every request that is passed to another region is charged to the caps on shifts and, with its
// bytes, to the link; so is every answer. Nothing is passed when one of them is used up.
func TestShiftsAreChargedToCapsAndLinks(t *testing.T) {
	f, s := newFleet(t, 4, 4)
	inv, err := registrar.Parse("test.toml", []byte(f.doc+`
[[links]]
from = "r0"
to = "r1"
rate = "4Gbit/s"
rtt = "35ms"
both = true
[[rules]]
kind = "cap"
service = "s"
from = "r0"
to = "r1"
rate = 5
`))
	if err != nil {
		t.Fatal(err)
	}
	f.inv = inv
	shift := router.Choice{Zone: "z2", Region: "r1"}
	near := router.Choice{Zone: "z1", Region: "r0"}
	ok := s.Begin(1, "s", shift) && s.Send("z2", 10) && s.Begin(1, "s", near) && s.Send("z1", 10)
	if !ok || s.Reply(t.Context(), "z2", 20) != nil || s.Reply(t.Context(), "z1", 20) != nil {
		t.Fatal("refused")
	}
	if s.Reply(t.Context(), "z2", replyPiece+1) != nil {
		t.Fatal("a large answer was refused")
	}
	want := []string{
		"cap/s/r0/r1 1", "link/r0/r1 10", "link/r0/r1 20",
		fmt.Sprint("link/r0/r1 ", replyPiece), "link/r0/r1 1",
	}
	if !slices.Equal(f.charged, want) {
		t.Errorf("charged %q, want %q", f.charged, want)
	}
	f.full = "cap/s/r0/r1"
	if s.Begin(1, "s", shift) {
		t.Error("a shift above its cap was begun")
	}
	f.full = "link/r0/r1"
	if s.Send("z2", 1) {
		t.Error("a full link was used")
	}
}
