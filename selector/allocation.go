package selector

import (
	"maps"
	"sort"
)

// allocation assigns the demand of regions, in concurrent requests, to the capacity of regions, in
// slots.
type allocation struct {
	regions []string
	unmet   map[string]float64
	free    map[string]float64
	// assigned is indexed by the region of the demand, then by that of the capacity.
	assigned map[string]map[string]float64
}

// newAllocation returns an empty allocation, with utilization as the fraction of each region's
// capacity that may be assigned.
func newAllocation(demand, capacity map[string]float64, utilization float64) *allocation {
	a := &allocation{
		unmet:    map[string]float64{},
		free:     map[string]float64{},
		assigned: map[string]map[string]float64{},
	}
	for region := range demand {
		a.regions = append(a.regions, region)
		a.unmet[region] = demand[region]
		a.free[region] = capacity[region] * utilization
		a.assigned[region] = map[string]float64{}
	}
	sort.Strings(a.regions)
	return a
}

func (a *allocation) assignLocal() {
	for _, region := range a.regions {
		a.assign(region, region, min(a.unmet[region], a.free[region]))
	}
}

// assignRemaining assigns the unmet demand to the free capacity of all regions, the same fraction
// of each region's demand.
func (a *allocation) assignRemaining() {
	totalUnmet, totalFree := 0.0, 0.0
	for _, region := range a.regions {
		totalUnmet += a.unmet[region]
		totalFree += a.free[region]
	}
	if totalUnmet <= 0 || totalFree <= 0 {
		return
	}
	fraction := min(1, totalFree/totalUnmet)
	unmet, free := maps.Clone(a.unmet), maps.Clone(a.free)
	for _, from := range a.regions {
		for _, to := range a.regions {
			a.assign(from, to, unmet[from]*fraction*free[to]/totalFree)
		}
	}
}

func (a *allocation) assign(from, to string, amount float64) {
	if amount <= 0 {
		return
	}
	a.assigned[from][to] += amount
	a.unmet[from] -= amount
	a.free[to] -= amount
}

// shares returns the fractions of one region's requests that go to each region. For a region
// without demand, it assumes a small one.
func (a *allocation) shares(region string) map[string]float64 {
	if len(a.assigned[region]) == 0 {
		a.unmet[region] = 1
		a.assignLocal()
		a.assignRemaining()
	}
	sum := 0.0
	for _, amount := range a.assigned[region] {
		sum += amount
	}
	shares := make(map[string]float64, len(a.assigned[region]))
	for to, amount := range a.assigned[region] {
		shares[to] = amount / sum
	}
	return shares
}
