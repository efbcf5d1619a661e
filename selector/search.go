package selector

import (
	"math/rand/v2"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/fescuethread/fescuethread/placer"
	"github.com/fescuethread/fescuethread/timer"
)

const (
	// coldMargin is added to the service's cold period for a target that was evacuated or
	// unreachable.
	coldMargin = 500 * time.Millisecond
	// coldWindow is the sliding window in which the requests to a cold target are limited.
	coldWindow = time.Second
	// coldSafetyFraction is the fraction of that limit that the hosts use, as a safety margin.
	coldSafetyFraction = 0.85
	// outsideFraction is the part of it for hosts of other regions than the target's.
	outsideFraction = 0.1
	// cacheMissFactor is how many times longer a target takes for an object that it has not served
	// recently.
	cacheMissFactor = 3.0
	// maxFallbackUtilization is the utilization at which a target stops taking requests for the
	// objects of other targets.
	maxFallbackUtilization = 0.7
	// maxUrgentPriority is the highest priority value that counts as urgent.
	maxUrgentPriority = 1
	// urgentWaitFraction and waitFraction are the fractions of the objective that an urgent and any
	// other request may wait at a target.
	urgentWaitFraction = 0.5
	waitFraction       = 0.2
	// callerRetryWaitFraction is added to that fraction when the caller retries.
	callerRetryWaitFraction = 0.2
	// maxLoadRatio limits the running and waiting requests at a target, as a multiple of its slots.
	maxLoadRatio = 2.5
	// timeoutWaitFraction is the fraction of its timeout that a request without an objective may
	// wait.
	timeoutWaitFraction = 0.2
	// minRetryAfter is the shortest delay after which a caller should retry a refused request, and
	// retryAfterJitter the range of the random delay added to it.
	minRetryAfter    = 100 * time.Millisecond
	retryAfterJitter = 150 * time.Millisecond
)

// search is the state of the choice of one request's target.
type search struct {
	s   *Selector
	now timer.Instant
	q   Query
	svc *service
	// objectHash is random if the request has no object.
	objectHash uint64
	// baseLatency is the average latency of the route, or an assumed one before its first response.
	baseLatency time.Duration
	// serviceLatency is the average latency of the service over all routes.
	serviceLatency time.Duration
	// maxWait is how long the request may wait for a slot of a target.
	maxWait time.Duration
}

func (s *Selector) newSearch(now timer.Instant, q Query, svc *service) *search {
	x := &search{s: s, now: now, q: q, svc: svc, baseLatency: svc.route(q.Route).latency}
	if q.Object != "" {
		x.objectHash = xxhash.Sum64String(q.Route + "\x00" + q.Object)
	} else {
		x.objectHash = rand.Uint64()
	}
	if x.baseLatency == 0 {
		x.baseLatency = max(q.Objective/2, defaultLatency)
	}
	fraction := waitFraction
	if q.Priority <= maxUrgentPriority {
		fraction = urgentWaitFraction
	}
	if q.CallerRetry {
		fraction += callerRetryWaitFraction
	}
	x.maxWait = time.Duration(float64(q.Objective) * fraction)
	if q.Objective <= 0 {
		x.maxWait = time.Duration(float64(q.Timeout) * timeoutWaitFraction)
	}
	x.serviceLatency = svc.meter.latency
	if x.serviceLatency == 0 {
		x.serviceLatency = defaultLatency
	}
	return x
}

// choose chooses a target by the object's places, if it has some, or by the zones' shares.
func (x *search) choose() Choice {
	if x.s.placed() {
		return x.runPlaced()
	}
	return x.run()
}

// run searches the regions in order of preference. It goes on to the next region only if a region
// has no healthy target at all: load alone must not move requests between regions.
func (x *search) run() Choice {
	first := x.preferredZone()
	if first == "" {
		return x.searchUnhealthy()
	}
	for _, region := range x.regions(first) {
		zones := x.zones(region, first)
		if c, ok := x.searchRegion(zones); ok {
			return c
		}
	}
	return x.searchUnhealthy()
}

// searchRegion chooses a target in the zones of one region or refuses the request. It reports
// false if there are no zones.
func (x *search) searchRegion(zones []string) (Choice, bool) {
	if len(zones) == 0 {
		return Choice{}, false
	}
	if x.q.Exclusive {
		return x.idleTarget(zones), true
	}
	if c, ok := x.probe(zones); ok {
		return c, true
	}
	first, second := x.topTwo(zones[0])
	if c, ok := x.byObject(first, second); ok {
		return c, true
	}
	if t := x.leastLoaded(zones); t != nil &&
		x.utilization(t) < maxFallbackUtilization && x.inTime(t) {
		return x.chosen(t, RuleLeastLoaded), true
	}
	return x.refuseOverloaded(first), true
}

