package drainer

import (
	"os"
	"testing"
	"time"

	"github.com/pkg/errors"
	"pgregory.net/rapid"

	"github.com/fescuethread/fescuethread/registrar"
	"github.com/fescuethread/fescuethread/timer"
)

func demo(t *testing.T) *registrar.Inventory {
	t.Helper()
	data, err := os.ReadFile("../examples/demo.toml")
	if err != nil {
		t.Fatal(err)
	}
	inv, err := registrar.Parse("demo.toml", data)
	if err != nil {
		t.Fatal(err)
	}
	return inv
}

func TestPlanCoversWhatLiesWithin(t *testing.T) {
	inv := demo(t)
	host := inv.Hosts()[0]
	zone, _ := inv.Zone(host.Zone)
	for _, d := range []Drain{
		{ScopeHost, host.Name}, {ScopeZone, zone.Name}, {ScopeRegion, zone.Region},
	} {
		p := Plan{}.With(d)
		if !p.Host(inv, host) {
			t.Errorf("%v does not cover host %s", d, host.Name)
		}
		if p.Without(d).Host(inv, host) {
			t.Errorf("cancelled %v still covers host %s", d, host.Name)
		}
	}
}

func TestPlanRefusesTheLastAndTheUnknown(t *testing.T) {
	inv := demo(t)
	tests := []struct {
		kind   Kind
		drains []Drain
	}{
		{KindUnknown, []Drain{{ScopeHost, "nobody"}}},
		{KindUnknown, []Drain{{ScopeTarget, "nobody"}}},
		{KindLast, allRegions(inv)},
	}
	for _, tt := range tests {
		p := Plan{}
		for _, d := range tt.drains {
			p = p.With(d)
		}
		var e *Error
		if err := p.Check(inv); !errors.As(err, &e) || e.Kind != tt.kind {
			t.Errorf("%v: got %v", tt.drains, err)
		}
	}
	if err := (Plan{}).With(Drain{ScopeHost, inv.Hosts()[0].Name}).Check(inv); err != nil {
		t.Error(err)
	}
}

func allRegions(inv *registrar.Inventory) []Drain {
	var drains []Drain
	for _, r := range inv.Regions() {
		drains = append(drains, Drain{ScopeRegion, r.Name})
	}
	return drains
}

func TestPlanRoundTrips(t *testing.T) {
	p := Plan{}.With(Drain{ScopeZone, "a"}).With(Drain{ScopeZone, "a"})
	data, err := p.Encode()
	if err != nil {
		t.Fatal(err)
	}
	q, err := Parse(data)
	if err != nil || len(q.Drains()) != 1 {
		t.Fatalf("got %v, %v", q, err)
	}
	if _, err := Parse([]byte(`{"drains":[{"scope":"planet","name":"x"}]}`)); err == nil {
		t.Fatal("accepted an unknown scope")
	}
}

// A stop never leaves requests in flight before its limit, and never ends before every look-up
// answer that names the host has run out.
func TestStopOrder(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		limits := Limits{Answers: 7 * time.Second, Finish: 30 * time.Second}
		s := NewStop(limits)
		now := timer.Instant(0)
		var began timer.Instant
		inFlight := 0
		steps := map[string]func(*rapid.T){
			"pass": func(t *rapid.T) {
				now = now.Add(time.Duration(rapid.IntRange(1, 5000).Draw(t, "ms")) * time.Millisecond)
				inFlight = rapid.IntRange(0, 2).Draw(t, "in flight")
				before := s.Phase()
				s = s.WithProgress(now, inFlight)
				if s.Phase() < before {
					t.Fatal("went back")
				}
			},
			"begin": func(*rapid.T) {
				if s.Phase() == PhaseServing {
					began = now
				}
				s = s.WithBegin(now)
			},
			"cancel": func(*rapid.T) { s = s.WithCancel() },
			"handed": func(*rapid.T) { s = s.WithHandedOver(now) },
			"": func(t *rapid.T) {
				if s.Phase() < PhaseHanding {
					return
				}
				if now.Sub(began) < limits.Answers {
					t.Fatal("handed over before look-up answers had run out")
				}
				if s.Cut() > 0 && now.Sub(began) < limits.Answers+limits.Finish {
					t.Fatal("cut requests before the limit")
				}
			},
		}
		t.Repeat(steps)
	})
}
