package locator

import (
	"fmt"
	"net/netip"
	"net/url"
	"os"
	"reflect"
	"runtime"
	"strings"
	"testing"

	"github.com/pkg/errors"
	"pgregory.net/rapid"

	"github.com/fescuethread/fescuethread/registrar"
)

// states is a view that lists what it knows.
type states map[string]State

func (s states) State(host string) State {
	return s[host]
}

func karoo(t testing.TB) *registrar.Inventory {
	t.Helper()
	data, err := os.ReadFile("../examples/karoo.toml")
	if err != nil {
		t.Fatal(err)
	}
	inv, err := registrar.Parse("karoo.toml", data)
	if err != nil {
		t.Fatal(err)
	}
	return inv
}

func mustAnswer(t testing.TB, table *Table, q Query, view View) Answer {
	t.Helper()
	a, err := table.Answer(q, view)
	if err != nil {
		t.Fatal(err)
	}
	return a
}

func saleroom(client string) Query {
	return Query{Service: "saleroom", Client: netip.MustParseAddr(client)}
}

func TestNearestFirst(t *testing.T) {
	table := New(karoo(t))
	a := mustAnswer(t, table, saleroom("10.20.105.9"), nil)
	if a.Basis != BasisBlock || a.Place != "ecape-b" || a.Lifetime != DefaultLifetime {
		t.Errorf("answer %+v", a)
	}
	ranks := []int{0, 1, 1, 2, 2, 2}
	prefixes := []string{"ecape-b", "ecape-a", "ecape-a", "", "", ""}
	if len(a.Choices) != len(ranks) {
		t.Fatalf("choices %+v", a.Choices)
	}
	for i, c := range a.Choices {
		if c.Rank != ranks[i] || !strings.HasPrefix(c.Host, prefixes[i]) {
			t.Errorf("choice %d: %+v", i, c)
		}
	}
	a = mustAnswer(t, table, Query{Service: "saleroom", Place: "wcape"}, nil)
	if a.Basis != BasisPlace || a.Choices[0].Rank != a.Choices[1].Rank {
		t.Errorf("a stated region's hosts aren't equal: %+v", a)
	}
}

func TestUnknownNames(t *testing.T) {
	table := New(karoo(t))
	for _, q := range []Query{{Service: "sale"}, {Service: "saleroom", Place: "cape"}} {
		_, err := table.Answer(q, nil)
		var e *Error
		if !errors.As(err, &e) || e.Kind != KindUnknown {
			t.Errorf("%+v: %v", q, err)
		}
	}
}

func TestSpread(t *testing.T) {
	table := New(karoo(t))
	counts := make(map[string]int)
	const clients = 10_000
	for i := range clients {
		q := saleroom(fmt.Sprintf("172.%d.%d.7", i/256, i%256))
		q.Place = "ecape-a"
		counts[mustAnswer(t, table, q, nil).Choices[0].Host]++
	}
	for _, host := range []string{"ecape-a-1", "ecape-a-2"} {
		if counts[host] < clients*45/100 || counts[host] > clients*55/100 {
			t.Errorf("%s is first for %d of %d clients", host, counts[host], clients)
		}
	}
}

func TestAnswerProperties(t *testing.T) {
	inv := karoo(t)
	table := New(inv)
	rapid.Check(t, func(t *rapid.T) {
		view := states{}
		for _, h := range inv.Hosts() {
			view[h.Name] = State(rapid.IntRange(int(Unknown), int(Dead)).Draw(t, h.Name))
		}
		q := Query{Service: "woolshed", Client: drawAddr(t)}
		if rapid.Bool().Draw(t, "stated") {
			q.Place = rapid.SampledFrom([]string{"ecape", "karoo-b"}).Draw(t, "place")
		}
		a, err := table.Answer(q, view)
		if err != nil {
			t.Fatal(err)
		}
		checkAnswer(t, a, view)
	})
}

