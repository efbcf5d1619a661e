package assigner

import (
	"fmt"
	"slices"
	"testing"

	"pgregory.net/rapid"
)

func fleet() []Host {
	return []Host{
		{Name: "a1", Zone: "a", Region: "r"},
		{Name: "a2", Zone: "a", Region: "r"},
		{Name: "b1", Zone: "b", Region: "r"},
		{Name: "c1", Zone: "c", Region: "s"},
		{Name: "d1", Zone: "d", Region: "s"},
	}
}

func with(hosts []Host, s Standing, names ...string) []Host {
	out := slices.Clone(hosts)
	for i := range out {
		if slices.Contains(names, out[i].Name) {
			out[i].Standing = s
		}
	}
	return out
}

func TestAssign(t *testing.T) {
	tests := []struct {
		name  string
		hosts []Host
		zone  string
		want  []string
		rule  Rule
	}{
		{"all present", fleet(), "a", []string{"a1", "a2"}, RuleOwn},
		{"one gone", with(fleet(), StandingGone, "a1"), "a", []string{"a2"}, RuleOwn},
		{"one silent", with(fleet(), StandingSilent, "a1"), "a", []string{"a2"}, RuleOwn},
		{"cut off", with(fleet(), StandingSilent, "a1", "b1", "c1", "d1"), "a", []string{"a1", "a2"}, RuleOwn},
		{"only host gone", with(fleet(), StandingGone, "b1"), "b", []string{"a1"}, RuleStandby},
		{"region gone", with(fleet(), StandingGone, "c1", "d1"), "c", nil, RuleNobody},
	}
	for _, tt := range tests {
		region := "r"
		if tt.zone == "c" {
			region = "s"
		}
		got := Assign(tt.zone, region, tt.hosts)
		if !slices.Equal(got.Holders, tt.want) || got.Rule != tt.rule {
			t.Errorf("%s: got %+v", tt.name, got)
		}
	}
}

// Two sides of a cut never both take the part of a host of the other side: only a side that hears
// most hosts takes anything.
func TestCutSidesDoNotTakeFromEachOther(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		hosts := fleet()
		left := rapid.SliceOfDistinct(rapid.SampledFrom([]string{"a1", "a2", "b1", "c1", "d1"}),
			func(s string) string { return s }).Draw(t, "left side")
		var right []string
		for _, h := range hosts {
			if !slices.Contains(left, h.Name) {
				right = append(right, h.Name)
			}
		}
		byLeft := Assign("a", "r", with(hosts, StandingSilent, right...))
		byRight := Assign("a", "r", with(hosts, StandingSilent, left...))
		if missing(byLeft, right) && missing(byRight, left) {
			t.Fatalf("left %v assigns %v, right assigns %v", left, byLeft, byRight)
		}
	})
}

// missing reports whether an assignment leaves out a host of zone a that is on the other side.
func missing(a Assignment, other []string) bool {
	for _, name := range []string{"a1", "a2"} {
		if slices.Contains(other, name) && !slices.Contains(a.Holders, name) {
			return true
		}
	}
	return false
}

// BenchmarkAssign measures the assignment of all zones, which each host makes once a second.
func BenchmarkAssign(b *testing.B) {
	for _, size := range []struct{ zones, hosts int }{{6, 7}, {12, 70}, {24, 400}, {92, 1600}} {
		b.Run(fmt.Sprintf("hosts=%d", size.hosts), func(b *testing.B) {
			var hosts []Host
			for i := range size.hosts {
				zone := i % size.zones
				hosts = append(hosts, Host{
					Name:   fmt.Sprintf("h%04d", i),
					Zone:   fmt.Sprintf("z%02d", zone),
					Region: fmt.Sprintf("r%02d", zone/4),
				})
			}
			for b.Loop() {
				for zone := range size.zones {
					Assign(fmt.Sprintf("z%02d", zone), fmt.Sprintf("r%02d", zone/4), hosts)
				}
			}
		})
	}
}
