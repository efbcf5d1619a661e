package router

import (
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"pgregory.net/rapid"

	"github.com/fescuethread/fescuethread/arbiter"
	"github.com/fescuethread/fescuethread/timer"
)

func drawZone(t *rapid.T, i int) Zone {
	z := Zone{
		Name:     zoneName(i),
		Region:   regionName(i),
		Near:     i == 0,
		RTT:      time.Duration(rapid.IntRange(1, 60).Draw(t, "rtt")) * time.Millisecond,
		Draining: rapid.Bool().Draw(t, "draining"),
		Unlinked: i > 1 && rapid.Bool().Draw(t, "unlinked"),
		Weight:   rapid.IntRange(0, 9).Draw(t, "weight"),
		Rank:     rapid.IntRange(0, 2).Draw(t, "rank"),
		InFlight: rapid.IntRange(0, 9).Draw(t, "in flight"),
		Held:     rapid.IntRange(0, 9).Draw(t, "held"),
		Refused:  rapid.Bool().Draw(t, "refused"),
		Shift:    i > 1,
		Senders:  rapid.IntRange(1, 9).Draw(t, "senders"),
		Load:     drawLoad(t),
	}
	if rapid.Bool().Draw(t, "live") {
		z.Hosts = []string{z.Name + "-1", z.Name + "-2"}
	}
	return z
}

func drawLoad(t *rapid.T) Load {
	ready := rapid.SampledFrom([]int{0, 0, 3, 9, 40}).Draw(t, "ready")
	return Load{
		Known:   rapid.Bool().Draw(t, "known"),
		Age:     time.Duration(rapid.IntRange(0, 8000).Draw(t, "age")) * time.Millisecond,
		Ready:   ready,
		Busy:    rapid.IntRange(0, 40).Draw(t, "busy"),
		Queued:  rapid.IntRange(0, 60).Draw(t, "queued"),
		Service: time.Duration(rapid.IntRange(0, 50).Draw(t, "service")) * time.Millisecond,
	}
}

func drawZones(t *rapid.T) []Zone {
	var zones []Zone
	for i := range modelZones {
		zones = append(zones, drawZone(t, i))
	}
	return zones
}

func drawPicker(t *rapid.T) Picker {
	return rand.New(rand.NewPCG(rapid.Uint64().Draw(t, "seed"), 1))
}

func TestNeverChoosesUnusableZones(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		zones := drawZones(t)
		d := Decide("r0", zones, drawPicker(t))
		for _, c := range d.Choices {
			z := zones[slices.IndexFunc(zones, func(z Zone) bool { return z.Name == c.Zone })]
			if z.Draining || z.Unlinked || !z.Near && !slices.Contains(z.Hosts, c.Host) || z.known() && z.Load.fresh() && z.Load.Ready == 0 {
				t.Fatalf("%+v was chosen by %+v", z, c)
			}
		}
		if len(d.Choices) < maxChoices && len(d.Choices)+len(d.Passed) != len(zones) {
			t.Fatalf("%d choices and %d omissions of %d zones", len(d.Choices), len(d.Passed), len(zones))
		}
	})
}

func TestVerdictsAgreeWithDecisions(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		z := drawZone(t, rapid.IntRange(0, 3).Draw(t, "zone"))
		v := arbiter.Vote(z.Name, z.Signals())
		reason, ok := usable(&z)
		avoided := !ok && reason != OmitAllotment
		if avoided != (v.Claim == arbiter.ClaimAvoid) {
			t.Fatalf("the router says %q, the vote %+v", reason, v)
		}
		if !avoided && z.known() != (v.Claim == arbiter.ClaimUse) {
			t.Fatalf("known %t, the vote %+v", z.known(), v)
		}
	})
}

func TestNearZoneWithFreeSlotsIsFirst(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		zones := drawZones(t)
		for i := range zones {
			zones[i].Rank = 0
		}
		near := &zones[0]
		near.RTT, near.Draining, near.Load.Known, near.Load.Age = 0, false, true, 0
		near.Load.Ready = near.Load.Busy + near.Load.Queued + 1
		d := Decide("r0", zones, drawPicker(t))
		if d.Choices[0].Zone != near.Name || d.Choices[0].Host != "" {
			t.Fatalf("%+v goes before the own zone", d.Choices[0])
		}
	})
}