// byObject chooses the object's first target even if the request has to wait there, and the second
// one only if the first has reached a limit or would respond too late: an object that is served by
// a further target takes up space in the cache of that target too and evicts another object.
func (x *search) byObject(first, second *target) (Choice, bool) {
	switch {
	case x.available(first):
		return x.chosen(first, RulePrimary), true
	case x.canQueue(first) && x.inTime(first):
		return x.chosen(first, RuleQueued), true
	case x.available(second):
		return x.chosen(second, RuleSecondary), true
	case x.canQueue(second) && x.inTime(second):
		return x.chosen(second, RuleQueued), true
	}
	return Choice{}, false
}

// idleTarget chooses the least loaded target, or refuses the request if that target has requests
// of this host in flight.
func (x *search) idleTarget(zones []string) Choice {
	t := x.leastLoaded(zones)
	if t == nil || t.inFlight > 0 {
		return x.refuse(ReasonFull)
	}
	return x.chosen(t, RuleLeastLoaded)
}

// topTwo returns the object's first and second healthy target in a zone by rendezvous hashing.
func (x *search) topTwo(zone string) (first, second *target) {
	var firstScore, secondScore uint64
	for _, t := range x.svc.zones[zone] {
		if !t.healthy(x.now) || x.tried(t) {
			continue
		}
		score := placer.Mix(t.hash ^ x.objectHash)
		switch {
		case first == nil || score > firstScore:
			second, secondScore = first, firstScore
			first, firstScore = t, score
		case second == nil || score > secondScore:
			second, secondScore = t, score
		}
	}
	return first, second
}

// leastLoaded returns the healthy target with the lowest utilization, or nil.
func (x *search) leastLoaded(zones []string) *target {
	var best *target
	for _, zone := range zones {
		for _, t := range x.svc.zones[zone] {
			if !t.healthy(x.now) || x.tried(t) || !x.belowColdLimit(t) {
				continue
			}
			if best == nil || x.utilization(t) < x.utilization(best) {
				best = t
			}
		}
	}
	return best
}

// probe chooses a failing target of the region to find out whether it has recovered, each target
// at most once per probeInterval. Urgent requests are used as probes only if there was no other
// probe for long, since a service may have nothing but urgent requests; retries never are.
func (x *search) probe(zones []string) (Choice, bool) {
	if len(x.q.Exclude) > 0 {
		return Choice{}, false
	}
	for _, zone := range zones {
		for _, t := range x.svc.zones[zone] {
			if t.usable(x.now) && t.failing() && !t.unresponsive(x.now) &&
				x.probeDue(t) && x.belowColdLimit(t) && x.hasFreeSlot(t) {
				return x.chosen(t, RuleProbe), true
			}
		}
	}
	return Choice{}, false
}

// probeDue reports whether the request may be used as the next probe of a failing target.
func (x *search) probeDue(t *target) bool {
	if x.q.Priority <= maxUrgentPriority {
		return x.now.Sub(max(t.lastProbe, t.lastResponse)) >= urgentProbeInterval
	}
	return x.now.Sub(t.lastProbe) >= probeInterval
}

// searchUnhealthy chooses the target with the lowest failure rate when none is healthy: if all
// targets look unhealthy, the health data is more likely wrong than right.
func (x *search) searchUnhealthy() Choice {
	var best *target
	for zone := range x.s.cfg.Regions {
		if !x.allowed(zone) {
			continue
		}
		for _, t := range x.svc.zones[zone] {
			if !t.accepts(x.now) || t.misdirected || x.tried(t) ||
				!x.belowColdLimit(t) || !x.hasFreeSlot(t) {
				continue
			}
			if best == nil || t.failureRate < best.failureRate {
				best = t
			}
		}
	}
	if best == nil {
		return x.refuseHeldOff()
	}
	return x.chosen(best, RuleUnhealthy)
}

func (x *search) chosen(t *target, rule Rule) Choice {
	return Choice{
		Reason:          ReasonChosen,
		Target:          t.Target,
		Rule:            rule,
		Load:            t.load(x.now),
		ExpectedLatency: x.expectedLatency(t),
		ColdFor:         max(t.coldUntil.Sub(x.now), 0),
		Limited:         t.limited(x.now),
		Recent:          t.recent(x.now),
		target:          t,
		sentAt:          x.now,
		baseLatency:     x.baseLatency,
		queued:          !x.hasFreeSlot(t),
	}
}

// refuseOverloaded refuses a request; the choice shows the load of the object's first target, if
// there is one.
func (x *search) refuseOverloaded(t *target) Choice {
	c := x.refuse(ReasonFull)
	if t != nil {
		c.Target = t.Target
		c.Load = t.load(x.now)
		c.ExpectedLatency = x.expectedLatency(t)
	}
	return c
}

func (x *search) refuse(reason Reason) Choice {
	return Choice{Reason: reason, RetryAfter: minRetryAfter + rand.N(retryAfterJitter)}
}
