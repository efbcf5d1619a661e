package detector

import (
	"math"
	"slices"
	"time"

	"github.com/fescuethread/fescuethread/messenger"
	"github.com/fescuethread/fescuethread/timer"
)

// NoContact is the contact age of a host that never reached the platform.
const NoContact = time.Duration(math.MaxInt64)

// noContact is NoContact on the wire, in milliseconds.
const noContact = math.MaxUint32

// MemberView is what the table concludes of one host.
type MemberView struct {
	// Host is the host's place in the inventory.
	Host HostInfo
	// State is the conclusion.
	State State
	// Reason is the part of the standing rule that led to it.
	Reason string
	// Age is the time since its heartbeat last grew, or that of its zone for a remote host.
	Age time.Duration
	// Incarnation is the highest incarnation heard of.
	Incarnation uint64
	// Sequence is the highest sequence of that incarnation.
	Sequence uint64
	// Documents are the versions it holds; they are known of direct peers.
	Documents []*messenger.DocumentVersion
	// Contact is the age of its newest contact with the platform.
	Contact time.Duration
	// Loads are its own loads; they are known of direct peers.
	Loads []*messenger.Load
	// Successor is the host that adopted its operations.
	Successor string
	// Suspects are fingerprints of requests suspected of crashing targets.
	Suspects [][]byte
}

// LoadZone returns the zone whose slots a load is of: the one it names, or its reporter's own.
func LoadZone(own string, l *messenger.Load) string {
	if l.GetAz() != "" {
		return l.GetAz()
	}
	return own
}

// ZoneView is what the table concludes of one availability zone.
type ZoneView struct {
	// Name is the zone's name.
	Name string
	// Region is its region.
	Region string
	// State is live, suspect, dead or unknown.
	State State
	// Age is the time since the newest heartbeat of the zone.
	Age time.Duration
	// Hosts is the number of hosts in the inventory.
	Hosts int
	// Heard is the number of hosts that are live, suspect or leaving.
	Heard int
	// Contact is the lowest age of a contact with the platform.
	Contact time.Duration
	// Loads are the sums over the zone's hosts.
	Loads []*messenger.Load
	// Suspects are fingerprints of requests suspected of crashing targets.
	Suspects [][]byte
}

// RegionView is how much of a region can be heard.
type RegionView struct {
	// Name is the region's name.
	Name string
	// Zones is the number of its availability zones.
	Zones int
	// Heard is the number of those that are live or suspect.
	Heard int
	// Age is the time since the newest heartbeat of the region.
	Age time.Duration
}

// Reach tells how much of the fleet can be heard; silence of a whole place is no proof of a stop.
type Reach struct {
	// Zones are all availability zones but the own.
	Zones []ZoneView
	// Regions are all regions; the own counts as heard.
	Regions []RegionView
}

// Snapshot is the whole table at one instant.
type Snapshot struct {
	// Self is the own host.
	Self MemberView
	// Members are the other hosts by name.
	Members []MemberView
	// Zones are all availability zones by name.
	Zones []ZoneView
	// Replaced is set when a higher incarnation of the own host was heard of.
	Replaced bool
}

// State returns the conclusion on one host.
func (t *Table) State(now timer.Instant, host string) State {
	if host == t.cfg.Host {
		return t.ownState()
	}
	e := t.entries[host]
	if e == nil {
		return StateUnknown
	}
	state, _ := t.judge(now, e)
	return state
}

func (t *Table) ownState() State {
	switch t.self.State {
	case messenger.State_STATE_JOINING:
		return StateJoining
	case messenger.State_STATE_LEAVING:
		return StateLeaving
	case messenger.State_STATE_LEFT:
		return StateLeft
	default:
		return StateLive
	}
}

// Member returns the conclusion on one host and whether the host is in the inventory.
func (t *Table) Member(now timer.Instant, host string) (MemberView, bool) {
	if host == t.cfg.Host {
		return t.ownView(now), true
	}
	e := t.entries[host]
	if e == nil {
		return MemberView{}, false
	}
	return t.view(now, e), true
}

// Members returns the conclusions on all other hosts by name.
func (t *Table) Members(now timer.Instant) []MemberView {
	out := make([]MemberView, 0, len(t.names))
	for _, name := range t.names {
		out = append(out, t.view(now, t.entries[name]))
	}
	return out
}

func (t *Table) view(now timer.Instant, e *entry) MemberView {
	state, reason := t.judge(now, e)
	heard := e.heard
	if !t.direct(e) {
		heard = t.zones[e.info.Zone].heard
	}
	v := MemberView{
		Host:        e.info,
		State:       state,
		Reason:      reason,
		Age:         now.Sub(heard),
		Incarnation: e.member.Incarnation,
		Sequence:    e.member.Sequence,
		Contact:     NoContact,
		Successor:   e.member.Successor,
	}
	if t.direct(e) {
		report := e.current()
		v.Documents = report.Documents
		v.Contact = e.contactAge(now)
		v.Loads = report.Loads
		v.Suspects = report.Suspects
	}
	return v
}

func (t *Table) ownView(now timer.Instant) MemberView {
	return MemberView{
		Host:        HostInfo{Name: t.cfg.Host, Zone: t.cfg.Zone, Region: t.cfg.Region},
		State:       t.ownState(),
		Reason:      reasonSays,
		Incarnation: t.cfg.Incarnation,
		Sequence:    t.self.Sequence,
		Documents:   t.self.Documents,
		Contact:     t.contactAge(now),
		Loads:       t.self.Loads,
		Successor:   t.self.Successor,
		Suspects:    t.self.Suspects,
	}
}

func (t *Table) contactAge(now timer.Instant) time.Duration {
	if !t.reached {
		return NoContact
	}
	return now.Sub(t.contact)
}

