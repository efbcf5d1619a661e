package locator

import (
	"cmp"
	"math"
	"net/netip"
	"slices"
	"time"

	"github.com/pkg/errors"
)

const (
	maxHosts     = 6
	maxPerZone   = 3
	maxPerRegion = 5
	// spreadLength4 and spreadLength6 are the parts of a client's address that order its hosts.
	spreadLength4 = 24
	spreadLength6 = 48
)

// State is what is known of an entry host.
type State int

const (
	// Unknown is a host without news; it keeps its standing place.
	Unknown State = iota
	// Live is a host that serves.
	Live
	// Leaving is a host that takes no new callers.
	Leaving
	// Dead is a host that is held to have failed.
	Dead
)

// View tells the state of entry hosts.
type View interface {
	State(host string) State
}

// Basis says how the caller's place was found.
type Basis string

const (
	// BasisPlace is a place that the caller stated.
	BasisPlace Basis = "place"
	// BasisBlock is the client block of the caller's address.
	BasisBlock Basis = "block"
	// BasisNone is a caller that no block covers.
	BasisNone Basis = "none"
)

// Choice is an entry host of an answer.
type Choice struct {
	// Host is the host's name.
	Host string
	// Address is the host's IP number and port for callers.
	Address string
	// Rank orders the choices; a caller uses a higher one when the lower ones fail.
	Rank int
	// Weight is the host's part of the requests beside others of its rank.
	Weight int
}

// Answer lists the entry hosts to use, the best first.
type Answer struct {
	// Choices is empty only when all hosts are leaving.
	Choices []Choice
	// Lifetime is how long the caller may keep the answer.
	Lifetime time.Duration
	// Basis says how the caller's place was found.
	Basis Basis
	// Place is the region or availability zone that distances are counted from.
	Place string
	// Doubted says that all hosts seemed dead and the view was set aside.
	Doubted bool
}

// draw is a host with a client's number for it; the highest number wins.
type draw struct {
	host  *host
	value uint64
}

// candidate is a usable host with its score for one client.
type candidate struct {
	zone   uint16
	host   *host
	weight int
	score  float64
}

// Answer finds the entry hosts for a query; a nil view means no news of any host.
func (t *Table) Answer(q Query, view View) (Answer, error) {
	o, ok := t.services[q.Service]
	if !ok {
		return Answer{}, unknown("service", q.Service)
	}
	a := Answer{Lifetime: t.lifetime}
	groups, err := t.place(q, o, &a)
	if err != nil {
		return Answer{}, err
	}
	s := &selector{table: t, orders: o, key: spreadKey(q.Client)}
	a.Choices = s.choose(groups, acceptor(view, false))
	if len(a.Choices) == 0 {
		a.Choices = s.choose(groups, acceptor(view, true))
		a.Doubted = len(a.Choices) > 0
	}
	return a, nil
}

func unknown(what, name string) error {
	return &Error{Op: "answer", Kind: KindUnknown, Err: errors.Errorf("no %s %q", what, name)}
}

// place finds the groups of a query's place and notes the place in the answer.
func (t *Table) place(q Query, o *orders, a *Answer) ([]group, error) {
	if q.Place != "" {
		a.Basis, a.Place = BasisPlace, q.Place
		return t.stated(q.Place, o)
	}
	if site, ok := t.blocks.Find(q.Client); ok {
		a.Basis, a.Place = BasisBlock, t.zones[site].name
		return o.zones[site], nil
	}
	a.Basis = BasisNone
	return o.anywhere, nil
}

func (t *Table) stated(place string, o *orders) ([]group, error) {
	if i, ok := t.byName[place]; ok {
		return o.zones[i], nil
	}
	if groups, ok := o.regions[place]; ok {
		return groups, nil
	}
	return nil, unknown("place", place)
}

// acceptor says which hosts may appear; doubting readmits hosts that are held dead.
func acceptor(view View, doubting bool) func(name string) bool {
	return func(name string) bool {
		if view == nil {
			return true
		}
		switch view.State(name) {
		case Leaving:
			return false
		case Dead:
			return doubting
		default:
			return true
		}
	}
}

// selector picks hosts for one client.
type selector struct {
	table  *Table
	orders *orders
	key    uint64
}

func (s *selector) choose(groups []group, accept func(string) bool) []Choice {
	var choices []Choice
	perRegion := make(map[string]int)
	rank := 0
	for _, g := range groups {
		before := len(choices)
		for _, c := range s.candidates(g, accept) {
			region := s.table.zones[c.zone].region
			if perRegion[region] == maxPerRegion {
				continue
			}
			perRegion[region]++
			choices = append(choices, c.choice(rank))
			if len(choices) == maxHosts {
				return choices
			}
		}
		if len(choices) > before {
			rank++
		}
	}
	return choices
}

// candidates orders the best hosts of a group's zones by weighted rendezvous hashing.
func (s *selector) candidates(g group, accept func(string) bool) []candidate {
	var found []candidate
	for _, z := range g {
		best, usable := s.best(z, accept)
		for _, d := range best {
			weight := max(1, s.orders.slots[z]/usable)
			score := float64(weight) / -math.Log(uniform(d.value))
			found = append(found, candidate{zone: z, host: d.host, weight: weight, score: score})
		}
	}
	slices.SortFunc(found, func(a, b candidate) int {
		if a.score != b.score {
			return cmp.Compare(b.score, a.score)
		}
		return cmp.Compare(a.host.name, b.host.name)
	})
	return found
}

// best draws a zone's usable hosts and returns the highest, and how many are usable.
func (s *selector) best(z uint16, accept func(string) bool) ([]draw, int) {
	best := make([]draw, 0, maxPerZone+1)
	usable := 0
	hosts := s.table.zones[z].hosts
	for i := range hosts {
		if !accept(hosts[i].name) {
			continue
		}
		usable++
		best = insert(best, draw{host: &hosts[i], value: mix(s.key ^ hosts[i].hash)})
	}
	return best, usable
}

// insert keeps the highest draws in descending order.
func insert(best []draw, d draw) []draw {
	i := len(best)
	for i > 0 && best[i-1].value < d.value {
		i--
	}
	best = slices.Insert(best, i, d)
	return best[:min(len(best), maxPerZone)]
}

func (c candidate) choice(rank int) Choice {
	return Choice{Host: c.host.name, Address: c.host.address, Rank: rank, Weight: c.weight}
}

// spreadKey hashes the part of a client's address that its neighbours share.
func spreadKey(client netip.Addr) uint64 {
	length := spreadLength6
	if client.Is4() {
		length = spreadLength4
	}
	prefix, err := client.Prefix(length)
	if err != nil {
		return 0
	}
	octets := prefix.Addr().As16()
	key := uint64(0)
	for _, b := range octets {
		key = mix(key ^ uint64(b))
	}
	return key
}

// mix is the finaliser of SplitMix64.
func mix(x uint64) uint64 {
	x += 0x9e3779b97f4a7c15
	x = (x ^ x>>30) * 0xbf58476d1ce4e5b9
	x = (x ^ x>>27) * 0x94d049bb133111eb
	return x ^ x>>31
}

// uniform maps a hash to a number above 0 and below 1.
func uniform(hash uint64) float64 {
	return (float64(hash>>11) + 0.5) / (1 << 53)
}
