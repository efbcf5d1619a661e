package router

import (
	"slices"
	"time"
)

// Picker picks one of n entry hosts.
type Picker interface {
	IntN(n int) int
}

// candidate is a zone that may be tried.
type candidate struct {
	zone  Zone
	rule  Rule
	delay time.Duration
}

// Decide orders the zones for a request. Prefer rules go first, then the expected delay: the trip
// and the wait. Zones without a fresh report follow in the order of distance and standing weight.
func Decide(region string, zones []Zone, p Picker) Decision {
	var d Decision
	candidates := make([]candidate, 0, len(zones))
	for _, z := range zones {
		reason, ok := usable(z)
		if !ok {
			d.Passed = append(d.Passed, Omission{Zone: z.Name, Reason: reason})
			continue
		}
		candidates = append(candidates, assess(region, z))
	}
	slices.SortStableFunc(candidates, compare)
	for _, c := range candidates[:min(len(candidates), maxChoices)] {
		d.Choices = append(d.Choices, choose(c, p))
	}
	return d
}

func usable(z Zone) (OmissionReason, bool) {
	switch {
	case z.Draining:
		return OmitDraining, false
	case !z.Linked:
		return OmitNoLink, false
	case !z.Near && len(z.Hosts) == 0:
		return OmitNoHost, false
	case z.Load.fresh() && z.Load.Ready == 0:
		return OmitNoSlots, false
	case !z.Near && z.Load.fresh() && z.InFlight >= z.allotment():
		return OmitAllotment, false
	default:
		return "", true
	}
}

func assess(region string, z Zone) candidate {
	c := candidate{zone: z, delay: z.RTT}
	switch {
	case z.Rank > 0:
		c.rule = RulePrefer
	case z.Near:
		c.rule = RuleNear
	case !z.Load.fresh():
		c.rule = RuleStanding
	case z.Region == region:
		c.rule = RuleRegion
	default:
		c.rule = RuleShift
	}
	if z.Load.fresh() {
		c.delay += z.Load.delay()
	}
	return c
}

// compare puts preferred regions first, zones with fresh reports before others, then the lower
// delay, then the larger standing weight.
func compare(a, b candidate) int {
	if by := rank(a.zone) - rank(b.zone); by != 0 {
		return by
	}
	if a.known() != b.known() {
		if a.known() {
			return -1
		}
		return 1
	}
	if a.delay != b.delay {
		return int(a.delay - b.delay)
	}
	return b.zone.Weight - a.zone.Weight
}

// known reports whether the zone's state is known: by a fresh report, or because it is near.
func (c candidate) known() bool {
	return c.zone.Near || c.zone.Load.fresh()
}

func rank(z Zone) int {
	if z.Rank == 0 {
		return unranked
	}
	return z.Rank
}

// unranked puts zones that no rule prefers behind all others.
const unranked = 1 << 20

func choose(c candidate, p Picker) Choice {
	choice := Choice{Zone: c.zone.Name, Region: c.zone.Region, Rule: c.rule, Delay: c.delay}
	if !c.zone.Near {
		choice.Host = c.zone.Hosts[p.IntN(len(c.zone.Hosts))]
	}
	return choice
}