// current is the newest full heartbeat of the host's incarnation; it may be empty.
func (e *entry) current() *messenger.Member {
	if e.report == nil || e.report.Incarnation != e.member.Incarnation {
		return &messenger.Member{Contact: noContact}
	}
	return e.report
}

func (e *entry) contactAge(now timer.Instant) time.Duration {
	return contactAge(now, e.current(), e.reported)
}

func contactAge(now timer.Instant, m *messenger.Member, heard timer.Instant) time.Duration {
	if m.Contact >= noContact {
		return NoContact
	}
	return time.Duration(m.Contact)*time.Millisecond + now.Sub(heard)
}

func encodeContact(age time.Duration) uint64 {
	return uint64(min(max(age.Milliseconds(), 0), noContact))
}

// Zones returns the conclusions on all availability zones by name.
func (t *Table) Zones(now timer.Instant) []ZoneView {
	out := make([]ZoneView, 0, len(t.zones))
	for _, z := range t.zones {
		out = append(out, t.zoneView(now, z))
	}
	slices.SortFunc(out, func(a, b ZoneView) int {
		if a.Name < b.Name {
			return -1
		}
		return 1
	})
	return out
}

func (t *Table) zoneView(now timer.Instant, z *zone) ZoneView {
	v := ZoneView{Name: z.name, Region: z.region, Hosts: len(z.hosts), Contact: NoContact}
	v.Age = now.Sub(z.heard)
	switch {
	case z.name == t.cfg.Zone:
		v.Age = 0
		t.addUp(now, z, &v)
	case t.mesh():
		t.addUp(now, z, &v)
	default:
		t.summarise(now, z, &v)
	}
	v.State = t.zoneState(z, v)
	return v
}

func (t *Table) zoneState(z *zone, v ZoneView) State {
	suspectAfter, deadAfter := SuspectAfter, DeadAfter
	if !t.mesh() {
		suspectAfter, deadAfter = t.remoteBounds()
	}
	switch {
	case z.name == t.cfg.Zone:
		return StateLive
	case v.Age >= deadAfter:
		return StateDead
	case !z.known:
		return StateUnknown
	case v.Age >= suspectAfter:
		return StateSuspect
	default:
		return StateLive
	}
}

// addUp fills a view of a zone whose hosts are all direct peers.
func (t *Table) addUp(now timer.Instant, z *zone, v *ZoneView) {
	sum := newSum(nil)
	for _, name := range z.hosts {
		m, _ := t.Member(now, name)
		if !heard(m.State) {
			continue
		}
		v.Heard++
		v.Contact = min(v.Contact, m.Contact)
		v.Suspects = union(v.Suspects, m.Suspects)
		sum.add(m.Loads)
	}
	v.Loads = sum.loads()
}

// summarise fills a view of a remote zone from its speakers' heartbeats.
func (t *Table) summarise(now timer.Instant, z *zone, v *ZoneView) {
	for _, name := range z.hosts {
		if heard(t.State(now, name)) {
			v.Heard++
		}
	}
	if z.summary == nil {
		return
	}
	v.Contact = contactAge(now, z.summary, z.summarised)
	v.Loads = z.summary.Loads
	v.Suspects = z.summary.Suspects
}

func heard(s State) bool {
	switch s {
	case StateLive, StateSuspect, StateJoining, StateLeaving:
		return true
	default:
		return false
	}
}

// Reachable returns how much of each other zone and of each region can be heard.
func (t *Table) Reachable(now timer.Instant) Reach {
	var reach Reach
	regions := make(map[string]*RegionView)
	for _, z := range t.Zones(now) {
		r := regions[z.Region]
		if r == nil {
			r = &RegionView{Name: z.Region, Age: z.Age}
			regions[z.Region] = r
		}
		r.Zones++
		r.Age = min(r.Age, z.Age)
		if z.State == StateLive || z.State == StateSuspect {
			r.Heard++
		}
		if z.Name != t.cfg.Zone {
			reach.Zones = append(reach.Zones, z)
		}
	}
	for _, r := range regions {
		reach.Regions = append(reach.Regions, *r)
	}
	slices.SortFunc(reach.Regions, func(a, b RegionView) int {
		if a.Name < b.Name {
			return -1
		}
		return 1
	})
	return reach
}

// Readers returns the hosts of a zone that read the platform: the live ones of lowest name.
func (t *Table) Readers(now timer.Instant, zone string) []string {
	z := t.zones[zone]
	if z == nil {
		return nil
	}
	live := t.live(now, z)
	return live[:min(len(live), readersPerZone)]
}

// IsReader reports whether this host reads the platform for its zone.
func (t *Table) IsReader(now timer.Instant) bool {
	return slices.Contains(t.Readers(now, t.cfg.Zone), t.cfg.Host)
}

// Highest returns the highest version of a document heard of and the present hosts that hold it.
func (t *Table) Highest(now timer.Instant, document string) (uint64, []string) {
	var top uint64
	var holders []string
	for _, name := range t.names {
		e := t.entries[name]
		version := e.version(document)
		if version == 0 || version < top {
			continue
		}
		if version > top {
			top = version
			holders = nil
		}
		if heard(t.State(now, name)) {
			holders = append(holders, name)
		}
	}
	return top, holders
}

func (e *entry) version(document string) uint64 {
	for _, d := range e.current().Documents {
		if d.Name == document {
			return d.Version
		}
	}
	return 0
}

// Snapshot returns the whole table.
func (t *Table) Snapshot(now timer.Instant) Snapshot {
	return Snapshot{
		Self:     t.ownView(now),
		Members:  t.Members(now),
		Zones:    t.Zones(now),
		Replaced: t.replaced,
	}
}
