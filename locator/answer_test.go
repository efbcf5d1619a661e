package locator

import (
	"fmt"
	"net/netip"
	"net/url"
	"os"
	"reflect"
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

func BenchmarkAnswer(b *testing.B) {
	table := New(karoo(b))
	q := saleroom("10.20.105.9")
	b.ReportAllocs()
	for range b.N {
		if _, err := table.Answer(q, states{}); err != nil {
			b.Fatal(err)
		}
	}
}
