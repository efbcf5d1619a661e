package authenticator

import (
	"fmt"
	"testing"
	"time"

	"pgregory.net/rapid"

	"github.com/fescuethread/fescuethread/arbiter"
)

var policy = Policy{Bound: DefaultBound, Stale: StaleRefuse}

var zoneNames = []string{"a", "b", "c"}

func rank(f Freshness) int {
	return map[Freshness]int{Fresh: 0, Outage: 1, CutOff: 2}[f]
}

func drawAge(t *rapid.T, name string) time.Duration {
	return time.Duration(rapid.IntRange(0, 70).Draw(t, name)) * time.Second
}

func drawEvidence(t *rapid.T, zones []string) Evidence {
	e := Evidence{Zone: "a", Zones: zoneNames, Keys: 5, Contact: drawAge(t, "contact")}
	for i := range rapid.IntRange(0, 6).Draw(t, "reports") {
		e.Reports = append(e.Reports, Report{
			Host:    fmt.Sprint(i),
			Zone:    rapid.SampledFrom(zones).Draw(t, "zone"),
			Keys:    uint64(rapid.IntRange(4, 6).Draw(t, "keys")),
			Contact: drawAge(t, "contact"),
			Heard:   drawAge(t, "heard"),
		})
	}
	return e
}

func aged(e Evidence, d time.Duration) Evidence {
	e.Contact += d
	reports := make([]Report, 0, len(e.Reports))
	for _, r := range e.Reports {
		r.Heard += d
		reports = append(reports, r)
	}
	e.Reports = reports
	return e
}

func TestSilenceNeverRestoresTrust(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		e := drawEvidence(t, zoneNames[1:])
		before := policy.Decide(e)
		after := policy.Decide(aged(e, drawAge(t, "silence")))
		if rank(after.Freshness) < rank(before.Freshness) {
			t.Fatalf("%s became %s without news", before.Freshness, after.Freshness)
		}
	})
}

func TestVerdictsAgreeWithDecisions(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		p := Policy{Bound: policy.Bound, Stale: rapid.SampledFrom([]Stale{StaleRefuse, StaleServe}).Draw(t, "stale")}
		d := p.Decide(drawEvidence(t, zoneNames))
		v := arbiter.Vote("keys", p.Signals(d))
		if d.Keyed != (v.Claim == arbiter.ClaimUse) {
			t.Fatalf("%+v, but the vote is %+v", d, v)
		}
	})
}

func TestFreshIsMonotone(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		e := drawEvidence(t, zoneNames)
		older := aged(e, 0)
		older.Contact += drawAge(t, "own")
		for i := range older.Reports {
			older.Reports[i].Contact += drawAge(t, "older")
			older.Reports[i].Heard += drawAge(t, "heard")
		}
		if policy.Decide(older).Freshness == Fresh && policy.Decide(e).Freshness != Fresh {
			t.Fatalf("fresh with older evidence only: %+v", e)
		}
	})
}

func TestOutageNeedsEveryZone(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		e := drawEvidence(t, zoneNames)
		d := policy.Decide(e)
		heard := map[string]bool{e.Zone: true}
		behind := false
		for _, r := range e.Reports {
			heard[r.Zone] = true
			behind = behind || r.Keys > e.Keys
		}
		if d.Freshness == Outage && (len(heard) < len(zoneNames) || behind) {
			t.Fatalf("outage concluded from %+v", e)
		}
		if d.Keyed != (d.Freshness != CutOff) || d.Reason == "" {
			t.Fatalf("the rule refuse gave %+v", d)
		}
		serve := Policy{Bound: policy.Bound, Stale: StaleServe}.Decide(e)
		if !serve.Keyed || serve.Freshness != d.Freshness {
			t.Fatalf("the rule serve gave %+v", serve)
		}
	})
}

func lostReport(host, zone string, contact, heard time.Duration) Report {
	return Report{Host: host, Zone: zone, Keys: 5, Contact: contact, Heard: heard}
}