func checkAnswer(t *rapid.T, a Answer, view states) {
	counts := make(map[State]int)
	for _, s := range view {
		counts[s]++
	}
	usable := counts[Live] + counts[Unknown]
	if a.Doubted != (usable == 0 && counts[Dead] > 0) {
		t.Fatalf("doubted %v with %v", a.Doubted, counts)
	}
	if len(a.Choices) == 0 && counts[Leaving] != len(view) {
		t.Fatalf("no choice with %v", counts)
	}
	rank := 0
	seen := make(map[string]bool)
	for _, c := range a.Choices {
		if view[c.Host] == Leaving || view[c.Host] == Dead && !a.Doubted {
			t.Fatalf("%s is in the answer in state %d", c.Host, view[c.Host])
		}
		if seen[c.Host] || c.Weight < 1 || c.Rank < rank || c.Rank > rank+1 {
			t.Fatalf("choice %+v after rank %d", c, rank)
		}
		seen[c.Host] = true
		rank = c.Rank
	}
}

func TestNoNewsIsNoShift(t *testing.T) {
	inv := karoo(t)
	table := New(inv)
	live, dead := states{}, states{}
	for _, h := range inv.Hosts() {
		live[h.Name] = Live
		dead[h.Name] = Dead
	}
	for i := range 200 {
		q := saleroom(fmt.Sprintf("10.20.%d.1", i))
		want := mustAnswer(t, table, q, live)
		for _, view := range []View{nil, states{}, dead} {
			a := mustAnswer(t, table, q, view)
			if !reflect.DeepEqual(a.Choices, want.Choices) {
				t.Fatalf("%v: %+v, want %+v", view, a.Choices, want.Choices)
			}
		}
	}
}

func TestLossMovesOnlyItsClients(t *testing.T) {
	table := New(karoo(t))
	for i := range 1000 {
		q := saleroom(fmt.Sprintf("172.16.%d.1", i%256))
		q.Place = "ecape-a"
		before := mustAnswer(t, table, q, nil).Choices[0].Host
		after := mustAnswer(t, table, q, states{"ecape-a-1": Leaving}).Choices[0].Host
		if before != "ecape-a-1" && before != after {
			t.Fatalf("%v moved from %s to %s", q.Client, before, after)
		}
	}
}

func TestLargeFleet(t *testing.T) {
	inv, err := registrar.Parse("fleet.toml", fleet(1600))
	if err != nil {
		t.Fatal(err)
	}
	table := New(inv)
	for i := range 500 {
		q := Query{Service: "s1", Place: "z5", Client: netip.AddrFrom4([4]byte{9, 9, byte(i), byte(i)})}
		a := mustAnswer(t, table, q, nil)
		perZone, perRegion := make(map[string]int), make(map[string]int)
		for _, c := range a.Choices {
			h, _ := inv.Host(c.Host)
			z, _ := inv.Zone(h.Zone)
			perZone[z.Name]++
			perRegion[z.Region]++
			if perZone[z.Name] > maxPerZone || perRegion[z.Region] > maxPerRegion {
				t.Fatalf("%v: %+v", q.Client, a.Choices)
			}
		}
		if len(a.Choices) != maxHosts || perZone["z5"] != maxPerZone || len(perRegion) != 2 {
			t.Fatalf("%v: %+v", q.Client, a.Choices)
		}
		lost := mustAnswer(t, table, q, states{a.Choices[0].Host: Dead})
		if lost.Choices[0].Host != a.Choices[1].Host || lost.Choices[1].Host != a.Choices[2].Host {
			t.Fatalf("%v: %+v after a loss, before %+v", q.Client, lost.Choices, a.Choices)
		}
	}
}

