package selector

import (
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/fescuethread/fescuethread/placer"
)

// utilization returns the load per slot; a slow target counts as more loaded.
func (x *search) utilization(t *target) float64 {
	return t.load(x.now) * t.latencyRatio * t.slowdown.factor(x.now) / float64(t.Slots)
}

func (x *search) hasFreeSlot(t *target) bool {
	return t.load(x.now) < float64(t.Slots)
}

// available reports whether the target has a free slot and is expected to respond in time.
func (x *search) available(t *target) bool {
	return t != nil && x.belowColdLimit(t) && x.hasFreeSlot(t) && x.inTime(t)
}

func (x *search) canQueue(t *target) bool {
	return t != nil && x.belowColdLimit(t) && t.load(x.now) < maxLoadRatio*float64(t.Slots)
}

// wait estimates how long the request would wait for a slot of the target.
func (x *search) wait(t *target) time.Duration {
	slots := float64(t.Slots)
	waiting := max(t.load(x.now)+1-slots, 0)
	return time.Duration(float64(x.serviceLatency) * x.slowness(t) * waiting / slots)
}

// expectedLatency estimates the time to the response, including the wait.
func (x *search) expectedLatency(t *target) time.Duration {
	return x.wait(t) + time.Duration(float64(x.baseLatency)*x.slowness(t))
}

// slowness estimates how many times longer than the average the target takes, by its responses and
// by what it says of its machine.
func (x *search) slowness(t *target) float64 {
	return max(t.latencyRatio, t.slowdown.factor(x.now), 1)
}

// inTime reports whether the wait is within maxWait and the response is expected before the
// timeout. Before the route's first response, only the wait counts.
func (x *search) inTime(t *target) bool {
	if x.wait(t) > x.maxWait {
		return false
	}
	return x.svc.route(x.q.Route).latency == 0 || x.expectedLatency(t) < x.q.Timeout
}

// belowColdLimit reports whether this host may send the target another request now. A target that
// neither is cold nor may have become so has no limit.
func (x *search) belowColdLimit(t *target) bool {
	if !t.limited(x.now) || x.svc.config.ColdRate <= 0 {
		return true
	}
	return !x.now.Before(t.quietUntil) && t.recent(x.now) < x.s.coldLimit(t, x.svc)
}

// coldLimit returns how many requests this host may send to a cold target within coldWindow. Most
// of the limit for all hosts together is for the hosts of the target's region, whose callers it
// serves first; without such hosts, all of it is for the others.
func (s *Selector) coldLimit(t *target, svc *service) int {
	limit := int(coldSafetyFraction *
		(svc.config.ColdRate*max(s.cfg.ColdExcess, 1) + s.cfg.ColdSlack))
	region := s.cfg.Regions[t.Zone]
	inside := s.hostsByRegion[region]
	outsideLimit := int(outsideFraction * float64(limit))
	switch {
	case len(inside) == 0:
		return s.coldShare(t, s.hosts, limit)
	case len(inside) == len(s.hosts):
		outsideLimit = 0
	}
	if region == s.cfg.Regions[s.cfg.Zone] {
		return s.coldShare(t, inside, limit-outsideLimit)
	}
	outside := slices.DeleteFunc(slices.Clone(s.hosts), func(h Host) bool {
		return s.cfg.Regions[h.Zone] == region
	})
	return s.coldShare(t, outside, outsideLimit)
}

// coldShare divides a limit evenly among hosts and returns this host's part. What the division
// leaves goes to the hosts that rank first for the target by rendezvous hashing, one each.
func (s *Selector) coldShare(t *target, hosts []Host, limit int) int {
	n := len(hosts)
	if !slices.ContainsFunc(hosts, func(h Host) bool { return h.Name == s.cfg.Host }) {
		n++
	}
	share := limit / n
	if s.rank(t, hosts) < limit%n {
		share++
	}
	return share
}

// rank returns this host's position among the hosts by rendezvous hashing for the target.
func (s *Selector) rank(t *target, hosts []Host) int {
	score := placer.Mix(t.hash ^ xxhash.Sum64String(s.cfg.Host))
	ahead := 0
	for _, h := range hosts {
		if h.Name != s.cfg.Host && placer.Mix(t.hash^xxhash.Sum64String(h.Name)) > score {
			ahead++
		}
	}
	return ahead
}
