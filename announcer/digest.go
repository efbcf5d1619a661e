package announcer

import (
	"sort"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/fescuethread/fescuethread/messenger"
	"github.com/fescuethread/fescuethread/timer"
)

const (
	// digestTimeout is how long the hosts of another availability zone count as live after the
	// measurement of the newest digest.
	digestTimeout = 3 * time.Second
	// relayTimeout is how long a digest is passed on after its measurement.
	relayTimeout = 10 * time.Second
	// maxMeshDigests and maxLinkDigests are the maximum numbers of digests in a heartbeat within a
	// mesh and between areas; successive heartbeats rotate through the zones.
	maxMeshDigests = 2
	maxLinkDigests = 6
)

// zoneState is what is known of another availability zone by digests.
type zoneState struct {
	region string
	// digest is the newest digest, measured at measuredAt on this host's clock.
	digest     *messenger.Digest
	measuredAt timer.Instant
	// entry is how the digest came to this host.
	entry entry
	// live and serving hold the zone's hosts by the newest digest about the same members as those
	// that are registered here; it was measured at knownAt.
	live    map[string]bool
	serving map[string]bool
	knownAt timer.Instant
}

// entry says how a digest came to a host, which decides to whom it is passed on.
type entry uint8

const (
	// entryMesh is a digest from the own mesh that entered the region in another zone; it isn't
	// passed on.
	entryMesh entry = iota
	// entryZone is a digest from a carrier of another zone of the region; it is passed on in the
	// mesh.
	entryZone
	// entryRegion is a digest from a carrier of another region; it is passed on in the mesh and to
	// the other zones of the region.
	entryRegion
	// entryRegionMesh is such a digest that came by the mesh; it is passed on to the other zones.
	entryRegionMesh
)

// entryOf returns how a digest came that a peer has sent.
func entryOf(self, peer Member, d *messenger.Digest) entry {
	switch {
	case peer.Region != self.Region:
		return entryRegion
	case peer.Zone != self.Zone:
		return entryZone
	case d.GetEntered():
		return entryRegionMesh
	}
	return entryMesh
}

// relays reports whether a digest is passed on over a link.
func (z *zoneState) relays(l link, ownRegion string) bool {
	switch l {
	case linkMesh:
		return z.entry == entryZone || z.entry == entryRegion
	case linkZone:
		return z.entry == entryRegion || z.entry == entryRegionMesh
	}
	return z.region == ownRegion
}

// membersHash returns a hash of the hosts' names, which must be sorted.
func membersHash(names []string) uint32 {
	d := xxhash.New()
	for _, n := range names {
		_, _ = d.WriteString(n)
		_, _ = d.WriteString("\x00")
	}
	return uint32(d.Sum64())
}

// bits returns a bitmap with a bit for each name that set accepts, in their order.
func bits(names []string, set func(name string) bool) []byte {
	b := make([]byte, (len(names)+7)/8)
	for i, n := range names {
		if set(n) {
			b[i/8] |= 1 << (i % 8)
		}
	}
	return b
}

// namesOf returns the names whose bit is set.
func namesOf(names []string, b []byte) map[string]bool {
	set := map[string]bool{}
	for i, n := range names {
		if i/8 < len(b) && b[i/8]&(1<<(i%8)) != 0 {
			set[n] = true
		}
	}
	return set
}

// zoneMembers are the registered hosts of an availability zone.
type zoneMembers struct {
	zone   string
	region string
	// names are the sorted names of the hosts, hash their hash.
	names []string
	hash  uint32
}

// groupByZone returns the members of each zone by the hash of its name; members must be sorted.
func groupByZone(members []Member) map[uint32]*zoneMembers {
	zones := map[uint32]*zoneMembers{}
	for _, m := range members {
		z := zones[zoneHash(m.Zone)]
		if z == nil {
			z = &zoneMembers{zone: m.Zone, region: m.Region}
			zones[zoneHash(m.Zone)] = z
		}
		z.names = append(z.names, m.Name)
	}
	for _, z := range zones {
		z.hash = membersHash(z.names)
	}
	return zones
}

