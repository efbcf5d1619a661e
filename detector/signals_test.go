package detector

import (
	"fmt"
	"testing"
	"time"

	"pgregory.net/rapid"

	"github.com/fescuethread/fescuethread/arbiter"
	"github.com/fescuethread/fescuethread/messenger"
	"github.com/fescuethread/fescuethread/timer"
)

func claimOf(s State) arbiter.Claim {
	switch s {
	case StateLive:
		return arbiter.ClaimUse
	case StateSuspect, StateUnknown:
		return arbiter.ClaimProbe
	default:
		return arbiter.ClaimAvoid
	}
}

func TestVerdictsAgreeWithStates(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		now := timer.Instant(time.Hour)
		table, err := NewTable(Config{Host: "h0", Zone: "z0", Region: "r", Incarnation: 1})
		if err != nil {
			t.Fatal(err)
		}
		count := rapid.SampledFrom([]int{3, MeshHosts + 8}).Draw(t, "hosts")
		var hosts []HostInfo
		for i := range count {
			hosts = append(hosts, HostInfo{Name: fmt.Sprint("h", i), Zone: fmt.Sprint("z", i%2), Region: "r"})
		}
		table.Configure(now, hosts)
		e := table.entries[rapid.SampledFrom([]string{"h1", "h2"}).Draw(t, "host")]
		age := func(name string) timer.Instant {
			return now.Add(-time.Duration(rapid.IntRange(0, 90).Draw(t, name)) * time.Second / 2)
		}
		e.member = &messenger.Member{
			Host: e.info.Name, Incarnation: uint64(rapid.IntRange(0, 1).Draw(t, "incarnation")),
			State: messenger.State(rapid.IntRange(0, 4).Draw(t, "state")),
		}
		e.heard, e.born = age("heard"), age("born")
		e.listing = listing{state: Listed(rapid.IntRange(0, 3).Draw(t, "listed")), since: age("listed at")}
		e.missing = rapid.Bool().Draw(t, "missing")
		table.zones[e.info.Zone].heard = age("zone")
		table.zones[e.info.Zone].known = rapid.Bool().Draw(t, "zone known")
		state := table.State(now, e.info.Name)
		v := arbiter.Vote(e.info.Name, table.Signals(now, e.info.Name))
		if v.Claim != claimOf(state) {
			t.Fatalf("the table says %v, the vote %v: %+v", state, v.Claim, v)
		}
	})
}
