package registrar

import (
	"fmt"
	"net/netip"
	"regexp"
	"sort"
	"strings"
)

// maxHints bounds the names that a fault suggests.
const maxHints = 8

var (
	namePattern   = regexp.MustCompile(`^[a-z0-9]([a-z0-9.-]{0,61}[a-z0-9])?$`)
	methodPattern = regexp.MustCompile(`^[A-Z]{1,20}$`)
)

// checker holds the names that references are checked against.
type checker struct {
	content   *content
	faults    *collector
	places    names
	regions   names
	zones     names
	hosts     names
	services  names
	targets   names
	customers names
	addresses names
}

// names maps a name to the path of its first use.
type names map[string]string

func check(c *content, faults *collector) {
	k := &checker{content: c, faults: faults}
	k.places, k.regions, k.zones = names{}, names{}, names{}
	k.hosts, k.services, k.targets = names{}, names{}, names{}
	k.customers, k.addresses = names{}, names{}
	k.declare()
	k.checkPlaces()
	k.checkHosts()
	k.checkLinks()
	k.checkServices()
	k.checkTargets()
	k.checkCustomers()
	k.checkRules()
	k.checkBlocks()
}

// declare collects the names that others refer to, so that the order doesn't matter.
func (k *checker) declare() {
	for i, r := range k.content.regions {
		k.name(k.regions, at("regions", i), r.Name)
	}
	for i, z := range k.content.zones {
		k.name(k.zones, at("zones", i), z.Name)
	}
	for i, h := range k.content.hosts {
		k.name(k.hosts, at("hosts", i), h.Name)
	}
	for i, s := range k.content.services {
		k.name(k.services, at("services", i), s.Name)
	}
	for i, t := range k.content.targets {
		k.name(k.targets, at("upstreams", i), t.Name)
	}
	for i, c := range k.content.customers {
		k.name(k.customers, at("customers", i), c.Name)
	}
}

func at(section string, i int) string {
	return fmt.Sprintf("%s[%d]", section, i)
}

func (k *checker) name(known names, path, name string) {
	path += ".name"
	if name == "" {
		k.faults.addf(path, "is empty; the field is required")
		return
	}
	if !namePattern.MatchString(name) {
		k.faults.addf(path, "is %q; want up to 63 of a-z, 0-9, '-' and '.'", name)
	}
	k.unique(known, path, name)
}

func (k *checker) unique(known names, path, name string) {
	if first, ok := known[name]; ok {
		k.faults.addf(path, "%q is taken by %s; want another", name, first)
		return
	}
	known[name] = path
}

// refer checks that a name is known.
func (k *checker) refer(known names, path, what, name string) bool {
	if _, ok := known[name]; ok {
		return true
	}
	if name == "" {
		k.faults.addf(path, "is empty; name a %s", what)
		return false
	}
	k.faults.addf(path, "no %s is named %q; known are %s", what, name, known.hint())
	return false
}

func (n names) hint() string {
	if len(n) == 0 {
		return "none"
	}
	list := make([]string, 0, len(n))
	for name := range n {
		list = append(list, name)
	}
	sort.Strings(list)
	if len(list) > maxHints {
		list = append(list[:maxHints], "...")
	}
	return strings.Join(list, ", ")
}

func (k *checker) checkPlaces() {
	if len(k.content.regions) == 0 {
		k.faults.addf("regions", "none is listed; list at least one")
	}
	used := names{}
	for i, z := range k.content.zones {
		path := at("zones", i)
		k.refer(k.regions, path+".region", "region", z.Region)
		if _, ok := k.regions[z.Name]; ok {
			k.faults.addf(path+".name", "%q is also a region; want another", z.Name)
		}
		used[z.Region] = path
	}
	for i, r := range k.content.regions {
		if _, ok := used[r.Name]; !ok {
			k.faults.addf(at("regions", i), "region %q has no availability zone; list one", r.Name)
		}
	}
}

func (k *checker) checkHosts() {
	if len(k.content.hosts) == 0 {
		k.faults.addf("hosts", "none is listed; list at least one")
	}
	for i, h := range k.content.hosts {
		path := at("hosts", i)
		k.refer(k.zones, path+".zone", "availability zone", h.Zone)
		k.address(path+".address", h.Address)
		k.address(path+".peer", h.Peer)
		k.address(path+".admin", h.Admin)
	}
}

// address checks an IP number with a port that nothing else uses.
func (k *checker) address(path, text string) {
	const example = "10.1.0.5:8080"
	parsed, err := netip.ParseAddrPort(text)
	switch {
	case err != nil:
		k.faults.addf(path, "is %q; want an IP number and a port such as %q, no name", text, example)
	case parsed.Port() == 0:
		k.faults.addf(path, "is %q; want a port from 1 to 65535", text)
	case parsed.Addr().IsUnspecified(), parsed.Addr().IsMulticast():
		k.faults.addf(path, "is %q; want the address of one machine such as %q", text, example)
	case parsed.Addr().Zone() != "", parsed.Addr().Is4In6():
		k.faults.addf(path, "is %q; want a plain address such as %q", text, example)
	case parsed.String() != text:
		k.faults.addf(path, "is %q; write %q", text, parsed)
	default:
		k.unique(k.addresses, path, text)
	}
}

