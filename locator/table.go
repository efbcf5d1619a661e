package locator

import (
	"math"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/fescuethread/fescuethread/registrar"
)

// DefaultLifetime is how long callers may keep an answer.
const DefaultLifetime = 5 * time.Second

// Table answers queries from an inventory; it never changes.
type Table struct {
	lifetime time.Duration
	blocks   *Blocks
	zones    []zone
	byName   map[string]int
	services map[string]*orders
}

// zone is an availability zone with its entry hosts.
type zone struct {
	name   string
	region string
	hosts  []host
}

// host is an entry host with the hash of its name.
type host struct {
	name    string
	address string
	hash    uint64
}

// group lists zones that are equally near.
type group []uint16

// orders holds a service's groups, the nearest first, for each place that a query may come from.
type orders struct {
	zones    [][]group
	regions  map[string][]group
	anywhere []group
	slots    []int
}

// origin is the place that distances are counted from; an empty name means anywhere.
type origin struct {
	zone   string
	region string
}

// distance orders zones; smaller is nearer.
type distance struct {
	rtt   time.Duration
	empty bool
	away  bool
}

func (d distance) compare(other distance) int {
	switch {
	case d.rtt != other.rtt && d.rtt < other.rtt:
		return -1
	case d.rtt != other.rtt:
		return 1
	case d.empty != other.empty:
		return order(other.empty)
	case d.away != other.away:
		return order(other.away)
	default:
		return 0
	}
}

func order(otherIsFar bool) int {
	if otherIsFar {
		return -1
	}
	return 1
}

// New builds the table of an inventory.
func New(inv *registrar.Inventory) *Table {
	t := &Table{
		lifetime: DefaultLifetime,
		byName:   make(map[string]int),
		services: make(map[string]*orders),
	}
	for i, z := range inv.Zones() {
		t.byName[z.Name] = i
		t.zones = append(t.zones, newZone(inv, z))
	}
	t.blocks = t.newBlocks(inv)
	for _, s := range inv.Services() {
		t.services[s.Name] = t.newOrders(inv, s.Name)
	}
	return t
}

// WithLifetime returns a table whose answers have another lifetime.
func (t *Table) WithLifetime(lifetime time.Duration) *Table {
	next := *t
	next.lifetime = lifetime
	return &next
}

func newZone(inv *registrar.Inventory, z registrar.Zone) zone {
	result := zone{name: z.Name, region: z.Region}
	for _, h := range inv.HostsIn(z.Name) {
		result.hosts = append(result.hosts, host{
			name:    h.Name,
			address: h.Address,
			hash:    xxhash.Sum64String(h.Name),
		})
	}
	return result
}

func (t *Table) newBlocks(inv *registrar.Inventory) *Blocks {
	var entries []Entry
	for _, b := range inv.Blocks() {
		entries = append(entries, Entry{Prefix: b.Prefix, Site: uint16(t.byName[b.Zone])})
	}
	return NewBlocks(entries)
}

func (t *Table) newOrders(inv *registrar.Inventory, service string) *orders {
	o := &orders{regions: make(map[string][]group)}
	for _, z := range t.zones {
		slots := 0
		for _, target := range inv.TargetsIn(service, z.name) {
			slots += target.Slots
		}
		o.slots = append(o.slots, slots)
	}
	for _, z := range t.zones {
		from := origin{zone: z.name, region: z.region}
		o.zones = append(o.zones, t.groups(inv, o.slots, from))
	}
	for _, r := range inv.Regions() {
		o.regions[r.Name] = t.groups(inv, o.slots, origin{region: r.Name})
	}
	o.anywhere = t.groups(inv, o.slots, origin{})
	return o
}

// groups sorts the zones that have hosts by distance and joins the equally near.
func (t *Table) groups(inv *registrar.Inventory, slots []int, from origin) []group {
	distances := make([]distance, len(t.zones))
	var near []uint16
	for i, z := range t.zones {
		if len(z.hosts) == 0 {
			continue
		}
		distances[i] = measure(inv, from, z, slots[i])
		near = append(near, uint16(i))
	}
	slices.SortStableFunc(near, func(a, b uint16) int {
		return distances[a].compare(distances[b])
	})
	var groups []group
	for i, z := range near {
		if i == 0 || distances[z] != distances[near[i-1]] {
			groups = append(groups, nil)
		}
		last := len(groups) - 1
		groups[last] = append(groups[last], z)
	}
	return groups
}

func measure(inv *registrar.Inventory, from origin, z zone, slots int) distance {
	d := distance{empty: slots == 0, away: from.zone != z.name}
	if from.region == "" || from.region == z.region {
		return d
	}
	link, ok := inv.Link(from.region, z.region)
	if !ok {
		d.rtt = math.MaxInt64
		return d
	}
	d.rtt = link.RTT
	return d
}