// Every sender fills its allotment on the same report: the slots that this takes in the mean do
// not exceed the free ones by more than the minimal allotment of each.
func TestSendersTogetherStayWithinFreeSlots(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		z := drawZone(t, 3)
		z.Load.Known, z.Load.Age, z.Refused = true, 0, false
		held, sent := 0, 0
		for range z.Senders {
			z.Held = rapid.IntRange(0, 9).Draw(t, "held by one")
			held += z.Held
			sent += max(z.allotment(), z.Held)
		}
		service := z.Load.service()
		extra := time.Duration(sent-held-z.Senders*minAllotment) * service
		if free := time.Duration(max(z.Load.free(), 0)); extra > free*(z.RTT+service) {
			t.Fatalf("%d requests more in flight, with %d free slots and %d senders", sent-held, free, z.Senders)
		}
	})
}

func TestAbsentReportsLeaveTheStandingOrder(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		zones := drawZones(t)
		for i := range zones {
			zones[i].InFlight, zones[i].Refused = 0, false
			zones[i].Load.Known = zones[i].Near
		}
		old := slices.Clone(zones)
		for i := range old {
			if !old[i].Near {
				old[i].Load = drawLoad(t)
				old[i].Load.Age = MaxReportAge + 1
			}
		}
		a, b := names(Decide("r0", zones, drawPicker(t))), names(Decide("r0", old, drawPicker(t)))
		if !slices.Equal(a, b) {
			t.Fatalf("%v without reports, %v with old ones", a, b)
		}
	})
}

func names(d Decision) []string {
	var out []string
	for _, c := range d.Choices {
		out = append(out, c.Zone)
	}
	return out
}

func TestAllotmentHoldsWithoutNews(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		z := drawZone(t, 3)
		z.Load.Age = MaxReportAge + 1
		if got := z.allotment(); got > max(z.Held, minAllotment) {
			t.Fatalf("the allotment grew from %d to %d", z.Held, got)
		}
	})
}

// Against round robin and the first allotments, in the model: no region is overloaded when
// another's targets are lost, and lagging reports make no herd.
func TestRegionLossOverloadsNoSurvivor(t *testing.T) {
	for _, d := range deployments {
		lost := scene{load: 0.55, lostRegion: true}
		m := newModel(d, lost, decide, 2).run()
		herd := newModel(d, lost, leastLoaded, 2).run()
		t.Logf("%s: router %v, least loaded %v", d.name, m, herd)
		if m.busiest > 1 || m.swing > herd.swing/2 || m.refused > herd.refused/2 {
			t.Errorf("%s: busiest %.2f, swing %.2f of %.2f, refused %d of %d", d.name, m.busiest, m.swing, herd.swing, m.refused, herd.refused)
		}
	}
}

func TestFlightHeldAtReport(t *testing.T) {
	var f Flight
	now := timer.Instant(time.Hour)
	for range 40 {
		now = now.Add(flightPeriod)
		f.Begin(now)
	}
	fresh := Load{Known: true, Age: 10 * flightPeriod}
	if got := f.Held(now, fresh); got < 29 || got > 31 {
		t.Errorf("%d held ten periods ago, of 40 now", got)
	}
	held := f.Held(now, fresh)
	if got := f.Held(now.Add(time.Minute), Load{}); got != held {
		t.Errorf("%d without news, %d before", got, held)
	}
}

func TestOwnAnswersEarnRoomWithoutReports(t *testing.T) {
	var f Flight
	now := timer.Instant(time.Hour)
	answer := func(n int) {
		for range n {
			f.Begin(now)
			f.End(now, FeedbackAnswered)
		}
	}
	answer(1 + 2 + 3 + 4)
	if got := f.Held(now, Load{}); got != 4 {
		t.Errorf("%d after four rounds of answers", got)
	}
	for range 5 {
		f.Begin(now)
		f.End(now, FeedbackRefused)
	}
	if got := f.Held(now, Load{}); got != 2 {
		t.Errorf("%d after refusals at one instant", got)
	}
}
