package selector

import (
	"math"
	"time"

	"github.com/fescuethread/fescuethread/timer"
)

const (
	// TickInterval is the interval between two calls of Tick.
	TickInterval = 250 * time.Millisecond
	// ShiftWindow is the period to which Config.MaxShiftFraction applies.
	ShiftWindow = 2 * time.Second
	// shiftBudgetFraction is the fraction of that limit that changes of the shares may use.
	shiftBudgetFraction = 0.65
	// overloadStepFraction is how far one tick moves the shares towards the desired ones while a
	// zone is overloaded, as a fraction of the difference.
	overloadStepFraction = 0.3
	// normalStepFraction is that fraction while no zone is overloaded. It is small because each
	// object that moves to another target causes a cache miss there.
	normalStepFraction = 0.01
	// placedStepFraction is that fraction where objects have places.
	placedStepFraction = 0.1
	// overloadUtilization is the fraction of a zone's slots in use at which the zone counts as
	// overloaded; zones with a share below minOverloadShare are ignored.
	overloadUtilization = 0.8
	minOverloadShare    = 0.03
	// commonFailureFraction is the fraction of failing targets, of a service's usable ones that this
	// host has sent requests to, above which failures are ignored.
	commonFailureFraction = 0.4
	// demandTTL is the age after which a host's demand is ignored.
	demandTTL = 5 * time.Second
	// minUtilizationCap is the utilization up to which a region always serves its own requests before
	// they go to other regions.
	minUtilizationCap = 0.7
	// placedUtilizationCap is that utilization where objects have places: objects are few for each
	// target, so that some targets are full long before all are.
	placedUtilizationCap = 0.45
	// utilizationMargin limits a region's utilization, as a multiple of the average of all regions.
	utilizationMargin = 1.1
	// coldCapacityFraction is the fraction of a cold target's slots that counts as capacity.
	coldCapacityFraction = 0.25
	// initialUtilization is the demand, as a fraction of all slots, that is assumed before any is
	// measured.
	initialUtilization = 0.8
)

// updateShares moves the zones' shares a step towards the desired ones. The step is limited so
// that no more requests change their region than Config.MaxShiftFraction allows. While no demand
// is measured, there are hardly any requests to move, and the desired shares apply at once.
func (s *Selector) updateShares(now timer.Instant, name string, svc *service) {
	desired, measured := s.desiredShares(now, name, svc)
	if desired == nil {
		return
	}
	if svc.shares == nil || !measured {
		svc.shares = desired
		return
	}
	step := s.stepFraction(now, svc)
	if shift := s.regionShift(svc.shares, desired); s.cfg.MaxShiftFraction > 0 && shift > 0 {
		maxShift := s.cfg.MaxShiftFraction * shiftBudgetFraction *
			TickInterval.Seconds() / ShiftWindow.Seconds()
		step = min(step, maxShift/shift)
	}
	for zone := range s.cfg.Regions {
		svc.shares[zone] += step * (desired[zone] - svc.shares[zone])
	}
}

// stepFraction returns how far one tick moves the shares. Where objects have places, it doesn't
// depend on what only this host knows, so that the hosts of a region agree on them.
func (s *Selector) stepFraction(now timer.Instant, svc *service) float64 {
	switch {
	case s.placed():
		return placedStepFraction
	case s.overloaded(now, svc):
		return overloadStepFraction
	}
	return normalStepFraction
}

// overloaded reports whether a zone that gets requests has few free slots or no healthy target.
func (s *Selector) overloaded(now timer.Instant, svc *service) bool {
	for zone, share := range svc.shares {
		if share < minOverloadShare {
			continue
		}
		used, slots := 0.0, 0.0
		for _, t := range svc.zones[zone] {
			if t.healthy(now) && !s.evacuated[zone] {
				used += t.load(now)
				slots += float64(t.Slots)
			}
		}
		if used >= overloadUtilization*slots {
			return true
		}
	}
	return false
}