// zoneHash returns the hash that stands for a zone's name in messages.
func zoneHash(name string) uint32 {
	return uint32(xxhash.Sum64String(name))
}

// ownDigest returns the digest of this host's zone, without its demand; selfServing says whether
// this host serves callers.
func (r *Roster) ownDigest(now timer.Instant, self Member, selfServing bool) *messenger.Digest {
	r.mu.Lock()
	defer r.mu.Unlock()
	var names []string
	if z := r.byZone[zoneHash(self.Zone)]; z != nil {
		names = z.names
	}
	return &messenger.Digest{
		Zone:    zoneHash(self.Zone),
		Members: membersHash(names),
		Live: bits(names, func(n string) bool {
			return n == self.Name || r.peers[n] != nil && r.peers[n].Live(now, HeartbeatTimeout)
		}),
		Serving: bits(names, func(n string) bool {
			if n == self.Name {
				return selfServing
			}
			return r.peers[n] != nil && r.peers[n].Serving(now, HeartbeatTimeout)
		}),
	}
}

// relayedDigests returns the digests to pass on over a link; if there are too many, round selects
// them by turns.
func (r *Roster) relayedDigests(
	now timer.Instant, self Member, l link, round uint64,
) []*messenger.Digest {
	r.mu.Lock()
	defer r.mu.Unlock()
	var zones []string
	for zone, z := range r.zones {
		if now.Sub(z.measuredAt) <= relayTimeout && z.relays(l, self.Region) {
			zones = append(zones, zone)
		}
	}
	sort.Strings(zones)
	limit := maxLinkDigests
	if l == linkMesh {
		limit = maxMeshDigests
	}
	n := min(len(zones), limit)
	list := make([]*messenger.Digest, 0, n)
	for i := range n {
		z := r.zones[zones[(int(round%uint64(len(zones)))*limit+i)%len(zones)]]
		d := &messenger.Digest{
			Zone: z.digest.GetZone(), Members: z.digest.GetMembers(), Live: z.digest.GetLive(),
			Serving: z.digest.GetServing(), Works: z.digest.GetWorks(),
			Age:     ageMillis(now, z.measuredAt),
			Entered: l == linkMesh && z.entry == entryRegion,
		}
		list = append(list, d)
	}
	return list
}

// ageMillis returns the time since an instant in milliseconds, rounded up.
func ageMillis(now, at timer.Instant) uint32 {
	return uint32(max(now.Sub(at).Milliseconds(), 0) + 1)
}

// recordDigest keeps a digest of another zone if it is newer than the last one; it returns the
// zone's name, and whether it is newer.
func (r *Roster) recordDigest(
	now timer.Instant, d *messenger.Digest, e entry,
) (zone string, newer bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	members := r.byZone[d.GetZone()]
	measuredAt := now.Add(-time.Duration(d.GetAge()) * time.Millisecond)
	if members == nil || members.zone == r.selfZone || now.Sub(measuredAt) > relayTimeout {
		return "", false
	}
	z := r.zones[members.zone]
	if z == nil {
		z = &zoneState{}
		r.zones[members.zone] = z
	}
	if measuredAt <= z.measuredAt {
		return "", false
	}
	z.region, z.digest, z.measuredAt, z.entry = members.region, d, measuredAt, e
	if members.hash == d.GetMembers() {
		z.live = namesOf(members.names, d.GetLive())
		z.serving = namesOf(members.names, d.GetServing())
		z.knownAt = measuredAt
		r.markSeen(z.live, measuredAt)
	}
	return members.zone, true
}

// markSeen records when the hosts of a digest were live.
func (r *Roster) markSeen(live map[string]bool, at timer.Instant) {
	for name := range live {
		if p, ok := r.peers[name]; ok {
			p.SeenAt = max(p.SeenAt, at)
		}
	}
}
