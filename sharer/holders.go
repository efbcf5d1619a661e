package sharer

import (
	"sort"

	"github.com/cespare/xxhash/v2"
)

// holdersPerRegion is the maximum number of hosts of a region that hold shares of a customer's
// rate. Fewer holders waste fewer tokens on uneven demand; the loss of one costs more of them.
const holdersPerRegion = 3

// Host is a registered host.
type Host struct {
	// Name identifies the host.
	Name string
	// Zone is its availability zone.
	Zone string
	// Region is the region of Zone.
	Region string
}

// rankedHost is a host with its rendezvous hash for a customer.
type rankedHost struct {
	Host
	hash uint64
	// tier is the number of hosts of the same zone, then of the same region, that rank before.
	tier int
}

// holders returns the hosts that hold shares of a customer's rate, at most the given number. They
// depend only on the customer and the registered hosts, so all hosts agree on them. They are
// spread evenly over the regions, and in a region over its zones.
func holders(customer string, hosts []Host, limit int) []Host {
	ranked := make([]rankedHost, 0, len(hosts))
	for _, h := range hosts {
		hash := xxhash.Sum64String(customer + "\x00" + h.Name)
		ranked = append(ranked, rankedHost{Host: h, hash: hash})
	}
	sortRanked(ranked)
	assignTiers(ranked, func(h Host) string { return h.Zone })
	sortRanked(ranked)
	assignTiers(ranked, func(h Host) string { return h.Region })
	sortRanked(ranked)
	chosen := make([]Host, 0, limit)
	for _, r := range ranked {
		if r.tier < holdersPerRegion && len(chosen) < limit {
			chosen = append(chosen, r.Host)
		}
	}
	return chosen
}

func sortRanked(ranked []rankedHost) {
	sort.Slice(ranked, func(i, j int) bool {
		if ranked[i].tier != ranked[j].tier {
			return ranked[i].tier < ranked[j].tier
		}
		return ranked[i].hash < ranked[j].hash
	})
}

// assignTiers numbers the hosts within each group, in their order.
func assignTiers(ranked []rankedHost, group func(Host) string) {
	count := map[string]int{}
	for i := range ranked {
		g := group(ranked[i].Host)
		ranked[i].tier = count[g]
		count[g]++
	}
}

// byDistance returns the other holders from near to far: those of the host's zone, of its region,
// then the rest. Holders at the same distance are in another order on each host, which spreads the
// requests for tokens.
func byDistance(self Host, list []Host) []Host {
	others := make([]rankedHost, 0, len(list))
	for _, h := range list {
		if h.Name == self.Name {
			continue
		}
		others = append(others, rankedHost{
			Host: h, hash: xxhash.Sum64String(self.Name + "\x00" + h.Name), tier: distance(self, h),
		})
	}
	sortRanked(others)
	sorted := make([]Host, 0, len(others))
	for _, r := range others {
		sorted = append(sorted, r.Host)
	}
	return sorted
}

func distance(a, b Host) int {
	switch {
	case a.Zone == b.Zone:
		return 0
	case a.Region == b.Region:
		return 1
	}
	return 2
}
