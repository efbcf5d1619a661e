package registrar

import "slices"

// content is what a document lists.
type content struct {
	regions   []Region
	zones     []Zone
	hosts     []Host
	links     []link
	services  []Service
	targets   []Target
	customers []Customer
	rules     []Rule
	blocks    []Block
}

// link is a link as written; both makes it stand for each direction.
type link struct {
	Link
	both bool
}

func (l link) back() Link {
	return Link{From: l.To, To: l.From, BytesPerSecond: l.BytesPerSecond, RTT: l.RTT}
}

// site is a service in an availability zone.
type site struct {
	service string
	zone    string
}

// pair is one direction between two regions.
type pair struct {
	from string
	to   string
}

// Inventory is a checked asset inventory; it never changes.
type Inventory struct {
	content   content
	links     []Link
	hosts     map[string]Host
	zones     map[string]Zone
	services  map[string]Service
	customers map[string]Customer
	pairs     map[pair]Link
	byZone    map[string][]Host
	byService map[string][]Target
	bySite    map[site][]Target
}

func newInventory(c content) *Inventory {
	inv := &Inventory{content: c}
	inv.indexPlaces()
	inv.indexLinks()
	inv.indexServices()
	return inv
}

func (inv *Inventory) indexPlaces() {
	inv.zones = make(map[string]Zone)
	for _, z := range inv.content.zones {
		inv.zones[z.Name] = z
	}
	inv.hosts = make(map[string]Host)
	inv.byZone = make(map[string][]Host)
	for _, h := range inv.content.hosts {
		inv.hosts[h.Name] = h
		inv.byZone[h.Zone] = append(inv.byZone[h.Zone], h)
	}
}

func (inv *Inventory) indexLinks() {
	for _, l := range inv.content.links {
		inv.links = append(inv.links, l.Link)
		if l.both {
			inv.links = append(inv.links, l.back())
		}
	}
	inv.pairs = make(map[pair]Link)
	for _, l := range inv.links {
		inv.pairs[pair{from: l.From, to: l.To}] = l
	}
}

func (inv *Inventory) indexServices() {
	inv.services = make(map[string]Service)
	for _, s := range inv.content.services {
		inv.services[s.Name] = s
	}
	inv.byService = make(map[string][]Target)
	inv.bySite = make(map[site][]Target)
	for _, t := range inv.content.targets {
		at := site{service: t.Service, zone: t.Zone}
		inv.byService[t.Service] = append(inv.byService[t.Service], t)
		inv.bySite[at] = append(inv.bySite[at], t)
	}
	inv.customers = make(map[string]Customer)
	for _, c := range inv.content.customers {
		inv.customers[c.Name] = c
	}
}

// Regions returns all regions in the order of the document.
func (inv *Inventory) Regions() []Region {
	return slices.Clone(inv.content.regions)
}

// Zones returns all availability zones in the order of the document.
func (inv *Inventory) Zones() []Zone {
	return slices.Clone(inv.content.zones)
}

// Zone finds an availability zone by name.
func (inv *Inventory) Zone(name string) (Zone, bool) {
	z, ok := inv.zones[name]
	return z, ok
}

// ZonesIn returns the availability zones of a region.
func (inv *Inventory) ZonesIn(region string) []Zone {
	var zones []Zone
	for _, z := range inv.content.zones {
		if z.Region == region {
			zones = append(zones, z)
		}
	}
	return zones
}

// Hosts returns all entry hosts in the order of the document.
func (inv *Inventory) Hosts() []Host {
	return slices.Clone(inv.content.hosts)
}

// Host finds an entry host by name.
func (inv *Inventory) Host(name string) (Host, bool) {
	h, ok := inv.hosts[name]
	return h, ok
}

// HostsIn returns the entry hosts of an availability zone.
func (inv *Inventory) HostsIn(zone string) []Host {
	return slices.Clone(inv.byZone[zone])
}

// Links returns all links, each direction for itself.
func (inv *Inventory) Links() []Link {
	return slices.Clone(inv.links)
}

// Link finds the link from one region to another.
func (inv *Inventory) Link(from, to string) (Link, bool) {
	l, ok := inv.pairs[pair{from: from, to: to}]
	return l, ok
}

// Services returns all services in the order of the document.
func (inv *Inventory) Services() []Service {
	return slices.Clone(inv.content.services)
}

// Service finds a service by name.
func (inv *Inventory) Service(name string) (Service, bool) {
	s, ok := inv.services[name]
	return s, ok
}

// Targets returns the targets of a service in the order of the document.
func (inv *Inventory) Targets(service string) []Target {
	return slices.Clone(inv.byService[service])
}

// TargetsIn returns the targets of a service in an availability zone.
func (inv *Inventory) TargetsIn(service, zone string) []Target {
	return slices.Clone(inv.bySite[site{service: service, zone: zone}])
}

// Customers returns all customers in the order of the document.
func (inv *Inventory) Customers() []Customer {
	return slices.Clone(inv.content.customers)
}

// Customer finds a customer by name.
func (inv *Inventory) Customer(name string) (Customer, bool) {
	c, ok := inv.customers[name]
	return c, ok
}

// Rules returns all rules in the order of the document.
func (inv *Inventory) Rules() []Rule {
	return slices.Clone(inv.content.rules)
}

// Blocks returns all client blocks in the order of the document.
func (inv *Inventory) Blocks() []Block {
	return slices.Clone(inv.content.blocks)
}

// Check checks the inventory again; the error holds all Faults that were found.
func (inv *Inventory) Check() error {
	faults := newCollector("")
	check(&inv.content, faults)
	return faults.err("check")
}

// WithCustomer returns an inventory in which the customer replaces the one of its name.
func (inv *Inventory) WithCustomer(c Customer) (*Inventory, error) {
	next := inv.content
	next.customers = slices.DeleteFunc(inv.Customers(), func(other Customer) bool {
		return other.Name == c.Name
	})
	next.customers = append(next.customers, c)
	return rebuild(next)
}

// WithRules returns an inventory with other rules.
func (inv *Inventory) WithRules(rules []Rule) (*Inventory, error) {
	next := inv.content
	next.rules = slices.Clone(rules)
	return rebuild(next)
}

func rebuild(c content) (*Inventory, error) {
	inv := newInventory(c)
	if err := inv.Check(); err != nil {
		return nil, err
	}
	return inv, nil
}
