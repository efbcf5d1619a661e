package selector

import (
	"fmt"
	"math"
	"testing"
	"time"

	"pgregory.net/rapid"

	"github.com/fescuethread/fescuethread/planner"
	"github.com/fescuethread/fescuethread/timer"
)

// newPlaced returns a selector whose objects have fixed places.
func newPlaced(host, zone string, targets []Target) *Selector {
	s := New(Config{
		Host: host, Zone: zone, Regions: regions,
		ColdExcess: 1.5, ColdSlack: 5, MaxShiftFraction: 0.15, Placement: ModeAlways,
	})
	s.SetServices([]planner.Service{{Name: "sale", ColdPeriod: 3 * time.Second, ColdRate: 7.9}})
	s.SetTargets(start, targets)
	return s
}

// place returns the target of an object without leaving the request in flight.
func place(s *Selector, now timer.Instant, object string) Choice {
	q := query(object)
	c := s.Choose(now, q)
	if c.Chosen() {
		s.End(now, &c, q, Result{Outcome: OutcomeCancelled})
	}
	return c
}

// TestPlacementNeedsItsSwitch guards against deployments that are served differently though neither
// their settings nor their targets ask for it.
func TestPlacementNeedsItsSwitch(t *testing.T) {
	for name, test := range map[string]struct {
		mode     Mode
		pressure bool
		slowdown float64
		want     bool
	}{
		"nothing asks for it":  {ModeAuto, false, 0, false},
		"empty mode":           {"", false, 0, false},
		"pressure":             {ModeAuto, true, 0, true},
		"shared machines":      {ModeAuto, false, 1, true},
		"always":               {ModeAlways, false, 0, true},
		"never, with pressure": {ModeNever, true, 2, false},
	} {
		s := New(Config{Zone: "a1", Regions: regions, Placement: test.mode, Pressure: test.pressure})
		s.SetTargets(start, targetsOf(1, "a1"))
		q := query("x")
		c := s.Choose(start, q)
		s.End(start, &c, q, Result{
			Outcome: OutcomeAnswered, Report: &Load{Running: 1, Slots: 4, Slowdown: test.slowdown},
		})
		if s.placed() != test.want {
			t.Errorf("%s: placed is %v", name, s.placed())
		}
		if views := s.TakeViews(10); (len(views) > 0) != test.want {
			t.Errorf("%s: %d views", name, len(views))
		}
	}
}

// TestDoubtMovesOnlyTheTargetsObjects guards against a doubted target that changes the targets of
// other objects, and against objects that don't return to it.
func TestDoubtMovesOnlyTheTargetsObjects(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		s := newPlaced("h", "a1", targetsOf(10, "a1", "a2", "b1", "b2"))
		before := map[string]string{}
		for i := range 60 {
			object := fmt.Sprint(i)
			before[object] = place(s, start, object).Target.ID
		}
		doubted := rapid.SampledFrom([]string{"a1-0", "a1-5", "a2-3", "a2-9"}).Draw(t, "target")
		s.targets[doubted].ejectedUntil = start.Add(time.Second)
		for object, id := range before {
			if got := place(s, start, object).Target.ID; id != doubted && got != id {
				t.Fatalf("an object moved from %s to %s while %s is doubted", id, got, doubted)
			}
		}
		for object, id := range before {
			if got := place(s, start.Add(2*time.Second), object).Target.ID; got != id {
				t.Fatalf("an object is at %s after the doubt, want %s", got, id)
			}
		}
	})
}

// TestPlannedLeavingMovesAnObjectOnce guards against objects that move when their target starts to
// drain and again when its entry is removed.
func TestPlannedLeavingMovesAnObjectOnce(t *testing.T) {
	list := targetsOf(10, "a1", "a2")
	s := newPlaced("h", "a1", list)
	draining := append([]Target(nil), list...)
	draining[3].Draining = true
	s.SetTargets(start, draining)
	after := map[string]string{}
	for i := range 200 {
		object := fmt.Sprint(i)
		after[object] = place(s, start, object).Target.ID
	}
	s.SetTargets(start, append(append([]Target(nil), list[:3]...), list[4:]...))
	for object, id := range after {
		if got := place(s, start, object).Target.ID; got != id || id == draining[3].ID {
			t.Fatalf("an object of a target that leaves moved to %s, then to %s", id, got)
		}
	}
}

