package announcer

import (
	"sort"

	"github.com/cespare/xxhash/v2"
)

const (
	// MaxMeshHosts is the number of hosts up to which each host sends heartbeats to each other one.
	MaxMeshHosts = 40
	// carriersPerArea is the number of hosts on each side that exchange heartbeats between two areas;
	// with two, the loss of one leaves a way.
	carriersPerArea = 2
)

// link says why a host sends heartbeats to another one.
type link uint8

const (
	// linkMesh joins all hosts of a small fleet, or those of an availability zone.
	linkMesh link = iota
	// linkZone joins carriers of two availability zones of a region.
	linkZone
	// linkRegion joins carriers of two regions.
	linkRegion
)

// recipient is a host that gets this host's heartbeats.
type recipient struct {
	Member
	link link
}

// topology decides which hosts exchange heartbeats. It depends only on the registered hosts and on
// which of them are live, so the hosts need no election. In a large fleet, the hosts of an
// availability zone form a mesh, and a few carriers of it exchange heartbeats with carriers of the
// other zones of the region; carriers of a region do the same between regions. Views of who is
// live differ for a moment; then there is a carrier more or less.
type topology struct {
	self    Member
	members []Member
	// live reports whether a host is known to be live.
	live func(name string) bool
}

// sparse reports whether not all hosts exchange heartbeats with each other.
func (t *topology) sparse() bool {
	return len(t.members) > MaxMeshHosts
}

// recipients returns the hosts that get this host's heartbeats. The round, which grows with each
// heartbeat, selects one host of each area in which too few are known to be live.
func (t *topology) recipients(round uint64) []recipient {
	var list []recipient
	var zone, region []Member
	for _, m := range t.members {
		if m.Zone == t.self.Zone {
			zone = append(zone, m)
		}
		if m.Region == t.self.Region {
			region = append(region, m)
		}
		if m.Name != t.self.Name && (!t.sparse() || m.Zone == t.self.Zone) {
			list = append(list, recipient{m, linkMesh})
		}
	}
	if !t.sparse() {
		return list
	}
	list = t.addLinks(list, linkZone, zone, t.self.Zone, areasOf(region, zoneOf), round)
	return t.addLinks(list, linkRegion, region, t.self.Region, areasOf(t.members, regionOf), round)
}

func zoneOf(m Member) string { return m.Zone }

func regionOf(m Member) string { return m.Region }

// areasOf groups members by area.
func areasOf(members []Member, area func(Member) string) map[string][]Member {
	areas := map[string][]Member{}
	for _, m := range members {
		areas[area(m)] = append(areas[area(m)], m)
	}
	return areas
}

// addLinks adds the carriers of the other areas to which this host is a carrier of its own area.
func (t *topology) addLinks(
	list []recipient, l link, own []Member, ownArea string, areas map[string][]Member, round uint64,
) []recipient {
	names := make([]string, 0, len(areas))
	for name := range areas {
		names = append(names, name)
	}
	sort.Strings(names)
	ownLive, _ := t.split(own, ownArea)
	for _, area := range names {
		if area == ownArea || !carries(t.self.Name, ownLive, position(names, ownArea, area)) {
			continue
		}
		live, unknown := t.split(areas[area], area)
		partners := carriers(live, position(names, area, ownArea))
		for _, m := range partners {
			list = append(list, recipient{m, l})
		}
		if len(partners) < carriersPerArea && len(unknown) > 0 {
			list = append(list, recipient{unknown[round%uint64(len(unknown))], l})
		}
	}
	return list
}

// position returns the number of the other area among all areas but the own one.
func position(names []string, own, other string) int {
	i := sort.SearchStrings(names, other)
	if own < other {
		i--
	}
	return i
}

// split returns the live hosts of an area in the order of their hashes, and the other hosts.
func (t *topology) split(members []Member, area string) (live, unknown []Member) {
	for _, m := range members {
		if m.Name == t.self.Name || t.live(m.Name) {
			live = append(live, m)
		} else {
			unknown = append(unknown, m)
		}
	}
	hashes := make(map[string]uint64, len(live))
	for _, m := range live {
		hashes[m.Name] = xxhash.Sum64String(area + "\x00" + m.Name)
	}
	sort.Slice(live, func(i, j int) bool { return hashes[live[i].Name] < hashes[live[j].Name] })
	return live, unknown
}

// carriers returns an area's carriers to another one, given its live hosts and the position of the
// other area. The hosts take the areas in turn, so that none carries much more than the others.
func carriers(live []Member, position int) []Member {
	n := min(carriersPerArea, len(live))
	list := make([]Member, 0, n)
	for i := range n {
		list = append(list, live[(position*carriersPerArea+i)%len(live)])
	}
	return list
}

func carries(name string, live []Member, position int) bool {
	for _, m := range carriers(live, position) {
		if m.Name == name {
			return true
		}
	}
	return false
}
