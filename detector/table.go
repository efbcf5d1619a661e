package detector

import (
	"slices"
	"sort"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/pkg/errors"

	"github.com/fescuethread/fescuethread/messenger"
	"github.com/fescuethread/fescuethread/timer"
)

const (
	// Period is the time between two heartbeats of a host.
	Period = time.Second
	// SuspectAfter is the time without a new heartbeat after which a direct peer is suspected.
	SuspectAfter = 3 * time.Second
	// DeadAfter is the time without a new heartbeat after which a direct peer counts as dead.
	DeadAfter = 6 * time.Second
	// MeshHosts is the largest fleet in which each host sends its heartbeat to every other.
	MeshHosts = 32
	// LeftKept is the time for which peers go on announcing that a host left.
	LeftKept = 10 * time.Minute

	// zonesPerPeriod is the number of remote zones that a zone reports to in one period.
	zonesPerPeriod = 16
	// readersPerZone is the number of hosts of a zone that read the platform.
	readersPerZone = 2
	// fullTicks is the number of periods between two full heartbeats of an unchanged host in a
	// large fleet; those between are notices.
	fullTicks = 3
	// probeTicks is the number of periods between two heartbeats to a dead peer.
	probeTicks = 3
	// saltRange bounds the salt of a host.
	saltRange = 1 << 20
	// noticesPerDigest bounds the notices of one digest about hosts that changed.
	noticesPerDigest = 4
)

// Config names the own host.
type Config struct {
	// Host is the own name.
	Host string
	// Zone is the own availability zone.
	Zone string
	// Region is the own region.
	Region string
	// Incarnation grows with each start of the process.
	Incarnation uint64
	// Start is the instant of the start.
	Start timer.Instant
}

// HostInfo is a host of the inventory.
type HostInfo struct {
	// Name is the host's name.
	Name string
	// Zone is its availability zone.
	Zone string
	// Region is its region.
	Region string
}

// Message is a digest for one host.
type Message struct {
	// To is the receiving host.
	To string
	// Digest is what to send; it is shared and must not be changed.
	Digest *messenger.Digest
}

// Table is the membership as one host sees it; it isn't safe for concurrent use.
type Table struct {
	cfg      Config
	self     *messenger.Member
	contact  timer.Instant
	reached  bool
	replaced bool
	// changed is set when peers should get a full heartbeat next.
	changed bool
	entries map[string]*entry
	names   []string
	zones   map[string]*zone
	order   []string
	// relays are members told by other zones that the own zone has yet to hear.
	relays map[string]*messenger.Member
	turn   int
	// last is the instant of the last tick or digest.
	last timer.Instant
	// quiet is the instant until which this host tells others of no dead hosts: it just started, or
	// heard nobody a moment ago, so that it was cut off itself.
	quiet timer.Instant
	// salt spreads the receivers that different hosts pick at the same time.
	salt int
}

// entry is what is known of one other host.
type entry struct {
	info   HostInfo
	member *messenger.Member
	// report is the newest heartbeat that was more than a notice, heard at reported.
	report   *messenger.Member
	reported timer.Instant
	// heard is the instant at which the sequence last grew, by the own clock.
	heard timer.Instant
	// born is the instant at which the incarnation was first heard of.
	born timer.Instant
	// changed is the instant of the last change that other zones should hear of soon.
	changed timer.Instant
	// missing is set while the host's own zone reports that it doesn't hear it.
	missing bool
	listing listing
}

// NewTable returns a table that knows only its own host.
func NewTable(cfg Config) (*Table, error) {
	if cfg.Host == "" || cfg.Zone == "" || cfg.Incarnation == 0 {
		err := errors.New("host, zone and incarnation are needed")
		return nil, &Error{Op: "new", Kind: KindSettings, Err: err}
	}
	t := &Table{
		cfg: cfg,
		self: &messenger.Member{
			Host:        cfg.Host,
			Az:          cfg.Zone,
			Incarnation: cfg.Incarnation,
			State:       messenger.State_STATE_LIVE,
		},
		entries: make(map[string]*entry),
		relays:  make(map[string]*messenger.Member),
		last:    cfg.Start,
		quiet:   cfg.Start.Add(DeadAfter),
		salt:    int(xxhash.Sum64String(cfg.Host) % saltRange),
	}
	t.Configure(cfg.Start, nil)
	return t, nil
}

// Configure replaces the list of hosts; what is known of hosts that stay is kept.
func (t *Table) Configure(now timer.Instant, hosts []HostInfo) {
	old := t.entries
	t.entries = make(map[string]*entry, len(hosts))
	for _, info := range hosts {
		if info.Name == t.cfg.Host {
			t.cfg.Region = info.Region
			continue
		}
		e := old[info.Name]
		if e == nil {
			e = &entry{member: &messenger.Member{Host: info.Name}, heard: now}
		}
		e.info = info
		t.entries[info.Name] = e
	}
	t.index(now)
}

func (t *Table) index(now timer.Instant) {
	t.names = t.names[:0]
	for name := range t.entries {
		t.names = append(t.names, name)
	}
	sort.Strings(t.names)
	old := t.zones
	t.zones = make(map[string]*zone)
	t.zoneOf(HostInfo{Name: t.cfg.Host, Zone: t.cfg.Zone, Region: t.cfg.Region}, old, now)
	for _, name := range t.names {
		t.zoneOf(t.entries[name].info, old, now)
	}
	t.order = t.order[:0]
	for name, z := range t.zones {
		sort.Strings(z.hosts)
		if name != t.cfg.Zone {
			t.order = append(t.order, name)
		}
	}
	sort.Strings(t.order)
}

