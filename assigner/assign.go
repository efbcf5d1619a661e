package assigner

import "slices"

// Standing is what is known of an entry host.
type Standing int

const (
	// StandingPresent is a host that is heard, or of which nothing is known yet.
	StandingPresent Standing = iota
	// StandingSilent is a host that has not been heard for so long that it is taken for dead.
	StandingSilent
	// StandingGone is a host that has announced its end or that the platform's list proves gone.
	StandingGone
)

// Host is an entry host as the deciding host knows it.
type Host struct {
	// Name identifies the host.
	Name string
	// Zone is its availability zone.
	Zone string
	// Region is its region.
	Region string
	// Standing is what is known of it.
	Standing Standing
}

// Rule names the reason of an assignment.
type Rule string

const (
	// RuleOwn gives a zone's slots to its own entry hosts.
	RuleOwn Rule = "own hosts"
	// RuleStandby gives them to a host of the same region, because the zone's own are gone.
	RuleStandby Rule = "standby of the region"
	// RuleNobody gives them to nobody, because the region has no host left.
	RuleNobody Rule = "no host left"
)

// Assignment is the hosts that hold a zone's slots, each an equal part.
type Assignment struct {
	// Zone is the availability zone.
	Zone string
	// Holders are sorted by name.
	Holders []string
	// Rule is the reason.
	Rule Rule
}

// Assign decides who holds the slots of a zone. A silent host loses its part only while most of
// the other hosts are heard: who hears few others may be the one that is cut off, and the silent
// host may be serving.
func Assign(zone, region string, hosts []Host) Assignment {
	majority := hearsMost(hosts)
	own := holders(hosts, majority, func(h Host) bool { return h.Zone == zone })
	if len(own) > 0 {
		return Assignment{Zone: zone, Holders: own, Rule: RuleOwn}
	}
	near := holders(hosts, true, func(h Host) bool { return h.Region == region })
	if len(near) > 0 {
		return Assignment{Zone: zone, Holders: near[:1], Rule: RuleStandby}
	}
	return Assignment{Zone: zone, Rule: RuleNobody}
}

func hearsMost(hosts []Host) bool {
	heard := 0
	for _, h := range hosts {
		if h.Standing == StandingPresent {
			heard++
		}
	}
	return 2*heard > len(hosts)
}

func holders(hosts []Host, majority bool, belongs func(Host) bool) []string {
	var names []string
	for _, h := range hosts {
		if !belongs(h) || h.Standing == StandingGone {
			continue
		}
		if h.Standing == StandingSilent && majority {
			continue
		}
		names = append(names, h.Name)
	}
	slices.Sort(names)
	return names
}
