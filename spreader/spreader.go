package spreader

import (
	"github.com/cespare/xxhash/v2"

	"github.com/fescuethread/fescuethread/placer"
)

const (
	// HostsPerCaller is the number of hosts that a caller gets. It picks one of them at random for
	// each connection; with several it goes on while one is lost.
	HostsPerCaller = placer.MaxRank
	// zonePreference is how much more weight a host has in the caller's own zone.
	zonePreference = 2
	// requestProcessor is the processor time of a request in seconds, requestMegabits the size of its
	// messages: the smaller of the two capacities binds.
	requestProcessor = 0.0015
	requestMegabits  = 0.08
	// maxCapacity is the largest capacity in requests per second.
	maxCapacity = 1 << 20
)

// Host is a host that serves callers.
type Host struct {
	// Name identifies the host.
	Name string
	// Zone is its availability zone.
	Zone string
	// Capacity is the number of requests per second that it can carry; 0 means unknown.
	Capacity uint32
}

// Capacity returns the requests per second that a host can carry with a part of a processor and a
// link in Mbit/s; 0 if either is unknown.
func Capacity(processor, link float64) uint32 {
	return uint32(min(processor/requestProcessor, link/requestMegabits, maxCapacity))
}

// Choose returns the positions in hosts of those that a caller in a zone uses, best first; nil
// means all of them, if they are few or a capacity is unknown. Every host chooses alike.
func Choose(caller, zone string, hosts []Host) []int {
	if len(hosts) <= HostsPerCaller {
		return nil
	}
	nodes := make([]placer.Node, len(hosts))
	for i, h := range hosts {
		if h.Capacity == 0 {
			return nil
		}
		nodes[i] = placer.Node{Hash: xxhash.Sum64String(h.Name), Weight: float64(h.Capacity)}
		if h.Zone == zone {
			nodes[i].Weight *= zonePreference
		}
	}
	ranking := placer.New(nodes).Rank(xxhash.Sum64String(caller), HostsPerCaller,
		func(int) bool { return false })
	chosen := make([]int, ranking.Len())
	for i := range chosen {
		chosen[i] = ranking.Index(i)
	}
	return chosen
}