func FuzzParseQuery(f *testing.F) {
	f.Add("service=saleroom&client=10.0.0.1&place=ecape-a")
	f.Add("service=saleroom&client=::ffff:10.0.0.1")
	f.Add("service=saleroom&client=fe80::1%25eth0")
	f.Add("service=a&service=b")
	f.Add("service=&place=")
	f.Fuzz(func(t *testing.T, text string) {
		values, err := url.ParseQuery(text)
		if err != nil {
			return
		}
		q, err := ParseQuery(values)
		if err != nil {
			return
		}
		if !isName(q.Service) || q.Client.Zone() != "" || q.Client.Is4In6() {
			t.Errorf("%q: %+v", text, q)
		}
		for name := range values {
			if name != "service" && name != "client" && name != "place" {
				t.Errorf("%q: parameter %q was accepted", text, name)
			}
		}
	})
}

// fleet writes an inventory of 27 regions and 92 zones with a number of hosts and as many targets.
func fleet(hosts int) []byte {
	const regions, zones = 27, 92
	var b strings.Builder
	for i := range regions {
		fmt.Fprintf(&b, "[[regions]]\nname = \"r%d\"\n", i)
		for j := range i {
			fmt.Fprintf(&b, "[[links]]\nfrom = \"r%d\"\nto = \"r%d\"\nboth = true\n", i, j)
			fmt.Fprintf(&b, "rate = \"4Gbit/s\"\nrtt = \"%dms\"\n", 30+(i*j)%50)
		}
	}
	for i := range zones {
		fmt.Fprintf(&b, "[[zones]]\nname = \"z%d\"\nregion = \"r%d\"\n", i, i%regions)
	}
	for i := range 4 {
		fmt.Fprintf(&b, "[[services]]\nname = \"s%d\"\nslots = 9\nconnections = 40\n", i)
	}
	for i := range hosts {
		ip := fmt.Sprintf("10.1.%d.%d", i/250, i%250+1)
		fmt.Fprintf(&b, "[[hosts]]\nname = \"h%d\"\nzone = \"z%d\"\n", i, i%zones)
		fmt.Fprintf(&b, "address = \"%s:80\"\npeer = \"%s:81\"\nadmin = \"%s:82\"\n", ip, ip, ip)
		fmt.Fprintf(&b, "[[upstreams]]\nname = \"t%d\"\nzone = \"z%d\"\n", i, i%zones)
		fmt.Fprintf(&b, "service = \"s%d\"\naddress = \"%s:90\"\n", i%4, ip)
	}
	return []byte(b.String())
}

func BenchmarkFleet(b *testing.B) {
	for _, hosts := range []int{100, 400, 1600} {
		text := fleet(hosts)
		inv, err := registrar.Parse("fleet.toml", text)
		if err != nil {
			b.Fatal(err)
		}
		b.Run(fmt.Sprintf("parse/%d", hosts), func(b *testing.B) {
			before := heapBytes()
			kept, _ := registrar.Parse("fleet.toml", text)
			used := heapBytes() - before
			runtime.KeepAlive(kept)
			b.ResetTimer()
			for range b.N {
				_, _ = registrar.Parse("fleet.toml", text)
			}
			b.ReportMetric(float64(used)/1e6, "MB")
			b.ReportMetric(float64(len(text)), "document-bytes")
		})
		b.Run(fmt.Sprintf("new/%d", hosts), func(b *testing.B) {
			before := heapBytes()
			kept := New(inv)
			used := heapBytes() - before
			runtime.KeepAlive(kept)
			b.ResetTimer()
			for range b.N {
				New(inv)
			}
			b.ReportMetric(float64(used)/1e6, "MB")
		})
		for _, place := range []string{"z5", "r5", ""} {
			b.Run(fmt.Sprintf("answer/%q/%d", place, hosts), func(b *testing.B) {
				table := New(inv)
				q := Query{Service: "s1", Place: place, Client: netip.MustParseAddr("10.9.9.9")}
				b.ReportAllocs()
				for range b.N {
					if _, err := table.Answer(q, states{}); err != nil {
						b.Fatal(err)
					}
				}
			})
		}
	}
}
