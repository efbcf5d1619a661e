package router

import (
	"slices"
	"time"
)

// Picker picks one of n possibilities at random.
type Picker interface {
	IntN(n int) int
}

// candidate is a zone that may be tried.
type candidate struct {
	zone  *Zone
	rule  Rule
	delay time.Duration
}

// Decide orders the zones for a request. Prefer rules go first, then the expected delay: the trip
// and the wait. Among zones of nearly equal delay the own goes first and the others in random
// order. Zones without a fresh report follow in the order of distance and standing weight.
func Decide(region string, zones []Zone, p Picker) Decision {
	var d Decision
	candidates := make([]candidate, 0, len(zones))
	for i := range zones {
		z := &zones[i]
		reason, ok := usable(z)
		if !ok {
			d.Passed = append(d.Passed, Omission{Zone: z.Name, Reason: reason})
			continue
		}
		candidates = append(candidates, assess(region, z))
	}
	slices.SortStableFunc(candidates, compare)
	shuffle(candidates, p)
	preferNear(candidates)
	for _, c := range candidates[:min(len(candidates), maxChoices)] {
		d.Choices = append(d.Choices, choose(c, p))
	}
	return d
}

func usable(z *Zone) (OmissionReason, bool) {
	switch {
	case z.Draining:
		return OmitDraining, false
	case z.Unlinked:
		return OmitNoLink, false
	case z.known() && z.Load.fresh() && z.Load.Ready == 0:
		return OmitNoSlots, false
	case z.Near:
		return "", true
	case len(z.Hosts) == 0:
		return OmitNoHost, false
	case z.room() <= 0:
		return OmitAllotment, false
	default:
		return "", true
	}
}

func assess(region string, z *Zone) candidate {
	c := candidate{zone: z, delay: z.RTT}
	switch {
	case z.Rank > 0:
		c.rule = RulePrefer
	case z.Near:
		c.rule = RuleNear
	case !z.known():
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

// compare puts preferred regions first, zones whose state is known before others, then the lower
// delay, then the larger standing weight.
func compare(a, b candidate) int {
	if by := compareGroup(a, b); by != 0 {
		return by
	}
	if a.delay != b.delay {
		return int(a.delay - b.delay)
	}
	return b.zone.Weight - a.zone.Weight
}

// compareGroup orders what no delay outweighs.
func compareGroup(a, b candidate) int {
	if by := rank(a.zone) - rank(b.zone); by != 0 {
		return by
	}
	switch {
	case a.zone.known() == b.zone.known():
		return 0
	case a.zone.known():
		return -1
	default:
		return 1
	}
}

func rank(z *Zone) int {
	if z.Rank == 0 {
		return unranked
	}
	return z.Rank
}

// unranked puts zones that no rule prefers behind all others.
const unranked = 1 << 20

// shuffle puts the known remote zones whose delays are nearly equal to the best one's in random
// order, by the room in them, so that hosts with the same report do not all choose the same zone.
func shuffle(candidates []candidate, p Picker) {
	first := slices.IndexFunc(candidates, func(c candidate) bool { return !c.zone.Near })
	if first < 0 || !candidates[first].zone.known() {
		return
	}
	rest := candidates[first:]
	n := 1
	for n < len(rest) && nearlyEqual(rest[0], rest[n]) {
		n++
	}
	for i := range min(n-1, maxChoices) {
		j := i + pick(rest[i:n], p)
		rest[i], rest[j] = rest[j], rest[i]
	}
}

func nearlyEqual(a, b candidate) bool {
	return !b.zone.Near && compareGroup(a, b) == 0 && b.delay-a.delay <= nearEqual
}

// pick picks a candidate with a probability in proportion to its room.
func pick(candidates []candidate, p Picker) int {
	sum := 0
	for _, c := range candidates {
		sum += c.zone.room()
	}
	n := p.IntN(sum)
	for i, c := range candidates {
		n -= c.zone.room()
		if n < 0 {
			return i
		}
	}
	return 0
}

// preferNear moves the own zone before zones that are better by a small difference only.
func preferNear(candidates []candidate) {
	near := slices.IndexFunc(candidates, func(c candidate) bool { return c.zone.Near })
	for ; near > 0; near-- {
		before := candidates[near-1]
		own := candidates[near]
		if compareGroup(before, own) != 0 || own.delay-before.delay > nearEqual {
			return
		}
		candidates[near-1], candidates[near] = own, before
	}
}

func choose(c candidate, p Picker) Choice {
	choice := Choice{Zone: c.zone.Name, Region: c.zone.Region, Rule: c.rule, Delay: c.delay}
	if !c.zone.Near {
		choice.Host = c.zone.Hosts[p.IntN(len(c.zone.Hosts))]
	}
	return choice
}
