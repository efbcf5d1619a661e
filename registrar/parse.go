package registrar

import (
	"net/netip"
	"strings"
	"time"

	"github.com/pkg/errors"
)

// MaxBytes bounds a document, since the platform holds values up to a megabyte.
const MaxBytes = 1_000_000

const (
	maxCount       = 1_000_000
	maxRate        = 1_000_000_000
	maxWeight      = 1_000
	minTimeout     = time.Millisecond
	maxTimeout     = 10 * time.Minute
	maxWarmup      = time.Hour
	maxRTT         = 10 * time.Second
	defaultQueue   = 64
	defaultTimeout = 5 * time.Second
	defaultWarmup  = 10 * time.Second
)

// defaultIdempotent lists the methods that are safe by definition.
var defaultIdempotent = []string{"GET", "HEAD", "OPTIONS"}

const sectionNames = "regions, zones, hosts, links, services, upstreams, customers, rules, blocks"

// Parse checks a document as a whole; the error holds all Faults that were found.
func Parse(file string, data []byte) (*Inventory, error) {
	if len(data) > MaxBytes {
		err := errors.Errorf("%s has %d bytes; the limit is %d", file, len(data), MaxBytes)
		return nil, &Error{Op: "parse", Kind: KindSize, Err: err}
	}
	faults := newCollector(file)
	sections, err := scan(data, faults)
	if err != nil {
		return nil, err
	}
	b := &builder{faults: faults}
	for _, s := range sections {
		b.add(s)
	}
	b.inherit()
	check(&b.content, faults)
	if err := faults.err("parse"); err != nil {
		return nil, err
	}
	return newInventory(b.content), nil
}

// builder turns sections into entities.
type builder struct {
	content content
	faults  *collector
}

func (b *builder) add(s section) {
	if s.name == "" {
		return
	}
	r := &reader{section: s, faults: b.faults}
	switch s.name {
	case "regions":
		b.content.regions = append(b.content.regions, Region{Name: r.mustText("name")})
	case "zones":
		b.content.zones = append(b.content.zones, readZone(r))
	case "hosts":
		b.content.hosts = append(b.content.hosts, readHost(r))
	case "links":
		b.content.links = append(b.content.links, readLink(r))
	case "services":
		b.content.services = append(b.content.services, readService(r))
	case "upstreams":
		b.content.targets = append(b.content.targets, readTarget(r))
	case "customers":
		b.content.customers = append(b.content.customers, readCustomer(r))
	case "rules":
		b.content.rules = append(b.content.rules, readRule(r))
	case "blocks":
		b.content.blocks = append(b.content.blocks, readBlock(r))
	default:
		b.faults.addf(s.path, "unknown section; the sections are %s", sectionNames)
		return
	}
	r.finish()
}

// inherit gives targets the defaults of their service.
func (b *builder) inherit() {
	services := make(map[string]Service, len(b.content.services))
	for _, s := range b.content.services {
		services[s.Name] = s
	}
	for i, t := range b.content.targets {
		if t.Slots == 0 {
			b.content.targets[i].Slots = services[t.Service].Slots
		}
		if t.Connections == 0 {
			b.content.targets[i].Connections = services[t.Service].Connections
		}
	}
}

func readZone(r *reader) Zone {
	return Zone{Name: r.mustText("name"), Region: r.mustText("region")}
}

func readHost(r *reader) Host {
	return Host{
		Name:    r.mustText("name"),
		Zone:    r.mustText("zone"),
		Address: r.mustText("address"),
		Peer:    r.mustText("peer"),
		Admin:   r.mustText("admin"),
	}
}

func readLink(r *reader) link {
	return link{
		Link: Link{
			From:           r.mustText("from"),
			To:             r.mustText("to"),
			BytesPerSecond: r.bytesPerSecond("rate"),
			RTT:            readRTT(r),
		},
		both: r.flag("both"),
	}
}

func readRTT(r *reader) time.Duration {
	if _, ok := r.must("rtt"); !ok {
		return 0
	}
	return r.duration("rtt", 0, time.Microsecond, maxRTT)
}

func readService(r *reader) Service {
	s := Service{Name: r.mustText("name")}
	methods, ok := r.list("idempotent")
	if !ok {
		methods = defaultIdempotent
	}
	s.Idempotent = methods
	s.Open, _ = r.list("open")
	s.Timeout = r.duration("timeout", defaultTimeout, minTimeout, maxTimeout)
	s.Queue = int(r.integer("queue", defaultQueue, 0, maxCount))
	s.Slots = int(r.integer("slots", 0, 1, maxCount))
	s.Connections = int(r.integer("connections", 0, 1, maxCount))
	return s
}

func readTarget(r *reader) Target {
	return Target{
		Name:        r.mustText("name"),
		Service:     r.mustText("service"),
		Zone:        r.mustText("zone"),
		Address:     r.mustText("address"),
		Slots:       int(r.integer("slots", 0, 1, maxCount)),
		Connections: int(r.integer("connections", 0, 1, maxCount)),
		Warmup:      r.duration("warmup", defaultWarmup, 0, maxWarmup),
	}
}

func readCustomer(r *reader) Customer {
	return Customer{
		Name:     r.mustText("name"),
		Rate:     r.mustInteger("rate", 1, maxRate),
		Burst:    r.mustInteger("burst", 1, maxRate),
		Services: r.mustList("services"),
	}
}

func readBlock(r *reader) Block {
	text := r.mustText("block")
	zone := r.mustText("zone")
	if text == "" {
		return Block{Zone: zone}
	}
	prefix, err := netip.ParsePrefix(text)
	if err != nil {
		r.faults.addf(r.path("block"), "is %q; want a block such as \"10.1.0.0/16\"", text)
		return Block{Zone: zone}
	}
	return Block{Prefix: prefix, Zone: zone}
}

func readRule(r *reader) Rule {
	rule := Rule{Kind: RuleKind(r.mustText("kind"))}
	switch rule.Kind {
	case RuleCap:
		rule.Service = r.mustText("service")
		rule.From = r.mustText("from")
		rule.To = r.mustText("to")
		rule.Rate = r.mustInteger("rate", 0, maxRate)
	case RulePrefer:
		rule.Service = r.text("service")
		rule.Customer = r.text("customer")
		rule.Order = r.mustList("order")
	case RuleStanding:
		rule.Service = r.mustText("service")
		rule.Weights = r.weights("weights")
	case RuleFloor:
		rule.Service = r.text("service")
		rule.Share = r.share("share")
	case "":
		r.skip()
	default:
		kinds := []string{"cap", "prefer", "standing", "floor"}
		r.faults.addf(r.path("kind"), "is %q; want %s", rule.Kind, strings.Join(kinds, ", "))
		r.skip()
	}
	return rule
}