// TestHostsOfARegionAgree guards against an object that is in the caches of several targets because
// hosts differ in what they know of a target's speed.
func TestHostsOfARegionAgree(t *testing.T) {
	list := targetsOf(10, "a1", "a2", "b1", "b2")
	one, other := newPlaced("h", "a1", list), newPlaced("g", "a2", list)
	for _, s := range []*Selector{one, other} {
		// More than region a can take, so that some goes to region b.
		s.SetDemand("h", Demand{
			Zone: "a1", UpdatedAt: start, Concurrency: map[string]float64{"sale": 90},
		})
	}
	for i, id := range []string{"a1-0", "a1-4", "a2-2", "a2-7"} {
		one.targets[id].latencyRatio = float64(2 + i)
	}
	one.Tick(start.Add(time.Second))
	other.Tick(start.Add(time.Second))
	for i := range 300 {
		object := fmt.Sprint(i)
		a, b := place(one, start.Add(time.Second), object), place(other, start.Add(time.Second), object)
		if a.Target.ID != b.Target.ID {
			t.Fatalf("object %s is at %s and at %s", object, a.Target.ID, b.Target.ID)
		}
	}
}

// TestReliefTakesAPartOfTheObjects guards against a loaded target that gives all its objects away,
// or different ones on each host: both fill two caches with the same objects.
func TestReliefTakesAPartOfTheObjects(t *testing.T) {
	list := targetsOf(8, "a1")
	hosts := []*Selector{newPlaced("h", "a1", list), newPlaced("g", "a1", list)}
	moved, stayed := 0, 0
	for i := range 400 {
		object := fmt.Sprint(i)
		if place(hosts[0], start, object).Target.ID != "a1-0" {
			continue
		}
		var at [2]string
		for n, s := range hosts {
			s.targets["a1-0"].level = level{value: 5.4, at: start}
			at[n] = place(s, start, object).Target.ID
			s.targets["a1-0"].level = level{}
		}
		if at[0] != at[1] {
			t.Fatalf("hosts serve an object of a loaded target at %s and %s", at[0], at[1])
		}
		if at[0] == "a1-0" {
			stayed++
		} else {
			moved++
		}
	}
	// A utilization of 1.35 gives 0.35 of the objects away.
	if part := float64(moved) / float64(moved+stayed); math.Abs(part-0.35) > 0.15 {
		t.Fatalf("%d of %d objects of a loaded target moved", moved, moved+stayed)
	}
}

// TestOverloadDoesNotSpread answers the load of every object at twice the room for ten seconds: an
// object is never served by a target that is none of its places, since that takes several times as
// long there and evicts objects from its cache.
func TestOverloadDoesNotSpread(t *testing.T) {
	s := newPlaced("h", "a1", targetsOf(10, "a1", "a2"))
	type running struct {
		c   Choice
		q   Query
		end timer.Instant
	}
	const work = 200 * time.Millisecond
	inFlight := []running{}
	places := map[string]map[string]bool{}
	refused := 0
	step := 0
	for now := start; now < start.Add(10*time.Second); now = now.Add(5 * time.Millisecond) {
		kept := inFlight[:0]
		for _, r := range inFlight {
			if r.end > now {
				kept = append(kept, r)
				continue
			}
			s.End(now, &r.c, r.q, Result{
				Outcome: OutcomeAnswered, Latency: work,
				Report: &Load{Running: r.c.target.inFlight, Slots: 4},
			})
		}
		inFlight = kept
		for range 4 { // 800 a second, for 20 targets that can run 400 a second
			step++
			object := fmt.Sprint("object", step%97)
			q := query(object)
			c := s.Choose(now, q)
			if !c.Chosen() {
				refused++
				continue
			}
			if places[object] == nil {
				places[object] = map[string]bool{}
			}
			places[object][c.Target.ID] = true
			wait := time.Duration(float64(work) * max(c.Load-4, 0) / 4)
			inFlight = append(inFlight, running{c, q, now.Add(work + wait)})
		}
		s.Tick(now)
	}
	for object, targets := range places {
		if len(targets) > placesPerObject {
			t.Errorf("%s was served by %d targets", object, len(targets))
		}
	}
	if refused == 0 {
		t.Error("nothing was refused at twice the room")
	}
}

// TestProbeUsesTheTargetsOwnObjects guards against probes that are cache misses: a failing target
// is probed by its own objects.
func TestProbeUsesTheTargetsOwnObjects(t *testing.T) {
	s := newPlaced("h", "a1", targetsOf(8, "a1"))
	own := map[string]bool{}
	for i := range 200 {
		object := fmt.Sprint(i)
		own[object] = place(s, start, object).Target.ID == "a1-0"
	}
	s.targets["a1-0"].failureRate = 0.9
	probes := 0
	for i := range 200 {
		object := fmt.Sprint(i)
		q := query(object)
		q.Priority = 2
		now := start.Add(time.Duration(1+i) * probeInterval)
		c := s.Choose(now, q)
		if c.Target.ID == "a1-0" {
			probes++
			if !own[object] {
				t.Fatalf("object %s of another target was used as a probe", object)
			}
		}
		s.End(now, &c, q, Result{Outcome: OutcomeCancelled})
	}
	if probes == 0 {
		t.Fatal("the failing target was never probed")
	}
}

