package registrar

import (
	"fmt"
	"strings"
)

// Removal lists what a change takes away at once, so that it needs a confirmation.
type Removal struct {
	// Services lists the services that lose most of their targets.
	Services []string
	// Regions lists the regions that are removed or lose all hosts or all targets.
	Regions []string
	// Hosts says that most entry hosts are removed.
	Hosts bool
	// Customers says that most customers are removed.
	Customers bool
}

// IsLarge says whether the change needs a confirmation.
func (r Removal) IsLarge() bool {
	return len(r.Services) > 0 || len(r.Regions) > 0 || r.Hosts || r.Customers
}

// String names what is removed.
func (r Removal) String() string {
	var parts []string
	if len(r.Services) > 0 {
		parts = append(parts, "most targets of "+strings.Join(r.Services, ", "))
	}
	if len(r.Regions) > 0 {
		parts = append(parts, "region "+strings.Join(r.Regions, ", "))
	}
	if r.Hosts {
		parts = append(parts, "most entry hosts")
	}
	if r.Customers {
		parts = append(parts, "most customers")
	}
	if len(parts) == 0 {
		return "nothing large"
	}
	return "removes " + strings.Join(parts, "; ")
}

// Compare finds what a change from one inventory to another removes.
func Compare(old, next *Inventory) Removal {
	return Removal{
		Services:  lostServices(old, next),
		Regions:   lostRegions(old, next),
		Hosts:     isMost(lostHosts(old, next), len(old.content.hosts)),
		Customers: isMost(lostCustomers(old, next), len(old.content.customers)),
	}
}

func isMost(lost, total int) bool {
	return 2*lost > total
}

func lostServices(old, next *Inventory) []string {
	var lost []string
	for _, s := range old.content.services {
		kept := make(map[string]bool)
		for _, t := range next.byService[s.Name] {
			kept[t.Address] = true
		}
		gone := 0
		for _, t := range old.byService[s.Name] {
			if !kept[t.Address] {
				gone++
			}
		}
		if isMost(gone, len(old.byService[s.Name])) {
			lost = append(lost, s.Name)
		}
	}
	return lost
}

func lostRegions(old, next *Inventory) []string {
	var lost []string
	for _, r := range old.content.regions {
		hosts := regionHosts(old, r.Name) > 0 && regionHosts(next, r.Name) == 0
		targets := regionTargets(old, r.Name) > 0 && regionTargets(next, r.Name) == 0
		if hosts || targets || len(next.ZonesIn(r.Name)) == 0 {
			lost = append(lost, r.Name)
		}
	}
	return lost
}

func regionHosts(inv *Inventory, region string) int {
	n := 0
	for _, h := range inv.content.hosts {
		if inv.zones[h.Zone].Region == region {
			n++
		}
	}
	return n
}

func regionTargets(inv *Inventory, region string) int {
	n := 0
	for _, t := range inv.content.targets {
		if inv.zones[t.Zone].Region == region {
			n++
		}
	}
	return n
}

func lostHosts(old, next *Inventory) int {
	n := 0
	for _, h := range old.content.hosts {
		if _, ok := next.hosts[h.Name]; !ok {
			n++
		}
	}
	return n
}

func lostCustomers(old, next *Inventory) int {
	n := 0
	for _, c := range old.content.customers {
		if _, ok := next.customers[c.Name]; !ok {
			n++
		}
	}
	return n
}

// Diff lists the changes from one inventory to another in readable lines.
func Diff(old, next *Inventory) []string {
	before := describe(old)
	after := describe(next)
	var lines []string
	for _, e := range before.order {
		if _, ok := after.entries[e]; !ok {
			lines = append(lines, "- "+e)
		}
	}
	for _, e := range after.order {
		lines = append(lines, changes(e, before, after)...)
	}
	return lines
}

func changes(name string, before, after *description) []string {
	old, ok := before.entries[name]
	if !ok {
		return []string{"+ " + name + ": " + join(after.entries[name])}
	}
	var lines []string
	for i, a := range after.entries[name] {
		if a.value != old[i].value {
			lines = append(lines, fmt.Sprintf("~ %s: %s %s -> %s", name, a.name, old[i].value, a.value))
		}
	}
	return lines
}

func join(attributes []attribute) string {
	parts := make([]string, len(attributes))
	for i, a := range attributes {
		parts[i] = a.name + " " + a.value
	}
	return strings.Join(parts, ", ")
}

// attribute is a named value of an entity as text.
type attribute struct {
	name  string
	value string
}

// description holds each entity's attributes under its kind and name.
type description struct {
	order   []string
	entries map[string][]attribute
}

func (d *description) add(name string, attributes ...attribute) {
	d.order = append(d.order, name)
	d.entries[name] = attributes
}

func show(name string, value any) attribute {
	return attribute{name: name, value: fmt.Sprint(value)}
}

func describe(inv *Inventory) *description {
	d := &description{entries: make(map[string][]attribute)}
	describePlaces(d, inv)
	describeWork(d, inv)
	for _, r := range inv.content.rules {
		d.add("rule "+r.subject(), show("rate", r.Rate), show("order", r.Order),
			show("weights", r.Weights), show("share", r.Share))
	}
	for _, b := range inv.content.blocks {
		d.add("block "+b.Prefix.String(), show("zone", b.Zone))
	}
	return d
}

func describePlaces(d *description, inv *Inventory) {
	for _, r := range inv.content.regions {
		d.add("region "+r.Name, show("name", r.Name))
	}
	for _, z := range inv.content.zones {
		d.add("zone "+z.Name, show("region", z.Region))
	}
	for _, h := range inv.content.hosts {
		d.add("host "+h.Name, show("zone", h.Zone), show("address", h.Address),
			show("peer", h.Peer), show("admin", h.Admin))
	}
	for _, l := range inv.links {
		d.add("link "+direction(l.From, l.To),
			show("bytes/s", l.BytesPerSecond), show("rtt", l.RTT))
	}
}

func describeWork(d *description, inv *Inventory) {
	for _, s := range inv.content.services {
		d.add("service "+s.Name, show("idempotent", s.Idempotent), show("open", s.Open),
			show("timeout", s.Timeout), show("queue", s.Queue))
	}
	for _, t := range inv.content.targets {
		d.add("upstream "+t.Name, show("service", t.Service), show("zone", t.Zone),
			show("address", t.Address), show("slots", t.Slots), show("connections", t.Connections),
			show("warmup", t.Warmup))
	}
	for _, c := range inv.content.customers {
		d.add("customer "+c.Name, show("rate", c.Rate), show("burst", c.Burst),
			show("services", c.Services))
	}
}
