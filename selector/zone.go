package selector

import (
	"math"
	"slices"
	"sort"

	"github.com/cespare/xxhash/v2"

	"github.com/fescuethread/fescuethread/placer"
)

// minShareSum is the sum of the usable zones' shares below which the shares are ignored.
const minShareSum = 0.02

// preferredZone chooses an availability zone by weighted rendezvous hashing of the object, so that
// as few objects as possible move to another zone when the shares change. It returns "" if no zone
// is usable.
func (x *search) preferredZone() string {
	var zones []string
	sum := 0.0
	for zone := range x.s.cfg.Regions {
		if x.allowed(zone) && x.usable(zone) {
			zones = append(zones, zone)
			sum += x.svc.shares[zone]
		}
	}
	sort.Slice(zones, func(i, j int) bool { return x.nearer(zones[i], zones[j]) })
	weights := x.svc.shares
	if sum < minShareSum {
		// None of the zones that normally get requests is usable.
		weights = x.svc.capacity
	}
	best, minCost := "", math.Inf(1)
	for _, zone := range zones {
		if cost := x.cost(zone, weights[zone]); best == "" || cost < minCost {
			best, minCost = zone, cost
		}
	}
	return best
}

// cost returns a hash of the object and the zone, exponentially distributed with the weight as its
// rate: each zone has the lowest cost for a fraction of the objects in proportion to its weight.
func (x *search) cost(zone string, weight float64) float64 {
	if weight <= 0 {
		return math.Inf(1)
	}
	return placer.Cost(placer.Mix(xxhash.Sum64String(zone)^x.objectHash), weight)
}

// nearer reports whether zone a sorts before zone b by distance from this host, then by name.
func (x *search) nearer(a, b string) bool {
	da, db := x.distance(a), x.distance(b)
	if da != db {
		return da < db
	}
	return a < b
}

// distance returns 0 for this host's zone, 1 for its region and 2 for other regions.
func (x *search) distance(zone string) int {
	switch {
	case zone == x.s.cfg.Zone:
		return 0
	case x.s.cfg.Regions[zone] == x.s.cfg.Regions[x.s.cfg.Zone]:
		return 1
	}
	return 2
}

// allowed reports whether the zone is not evacuated and in a region that may serve the request.
func (x *search) allowed(zone string) bool {
	if x.q.HomeRegions == nil {
		return !x.s.evacuated[zone]
	}
	return !x.s.evacuated[zone] && slices.Contains(x.q.HomeRegions, x.s.cfg.Regions[zone])
}

// usable reports whether the zone has a healthy target that the request was not sent to yet.
func (x *search) usable(zone string) bool {
	return slices.ContainsFunc(x.svc.zones[zone], func(t *target) bool {
		return t.healthy(x.now) && !x.tried(t)
	})
}

func (x *search) tried(t *target) bool {
	return slices.Contains(x.q.Exclude, t.ID)
}

// regions returns all regions: that of the first zone, then the others from near to far.
func (x *search) regions(first string) []string {
	regions := []string{x.s.cfg.Regions[first]}
	zones := make([]string, 0, len(x.s.cfg.Regions))
	for zone := range x.s.cfg.Regions {
		zones = append(zones, zone)
	}
	sort.Slice(zones, func(i, j int) bool { return x.nearer(zones[i], zones[j]) })
	for _, zone := range zones {
		if r := x.s.cfg.Regions[zone]; !slices.Contains(regions, r) {
			regions = append(regions, r)
		}
	}
	return regions
}

// zones returns the usable zones of a region: the first zone if it is one of them, then the others
// from near to far.
func (x *search) zones(region, first string) []string {
	var zones []string
	for zone, r := range x.s.cfg.Regions {
		if r == region && x.allowed(zone) && x.usable(zone) {
			zones = append(zones, zone)
		}
	}
	sort.Slice(zones, func(i, j int) bool {
		if (zones[i] == first) != (zones[j] == first) {
			return zones[i] == first
		}
		return x.nearer(zones[i], zones[j])
	})
	return zones
}