// detectCommonFailure sets commonFailure on all targets while a large fraction of them fail:
// excluding the failing ones would leave too few targets to serve the requests. Targets without an
// outcome, as those of other regions, don't count.
func (svc *service) detectCommonFailure(now timer.Instant) {
	failing, all := 0, 0
	for _, list := range svc.zones {
		for _, t := range list {
			if !t.usable(now) || !t.observed {
				continue
			}
			all++
			if t.failureRate > maxFailureRate {
				failing++
			}
		}
	}
	common := float64(failing) > commonFailureFraction*float64(all)
	for _, list := range svc.zones {
		for _, t := range list {
			t.commonFailure = common
		}
	}
}

// regionShift returns the fraction of the requests that would change their region.
func (s *Selector) regionShift(from, to map[string]float64) float64 {
	change := map[string]float64{}
	for zone, region := range s.cfg.Regions {
		change[region] += to[zone] - from[zone]
	}
	sum := 0.0
	for _, c := range change {
		sum += math.Abs(c)
	}
	return sum / 2
}

// desiredShares assigns the demand of each region to the capacity of that region first, then to
// that of the others. It returns the zones' shares of the requests of this host's region, and
// whether the demand was measured. All hosts of a region compute the same shares, so that an
// object has the same target on all of them.
func (s *Selector) desiredShares(
	now timer.Instant, name string, svc *service,
) (map[string]float64, bool) {
	svc.capacity = s.capacity(now, svc)
	capacity := s.sumByRegion(svc.capacity)
	totalCapacity := 0.0
	for _, slots := range capacity {
		totalCapacity += slots
	}
	if totalCapacity == 0 {
		return nil, false
	}
	demand, totalDemand, measured := s.demand(now, name, totalCapacity)
	a := newAllocation(s.sumByRegion(demand), capacity,
		max(s.utilizationCap(), utilizationMargin*totalDemand/totalCapacity))
	a.assignLocal()
	a.assignRemaining()
	regionShares := a.shares(s.cfg.Regions[s.cfg.Zone])
	shares := make(map[string]float64, len(svc.capacity))
	for zone, slots := range svc.capacity {
		region := s.cfg.Regions[zone]
		shares[zone] = regionShares[region] * slots / capacity[region]
	}
	return shares, measured
}

// utilizationCap returns the utilization up to which a region serves its own requests.
func (s *Selector) utilizationCap() float64 {
	if s.placed() {
		return placedUtilizationCap
	}
	return minUtilizationCap
}

// sumByRegion adds up the amounts of the zones of each region.
func (s *Selector) sumByRegion(zones map[string]float64) map[string]float64 {
	regions := map[string]float64{}
	for _, region := range s.cfg.Regions {
		regions[region] = 0
	}
	for zone, amount := range zones {
		regions[s.cfg.Regions[zone]] += amount
	}
	return regions
}

// capacity returns the number of usable slots of each zone; slow and cold targets count for less.
func (s *Selector) capacity(now timer.Instant, svc *service) map[string]float64 {
	capacity := map[string]float64{}
	for zone, list := range svc.zones {
		if s.evacuated[zone] {
			continue
		}
		for _, t := range list {
			if !t.healthy(now) {
				continue
			}
			slots := float64(t.Slots)
			if !t.placed {
				slots /= max(t.latencyRatio, 1)
			}
			if t.cold(now) {
				slots *= coldCapacityFraction
			}
			capacity[zone] += slots
		}
	}
	return capacity
}

// demand adds up the hosts' demand by zone. While the sum is less than one request in flight, it
// counts as not measured, and the same demand is assumed in all zones.
func (s *Selector) demand(
	now timer.Instant, name string, totalCapacity float64,
) (demand map[string]float64, sum float64, measured bool) {
	demand = map[string]float64{}
	for _, d := range s.demands {
		if now.Sub(d.UpdatedAt) <= demandTTL {
			demand[d.Zone] += d.Concurrency[name]
			sum += d.Concurrency[name]
		}
	}
	if sum >= 1 {
		return demand, sum, true
	}
	for zone := range s.cfg.Regions {
		demand[zone] = initialUtilization * totalCapacity / float64(len(s.cfg.Regions))
	}
	return demand, initialUtilization * totalCapacity, false
}
