package selector

import (
	"math"
	"sort"

	"github.com/cespare/xxhash/v2"

	"github.com/fescuethread/fescuethread/placer"
)

const (
	// placesPerObject is the number of targets that serve an object. Each further one costs a cache
	// miss, and room in a cache that other objects lose.
	placesPerObject = 2
	// reliefUtilization is the utilization from which a target gives objects to their second targets;
	// reliefGain is how much of its objects it gives for each unit beyond it, and maxReliefFraction
	// the most.
	reliefUtilization = 1.0
	reliefGain        = 1.0
	maxReliefFraction = 0.5
	// reliefMargin is how much lower the utilization of the second target must be. Without a margin,
	// two full targets would both serve the objects of both.
	reliefMargin = 0.5
)

// region holds the targets of a service in a region on which objects are placed.
type region struct {
	table *placer.Table
	// targets are in the order of the table's nodes.
	targets []*target
}

// Placed reports whether objects have fixed places.
func (s *Selector) Placed() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.placed()
}

// placed reports whether objects have fixed places.
func (s *Selector) placed() bool {
	switch s.cfg.Placement {
	case ModeAlways:
		return true
	case ModeNever:
		return false
	}
	return s.cfg.Pressure || s.sharedMachines
}

// markPlaced tells the service's targets whether objects have fixed places.
func (s *Selector) markPlaced(svc *service) {
	placed := s.placed()
	for _, list := range svc.zones {
		for _, t := range list {
			t.placed = placed
		}
	}
}

// placeTargets builds the tables of the service's regions. Targets that are doubted stay in them:
// their objects return to them.
func (s *Selector) placeTargets(svc *service) {
	svc.regions = map[string]*region{}
	nodes := map[string][]placer.Node{}
	for zone, list := range svc.zones {
		if s.evacuated[zone] {
			continue
		}
		name := s.cfg.Regions[zone]
		r := svc.regions[name]
		if r == nil {
			r = &region{}
			svc.regions[name] = r
		}
		for _, t := range list {
			if t.Draining {
				continue
			}
			r.targets = append(r.targets, t)
			nodes[name] = append(nodes[name], placer.Node{Hash: t.hash, Weight: float64(t.Slots)})
		}
	}
	for name, r := range svc.regions {
		r.table = placer.New(nodes[name])
	}
	s.markPlaced(svc)
}

// runPlaced searches the regions in order of preference, as run does, by the object's places.
func (x *search) runPlaced() Choice {
	first := x.preferredRegion()
	if first == "" {
		return x.searchUnhealthy()
	}
	for _, name := range x.regionsFrom(first) {
		if c, ok := x.searchPlaces(name); ok {
			return c
		}
	}
	return x.searchUnhealthy()
}

// preferredRegion chooses a region by weighted rendezvous hashing of the object over the regions'
// shares. It returns "" if no region has a healthy target.
func (x *search) preferredRegion() string {
	names, shares := x.regionShares()
	best, minCost := "", math.Inf(1)
	for _, name := range names {
		cost := math.Inf(1)
		if shares[name] > 0 {
			cost = placer.Cost(placer.Mix(xxhash.Sum64String(name)^x.objectHash), shares[name])
		}
		if best == "" || cost < minCost {
			best, minCost = name, cost
		}
	}
	return best
}

// regionShares returns the regions with a usable zone, sorted, and their shares of the requests;
// the regions' capacity stands in for the shares if no region that gets requests is usable.
func (x *search) regionShares() ([]string, map[string]float64) {
	shares, capacity := map[string]float64{}, map[string]float64{}
	sum := 0.0
	for zone, name := range x.s.cfg.Regions {
		if !x.allowed(zone) || !x.usable(zone) {
			continue
		}
		shares[name] += x.svc.shares[zone]
		capacity[name] += x.svc.capacity[zone]
		sum += x.svc.shares[zone]
	}
	names := make([]string, 0, len(shares))
	for name := range shares {
		names = append(names, name)
	}
	sort.Strings(names)
	if sum < minShareSum {
		return names, capacity
	}
	return names, shares
}

// regionsFrom returns the first region, then the others from near to far.
func (x *search) regionsFrom(first string) []string {
	for zone, name := range x.s.cfg.Regions {
		if name == first {
			return x.regions(zone)
		}
	}
	return nil
}

// searchPlaces chooses one of the object's targets in a region or refuses the request. Other
// targets never serve the object: they would take several times as long for it, and drop objects
// of their own. It reports false if the region has no target for the request.
func (x *search) searchPlaces(name string) (Choice, bool) {
	r := x.svc.regions[name]
	if r == nil {
		return Choice{}, false
	}
	zones := x.zones(name, "")
	if len(zones) == 0 {
		return Choice{}, false
	}
	if x.q.Exclusive {
		return x.idleTarget(zones), true
	}
	if t := x.probePlace(r); t != nil {
		return x.chosen(t, RuleProbe), true
	}
	first, second := x.places(r)
	if first == nil {
		return x.refuseOverloaded(nil), true
	}
	if second != nil && x.relieves(second, first) {
		return x.chosen(second, RuleRelief), true
	}
	if c, ok := x.byObject(first, second); ok {
		return c, true
	}
	return x.refuseOverloaded(first), true
}

// probePlace returns the object's own target if that is failing and due for a probe; for other
// objects a probe would be a cache miss. Retries are never used as probes.
func (x *search) probePlace(r *region) *target {
	if len(x.q.Exclude) > 0 {
		return nil
	}
	own := r.table.Rank(x.objectHash, 1, func(i int) bool {
		t := r.targets[i]
		return !x.allowed(t.Zone) || !t.usable(x.now)
	})
	if own.Len() == 0 {
		return nil
	}
	t := r.targets[own.Index(0)]
	if !t.failing() || t.unresponsive(x.now) || !x.probeDue(t) || !x.belowColdLimit(t) ||
		!x.hasFreeSlot(t) {
		return nil
	}
	return t
}

// places returns the object's first and second target in a region that may take a request now.
func (x *search) places(r *region) (first, second *target) {
	ranking := r.table.Rank(x.objectHash, placesPerObject, func(i int) bool {
		t := r.targets[i]
		return !x.allowed(t.Zone) || !t.healthy(x.now) || x.tried(t) || !x.belowColdLimit(t)
	})
	if ranking.Len() > 0 {
		first = r.targets[ranking.Index(0)]
	}
	if ranking.Len() > 1 {
		second = r.targets[ranking.Index(1)]
	}
	return first, second
}

// relieves reports whether the object is one of those that a loaded first target gives to their
// second ones. It depends on the object's hash and on what the hosts tell each other, so that all
// hosts give the same objects away: then few objects are in two caches.
func (x *search) relieves(second, first *target) bool {
	load, relief := x.usage(first), x.usage(second)
	if load < reliefUtilization || relief+reliefMargin > load || !x.available(second) {
		return false
	}
	fraction := min(reliefGain*(load-reliefUtilization), maxReliefFraction)
	hash := placer.Mix(first.hash + x.objectHash)
	return float64(hash>>11)/(1<<53) < fraction
}

// usage returns the load per slot, without what only this host knows of the target's speed.
func (x *search) usage(t *target) float64 {
	return t.load(x.now) / float64(t.Slots)
}