// TestMovesAreCounted guards against moves that are counted for another reason than their cause.
func TestMovesAreCounted(t *testing.T) {
	list := targetsOf(6, "a1")
	s := newPlaced("h", "a1", list)
	for i := range 100 {
		place(s, start, fmt.Sprint(i))
		place(s, start, fmt.Sprint(i))
	}
	if fresh, same := s.MoveCount(MoveNew), s.MoveCount(MoveNone); fresh != 100 || same != 100 {
		t.Fatalf("100 objects that were asked for twice: %d new, %d at the same target", fresh, same)
	}
	now := start.Add(time.Second)
	joined := append(append([]Target(nil), list[1:]...), Target{
		ID: "a1-9", Service: "sale", Zone: "a1", Slots: 4, Address: "10.0.0.9:80", StartMillis: 1,
	})
	s.SetTargets(now, joined)
	s.targets["a1-1"].ejectedUntil = now.Add(time.Minute)
	for i := range 100 {
		place(s, now, fmt.Sprint(i))
	}
	for _, m := range []Move{MoveLeft, MoveJoined, MoveDoubted} {
		if s.MoveCount(m) == 0 {
			t.Errorf("a target left, one joined and one is doubted: no move is %q", m)
		}
	}
	for _, m := range []Move{MoveShares, MoveLoad} {
		if n := s.MoveCount(m); n != 0 {
			t.Errorf("%d moves are %q", n, m)
		}
	}
}

// TestPoorRegionGivesWorkAwayEarly answers demand that is even over regions whose targets are not:
// while other regions have room, the targets of a poor region aren't filled to the brim.
func TestPoorRegionGivesWorkAwayEarly(t *testing.T) {
	list := append(targetsOf(2, "a1"), targetsOf(18, "b1")...)
	s := newPlaced("h", "a1", list)
	// 8 slots in region a and 72 in region b, 8 requests of each region in flight.
	for _, zone := range []string{"a1", "b1"} {
		s.SetDemand(zone, Demand{
			Zone: zone, UpdatedAt: start, Concurrency: map[string]float64{"sale": 8},
		})
	}
	desired, measured := s.desiredShares(start, "sale", s.services["sale"])
	// The region's share of its 8 requests is also the utilization of its 8 slots.
	if !measured || desired["a1"] > 0.5 {
		t.Errorf("the poor region's targets are to be used to %.2f, want at most 0.5", desired["a1"])
	}
}

// TestColdRegionKeepsItsRequests guards against a shift of requests to another region because all
// targets of their own are at their cold limit.
func TestColdRegionKeepsItsRequests(t *testing.T) {
	s := newPlaced("h", "a1", targetsOf(2, "a1", "b1"))
	for _, target := range s.targets {
		if target.Zone == "a1" {
			target.coldUntil = start.Add(time.Minute)
		}
	}
	s.services["sale"].shares = map[string]float64{"a1": 1}
	refused := 0
	for i := range 200 {
		c := place(s, start, fmt.Sprint(i))
		if c.Chosen() && c.Target.Zone != "a1" {
			t.Fatalf("request %d went to %s", i, c.Target.Zone)
		}
		if !c.Chosen() {
			refused++
		}
	}
	if refused == 0 {
		t.Error("cold targets took 200 requests at once")
	}
}

// TestFullPlacesDontSpill guards against requests that go to any target while a region has room:
// each is a cache miss that evicts an object elsewhere, until all targets are full of misses.
func TestFullPlacesDontSpill(t *testing.T) {
	s := newPlaced("h", "a1", targetsOf(20, "a1"))
	first := place(s, start, "x").Target.ID
	s.targets[first].ejectedUntil = start.Add(time.Hour)
	second := place(s, start, "x").Target.ID
	s.targets[first].ejectedUntil = 0
	for _, id := range []string{first, second} {
		s.targets[id].level = level{value: 11, at: start}
	}
	if c := place(s, start, "x"); c.Chosen() {
		t.Errorf("an object whose targets are full is served by %s by rule %q", c.Target.ID, c.Rule)
	}
}

// TestFarResponsesDontLengthenTheQueue guards against waits that are estimated from the way to
// another region or from a wait itself: both make a short queue look too long.
func TestFarResponsesDontLengthenTheQueue(t *testing.T) {
	s := newPlaced("h", "a1", targetsOf(1, "a1", "b1"))
	svc := s.services["sale"]
	end := func(id string, queued bool, latency time.Duration) {
		c := Choice{Reason: ReasonChosen, target: s.targets[id], queued: queued}
		c.target.inFlight++
		s.End(start, &c, query("x"), Result{Outcome: OutcomeAnswered, Latency: latency})
	}
	end("a1-0", false, 100*time.Millisecond)
	end("b1-0", false, 300*time.Millisecond)
	end("a1-0", true, 900*time.Millisecond)
	if svc.meter.latency != 100*time.Millisecond {
		t.Errorf("a slot is taken for %s, want 100ms", svc.meter.latency)
	}
}
