package selector

import (
	"fmt"
	"testing"
	"time"

	"pgregory.net/rapid"
)

// targetsAt returns the target of each of n objects now.
func targetsAt(s *Selector, after time.Duration, n int) map[string]string {
	at := map[string]string{}
	for i := range n {
		object := fmt.Sprint(i)
		at[object] = place(s, start.Add(after), object).Target.ID
	}
	return at
}

// TestEvacuationMovesOnlyTheZonesObjects guards against an evacuation that moves objects of other
// zones, and against objects that don't come back with their zone.
func TestEvacuationMovesOnlyTheZonesObjects(t *testing.T) {
	s := newPlaced("h", "a1", targetsOf(10, "a1", "a2"))
	before := targetsAt(s, 0, 200)
	s.SetEvacuated(start, []string{"a2"})
	during := targetsAt(s, 0, 200)
	s.SetEvacuated(start, nil)
	// The zone's targets count as cold for some seconds.
	after := targetsAt(s, 10*time.Second, 200)
	for object, id := range before {
		zone := s.targets[id].Zone
		if zone == "a1" && during[object] != id {
			t.Errorf("an object of zone a1 moved from %s to %s", id, during[object])
		}
		if s.targets[during[object]].Zone == "a2" {
			t.Errorf("an object is served by %s in the evacuated zone", during[object])
		}
		if after[object] != id {
			t.Errorf("an object is at %s after the evacuation, want %s", after[object], id)
		}
	}
}

// TestJoiningTargetTakesOnlyItsObjects guards against a new target that moves objects between old
// ones, and against objects that go to a third target while the new one is at its cold limit.
func TestJoiningTargetTakesOnlyItsObjects(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		n := rapid.SampledFrom([]int{5, 20, 80}).Draw(t, "targets")
		list := targetsOf(n, "a1", "a2")
		s := newPlaced("h", "a1", list)
		before := targetsAt(s, 0, 100)
		fresh := Target{
			ID: fmt.Sprint("new-", rapid.Uint64().Draw(t, "id")), Service: "sale", Zone: "a1",
			Slots:   rapid.IntRange(1, 16).Draw(t, "slots"),
			Address: "10.0.1.1:80", StartMillis: 1,
		}
		s.SetTargets(start, append(append([]Target(nil), list...), fresh))
		for object, id := range targetsAt(s, 0, 100) {
			if id != before[object] && id != fresh.ID {
				t.Fatalf("an object moved from %s to %s as %s joined", before[object], id, fresh.ID)
			}
		}
	})
}

// TestFlappingTargetMovesNoOthers guards against a target that goes down and up by turns and moves
// objects more often than its ejections: while it is ejected its objects stay at one other target.
func TestFlappingTargetMovesNoOthers(t *testing.T) {
	s := newPlaced("h", "a1", targetsOf(8, "a1", "a2"))
	before := targetsAt(s, 0, 200)
	flapping := s.targets["a1-3"]
	var during map[string]string
	for round := range 5 {
		now := time.Duration(round) * 10 * time.Second
		flapping.ejectedUntil = start.Add(now + 5*time.Second)
		down := targetsAt(s, now, 200)
		for object, id := range down {
			if before[object] != flapping.ID && id != before[object] ||
				during != nil && id != during[object] {
				t.Fatalf("round %d: an object moved from %s to %s", round, before[object], id)
			}
		}
		during = down
		for object, id := range targetsAt(s, now+6*time.Second, 200) {
			if id != before[object] {
				t.Fatalf("round %d: an object is at %s while the target is up", round, id)
			}
		}
	}
}

// TestHotObjectLeavesRoom answers the load of one object at many times what a target can serve: it
// is bounded at its two targets, and the other objects of its first target are served.
func TestHotObjectLeavesRoom(t *testing.T) {
	s := newPlaced("h", "a1", targetsOf(20, "a1"))
	first := place(s, start, "hot").Target.ID
	hot := map[string]int{}
	refused := 0
	for range 200 {
		q := query("hot")
		if c := s.Choose(start, q); c.Chosen() {
			hot[c.Target.ID]++
		} else {
			refused++
		}
	}
	if refused == 0 {
		t.Error("200 requests of one object were taken at once")
	}
	for id, n := range hot {
		if limit := int(maxLoadRatio*4) + 1; n > limit {
			t.Errorf("%s has %d requests of the hot object, want at most %d", id, n, limit)
		}
	}
	s.Tick(start)
	for i := range 400 {
		object := fmt.Sprint(i)
		if c := place(s, start, object); !c.Chosen() {
			t.Fatalf("object %s is refused (%s) because of a hot object at %s", object, c.Reason, first)
		}
	}
}

// BenchmarkChoose is the choice of a target among 893 of a service in three regions.
func BenchmarkChoose(b *testing.B) {
	regions := map[string]string{"a1": "a", "b1": "b", "c1": "c"}
	s := New(Config{Host: "h", Zone: "a1", Regions: regions, Placement: ModeAlways})
	s.SetTargets(start, append(targetsOf(297, "a1", "b1"), targetsOf(299, "c1")...))
	s.Tick(start)
	b.ReportAllocs()
	for i := range b.N {
		q := query(fmt.Sprint(i % 5000))
		c := s.Choose(start, q)
		s.End(start, &c, q, Result{Outcome: OutcomeCancelled})
	}
}