func TestDecisions(t *testing.T) {
	const s = time.Second
	tests := []struct {
		name    string
		own     time.Duration
		reports []Report
		want    Freshness
	}{
		{"own contact", 30 * s, nil, Fresh},
		{"alone", 31 * s, nil, CutOff},
		{"relayed", Never, []Report{lostReport("b1", "b", 2*s, s)}, Fresh},
		{"held-up relay", Never, []Report{lostReport("b1", "b", 2*s, 29*s)}, CutOff},
		{"impossible relay", Never, []Report{lostReport("b1", "b", -s, s)}, CutOff},
		{"outage", 31 * s,
			[]Report{lostReport("b1", "b", 30*s, s), lostReport("c1", "c", 29*s, 2*s)}, Outage},
		{"a zone fell silent with contact", 31 * s,
			[]Report{lostReport("b1", "b", 30*s, s), lostReport("c1", "c", s, 40*s)}, CutOff},
		{"a host died, its zone lives", 60 * s, []Report{lostReport("b1", "b", 60*s, s),
			lostReport("c1", "c", s, 59*s), lostReport("c2", "c", 59*s, s)}, Outage},
		{"newer keys at a peer", 31 * s, []Report{lostReport("b1", "b", 30*s, s),
			{Host: "c1", Zone: "c", Keys: 6, Contact: 40 * s}}, CutOff},
	}
	for _, tt := range tests {
		e := Evidence{Zone: "a", Zones: zoneNames, Keys: 5, Contact: tt.own, Reports: tt.reports}
		if d := policy.Decide(e); d.Freshness != tt.want {
			t.Errorf("%s: %+v, want %s", tt.name, d, tt.want)
		}
	}
	if d := policy.Decide(Evidence{Contact: Never}); d.Freshness != CutOff {
		t.Errorf("no zones known: %+v", d)
	}
}

// world is a platform and hosts whose networks part and join at random.
type world struct {
	now      time.Duration
	accepted []time.Duration
	hosts    []*worldHost
}

type worldHost struct {
	zone    string
	online  bool
	group   int
	keys    uint64
	contact time.Duration
	reports map[string]sent
}

// sent is a report with the instant before it was asked for.
type sent struct {
	report Report
	asked  time.Duration
}

func (w *world) step(t *rapid.T) {
	w.now += time.Duration(rapid.IntRange(1, 12).Draw(t, "step")) * time.Second
	if rapid.Bool().Draw(t, "accept") {
		w.accepted = append(w.accepted, w.now)
	}
	for _, h := range w.hosts {
		h.online = rapid.IntRange(0, 3).Draw(t, "online") == 0
		h.group = rapid.IntRange(0, 1).Draw(t, "group")
		if h.online {
			h.keys = uint64(len(w.accepted))
			h.contact = w.now
		}
	}
	from := rapid.SampledFrom(w.hosts).Draw(t, "from")
	to := rapid.SampledFrom(w.hosts).Draw(t, "to")
	if from != to && from.group == to.group {
		w.gossip(t, from, to)
	}
}

// gossip passes a report that is made some time after it was asked for.
func (w *world) gossip(t *rapid.T, from, to *worldHost) {
	asked := w.now
	report := Report{Zone: from.zone, Keys: from.keys, Contact: w.now - from.contact}
	w.now += time.Duration(rapid.IntRange(0, 10).Draw(t, "delay")) * time.Second
	to.reports[from.zone] = sent{report: report, asked: asked}
	if rapid.Bool().Draw(t, "fetch") {
		to.keys = max(to.keys, report.Keys)
	}
}

func (w *world) decide(h *worldHost) Decision {
	e := Evidence{Zone: h.zone, Zones: zoneNames, Keys: h.keys, Contact: w.now - h.contact}
	for _, zone := range zoneNames {
		if s, ok := h.reports[zone]; ok {
			s.report.Heard = w.now - s.asked
			e.Reports = append(e.Reports, s.report)
		}
	}
	return policy.Decide(e)
}

// TestFreshHostsKnowOldChanges checks the promise itself: a host that serves as fresh holds every
// version that was accepted more than the bound ago.
func TestFreshHostsKnowOldChanges(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		w := &world{}
		for _, zone := range zoneNames {
			w.hosts = append(w.hosts, &worldHost{zone: zone, reports: make(map[string]sent)})
		}
		for range 40 {
			w.step(t)
			for _, h := range w.hosts {
				if w.decide(h).Freshness != Fresh {
					continue
				}
				for i, at := range w.accepted {
					if at < w.now-policy.Bound && h.keys < uint64(i+1) {
						t.Fatalf("fresh at %s with keys %d, but %d was accepted at %s",
							w.now, h.keys, i+1, at)
					}
				}
			}
		}
	})
}