func (t *Table) zoneOf(info HostInfo, old map[string]*zone, now timer.Instant) {
	z := t.zones[info.Zone]
	if z == nil {
		z = old[info.Zone]
		if z == nil {
			z = &zone{heard: now}
		}
		z.name = info.Zone
		z.region = info.Region
		z.hosts = nil
		t.zones[info.Zone] = z
	}
	z.hosts = append(z.hosts, info.Name)
}

// mesh reports whether the fleet is small enough for heartbeats from each host to each other.
func (t *Table) mesh() bool {
	return len(t.entries) < MeshHosts
}

// direct reports whether heartbeats of the host come from itself.
func (t *Table) direct(e *entry) bool {
	return t.mesh() || e.info.Zone == t.cfg.Zone
}

// SetState sets the own state.
func (t *Table) SetState(state messenger.State) {
	t.self.State = state
	t.changed = true
}

// SetDocuments sets the versions of the documents in force here.
func (t *Table) SetDocuments(documents []*messenger.DocumentVersion) {
	t.self.Documents = documents
	t.changed = true
}

// SetContact sets the instant of the newest confirmed contact with the platform.
func (t *Table) SetContact(at timer.Instant) {
	t.contact = at
	t.reached = true
}

// SetLoads sets the own loads.
func (t *Table) SetLoads(loads []*messenger.Load) {
	t.self.Loads = loads
}

// SetSuccessor sets the host that adopted the own operations.
func (t *Table) SetSuccessor(host string) {
	t.self.Successor = host
	t.changed = true
}

// SetSuspects sets the fingerprints of requests suspected of crashing targets.
func (t *Table) SetSuspects(suspects [][]byte) {
	t.self.Suspects = suspects
	t.changed = true
}

// Replaced reports whether a higher incarnation of the own host was heard of.
func (t *Table) Replaced() bool {
	return t.replaced
}

// Tick makes the next heartbeat and returns the digests to send.
func (t *Table) Tick(now timer.Instant) []Message {
	if t.replaced {
		return nil
	}
	t.wake(now)
	t.self.Sequence++
	t.turn++
	if t.alone(now) {
		t.quiet = now.Add(DeadAfter)
	}
	out := t.heartbeats(now)
	if !t.mesh() {
		out = append(out, t.reports(now)...)
	}
	clear(t.relays)
	return out
}

// wake leaves out of all silences the time in which this process was paused and heard nothing.
func (t *Table) wake(now timer.Instant) {
	gap := now.Sub(t.last)
	t.last = now
	if gap < SuspectAfter {
		return
	}
	for _, e := range t.entries {
		e.heard = e.heard.Add(gap)
	}
	for _, z := range t.zones {
		z.heard = z.heard.Add(gap)
	}
}

// alone reports whether no other host is heard.
func (t *Table) alone(now timer.Instant) bool {
	for _, z := range t.zones {
		if now.Sub(z.heard) < DeadAfter {
			return false
		}
	}
	return true
}

// heartbeats returns the digests for the direct peers.
func (t *Table) heartbeats(now timer.Instant) []Message {
	members := []*messenger.Member{t.next(now)}
	if t.IsReader(now) {
		members = append(members, t.departures(now)...)
	}
	members = append(members, t.relayed()...)
	digest := &messenger.Digest{From: t.cfg.Host, Members: members}
	var out []Message
	for i, name := range t.names {
		e := t.entries[name]
		if t.direct(e) && t.due(now, e, i) {
			out = append(out, Message{To: name, Digest: digest})
		}
	}
	return out
}

// next is the heartbeat for the direct peers.
func (t *Table) next(now timer.Instant) *messenger.Member {
	m := t.heartbeat(now)
	if !t.mesh() && !t.changed && t.self.Sequence%fullTicks != 1 {
		return notice(m)
	}
	t.changed = false
	return m
}

func (t *Table) due(now timer.Instant, e *entry, i int) bool {
	state, _ := t.judge(now, e)
	if state != StateDead && state != StateLeft {
		return true
	}
	return (t.turn+i)%probeTicks == 0
}

func (t *Table) heartbeat(now timer.Instant) *messenger.Member {
	return &messenger.Member{
		Host:        t.self.Host,
		Az:          t.self.Az,
		Incarnation: t.self.Incarnation,
		Sequence:    t.self.Sequence,
		State:       t.self.State,
		Documents:   t.self.Documents,
		Contact:     encodeContact(t.contactAge(now)),
		Loads:       t.self.Loads,
		Successor:   t.self.Successor,
		Suspects:    t.self.Suspects,
	}
}

// departures are the last words of hosts that left, for those that start later.
func (t *Table) departures(now timer.Instant) []*messenger.Member {
	var out []*messenger.Member
	for _, name := range t.names {
		e := t.entries[name]
		if len(out) == noticesPerDigest {
			break
		}
		if t.direct(e) && t.departed(now, e) {
			out = append(out, notice(e.member))
		}
	}
	return out
}

func (t *Table) departed(now timer.Instant, e *entry) bool {
	left := e.member.State == messenger.State_STATE_LEFT
	return left && now.Sub(e.heard) < LeftKept
}

// notice is a member without what only its own zone needs.
func notice(m *messenger.Member) *messenger.Member {
	return &messenger.Member{
		Host:        m.Host,
		Incarnation: m.Incarnation,
		Sequence:    m.Sequence,
		State:       m.State,
		Successor:   m.Successor,
	}
}

func (t *Table) relayed() []*messenger.Member {
	names := make([]string, 0, len(t.relays))
	for name := range t.relays {
		names = append(names, name)
	}
	slices.Sort(names)
	out := make([]*messenger.Member, 0, len(names))
	for _, name := range names {
		out = append(out, t.relays[name])
	}
	return out
}
