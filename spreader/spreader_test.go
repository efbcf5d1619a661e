package spreader

import (
	"fmt"
	"slices"
	"testing"

	"pgregory.net/rapid"
)

const callers = 4000

// fleet returns a region of two zones with large and small hosts.
func fleet() []Host {
	var hosts []Host
	for _, zone := range []string{"a", "b"} {
		for i := range 2 {
			hosts = append(hosts, Host{Name: fmt.Sprint(zone, "-large-", i), Zone: zone, Capacity: 500})
		}
		for i := range 8 {
			hosts = append(hosts, Host{Name: fmt.Sprint(zone, "-small-", i), Zone: zone, Capacity: 100})
		}
	}
	return hosts
}

// loads returns the callers of each host, if each caller uses its hosts alike.
func loads(hosts []Host) map[string]float64 {
	sum := map[string]float64{}
	for c := range callers {
		zone := []string{"a", "b"}[c%2]
		chosen := Choose(fmt.Sprint("10.0.", c/256, ".", c%256), zone, hosts)
		for _, i := range chosen {
			sum[hosts[i].Name] += 1 / float64(len(chosen))
		}
	}
	return sum
}

// TestLargeHostsGetMoreCallers answers the load of hosts that differ by five in size: a small host
// gets at most half of the callers of a large one, and none is left without.
func TestLargeHostsGetMoreCallers(t *testing.T) {
	hosts := fleet()
	sum := loads(hosts)
	for _, h := range hosts {
		got := sum[h.Name]
		if h.Capacity == 100 && (got == 0 || got > sum["a-large-0"]/2) {
			t.Errorf("%s gets %.0f callers, a large host %.0f", h.Name, got, sum["a-large-0"])
		}
	}
}

// TestLossMovesOnlyTheHostsCallers guards against callers that drop their connections because a host
// that they don't use is gone.
func TestLossMovesOnlyTheHostsCallers(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		hosts := fleet()
		gone := rapid.IntRange(0, len(hosts)-1).Draw(t, "gone")
		rest := append(append([]Host(nil), hosts[:gone]...), hosts[gone+1:]...)
		for c := range 50 {
			caller := fmt.Sprint(c)
			var before, after []string
			for _, i := range Choose(caller, "a", hosts) {
				if i != gone {
					before = append(before, hosts[i].Name)
				}
			}
			for _, i := range Choose(caller, "a", rest) {
				after = append(after, rest[i].Name)
			}
			for _, name := range before {
				if !slices.Contains(after, name) {
					t.Fatalf("caller %s lost %s as %s went", caller, name, hosts[gone].Name)
				}
			}
		}
	})
}

// TestUnknownCapacityNamesAllHosts guards against a host of an older version, which doesn't tell its
// capacity, that gets no callers.
func TestUnknownCapacityNamesAllHosts(t *testing.T) {
	hosts := fleet()
	hosts[3].Capacity = 0
	if chosen := Choose("c", "a", hosts); chosen != nil {
		t.Errorf("%v was chosen", chosen)
	}
	if chosen := Choose("c", "a", fleet()[:HostsPerCaller]); chosen != nil {
		t.Errorf("%v of %d hosts was chosen", chosen, HostsPerCaller)
	}
}

// TestSmallerCapacityBinds guards against a host with a slow link that counts as large for its
// processor.
func TestSmallerCapacityBinds(t *testing.T) {
	if slow, fast := Capacity(0.8, 10), Capacity(0.8, 200); slow >= fast/2 {
		t.Errorf("a link of 10 Mbit/s gives a capacity of %d, one of 200 gives %d", slow, fast)
	}
	if c := Capacity(1e30, 1e30); c != maxCapacity {
		t.Errorf("a huge host has a capacity of %d", c)
	}
	if c := Capacity(0, 200); c != 0 {
		t.Errorf("without a known processor the capacity is %d", c)
	}
}