func (k *checker) checkLinks() {
	known := names{}
	for i, l := range k.content.links {
		path := at("links", i)
		k.refer(k.regions, path+".from", "region", l.From)
		k.refer(k.regions, path+".to", "region", l.To)
		if l.From == l.To {
			k.faults.addf(path+".to", "is the same region as from; want another")
		}
		if l.BytesPerSecond <= 0 {
			k.faults.addf(path+".rate", "is %d bytes a second; want more", l.BytesPerSecond)
		}
		if l.RTT <= 0 {
			k.faults.addf(path+".rtt", "is %s; want more", l.RTT)
		}
		k.unique(known, path, direction(l.From, l.To))
		if l.both {
			k.unique(known, path, direction(l.To, l.From))
		}
	}
	for i, l := range k.content.links {
		if _, ok := known[direction(l.To, l.From)]; !ok {
			k.faults.addf(at("links", i), "no link leads back from %q; list it or set both = true", l.To)
		}
	}
}

func direction(from, to string) string {
	return from + " to " + to
}

func (k *checker) checkServices() {
	used := make(map[string]bool)
	for _, t := range k.content.targets {
		used[t.Service] = true
	}
	for i, s := range k.content.services {
		path := at("services", i)
		if !used[s.Name] {
			k.faults.addf(path, "service %q has no upstream; list at least one", s.Name)
		}
		k.checkMethods(path, s)
		k.checkOpen(path, s)
	}
}

func (k *checker) checkMethods(path string, s Service) {
	for i, method := range s.Idempotent {
		if !methodPattern.MatchString(method) {
			k.faults.addf(at(path+".idempotent", i), "is %q; want a method such as \"GET\"", method)
		}
	}
}

func (k *checker) checkOpen(service string, s Service) {
	for i, open := range s.Open {
		element := at(service+".open", i)
		if open == "/" || open == "" {
			k.faults.addf(element, "is %q; want a path such as \"/public/\", not all", open)
			continue
		}
		if !isPlainPath(open) {
			k.faults.addf(element, "is %q; want a plain path such as \"/public/\"", open)
		}
	}
}

func (k *checker) checkTargets() {
	staffed := k.staffedZones()
	for i, t := range k.content.targets {
		path := at("upstreams", i)
		k.refer(k.services, path+".service", "service", t.Service)
		known := k.refer(k.zones, path+".zone", "availability zone", t.Zone)
		if known && staffed != nil && !staffed[t.Zone] {
			k.faults.addf(path+".zone", "%q has no entry host; list one in it", t.Zone)
		}
		k.address(path+".address", t.Address)
		k.checkSlots(path, t)
	}
}

// staffedZones returns the zones with entry hosts, or nil when some host's zone is unknown.
func (k *checker) staffedZones() map[string]bool {
	staffed := make(map[string]bool)
	for _, h := range k.content.hosts {
		if _, ok := k.zones[h.Zone]; !ok {
			return nil
		}
		staffed[h.Zone] = true
	}
	return staffed
}

func (k *checker) checkSlots(path string, t Target) {
	if t.Slots == 0 {
		k.faults.addf(path+".slots", "missing; give it here or in the service")
	}
	if t.Connections == 0 {
		k.faults.addf(path+".connections", "missing; give it here or in the service")
		return
	}
	if t.Connections < t.Slots {
		k.faults.addf(path+".connections", "is %d for %d slots; want one for each slot or more",
			t.Connections, t.Slots)
	}
}

func (k *checker) checkCustomers() {
	for i, c := range k.content.customers {
		path := at("customers", i)
		if c.Rate < 1 || c.Burst < 1 {
			k.faults.addf(path, "want a rate and a burst above zero")
		}
		for j, service := range c.Services {
			k.refer(k.services, at(path+".services", j), "service", service)
		}
	}
}

func (k *checker) checkBlocks() {
	known := names{}
	for i, b := range k.content.blocks {
		path := at("blocks", i)
		k.refer(k.zones, path+".zone", "availability zone", b.Zone)
		k.checkPrefix(known, path+".block", b.Prefix)
	}
}

func (k *checker) checkPrefix(known names, path string, p netip.Prefix) {
	switch {
	case !p.IsValid():
		k.faults.addf(path, "want a block such as \"10.1.0.0/16\"")
	case p.Addr().Is4In6():
		k.faults.addf(path, "is %q; write it as an IPv4 block", p)
	case p != p.Masked():
		k.faults.addf(path, "is %q, which has host bits; write %q", p, p.Masked())
	default:
		k.unique(known, path, p.String())
	}
}
