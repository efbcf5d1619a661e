package surveyor

import (
	"slices"
	"time"

	"github.com/fescuethread/fescuethread/registrar"
	"github.com/fescuethread/fescuethread/router"
)

// view is one survey.
type view struct {
	surveyor *Surveyor
	inv      *registrar.Inventory
	query    router.Query
	own      registrar.Zone
	reports  *reports
	senders  int
	age      time.Duration
	near     []string
	rules    rules
}

// add adds a zone, and once more for those of its slots that other hosts hold where this host
// holds some.
func (v *view) add(zones []router.Zone, z registrar.Zone) []router.Zone {
	remote := v.zone(z)
	if !slices.Contains(v.near, z.Name) {
		remote.Load, remote.Hosts = v.reports.of(v.site(z), v.age)
		return append(zones, remote)
	}
	near := v.zone(z)
	near.Near = true
	zones = append(zones, near)
	mates := v.reports.sites[v.site(z)]
	if mates == nil {
		return zones
	}
	remote.RTT = max(remote.RTT, nearRTT)
	remote.Load, remote.Hosts = aged(mates.load, v.age), mates.hosts
	return append(zones, remote)
}

func (v *view) site(z registrar.Zone) site {
	return site{service: v.query.Service, zone: z.Name}
}

func (v *view) zone(z registrar.Zone) router.Zone {
	out := router.Zone{
		Name:     z.Name,
		Region:   z.Region,
		Draining: v.surveyor.cfg.DrainsZone(z.Name),
		Weight:   v.rules.weight(z.Name),
		Rank:     v.rules.rank(z.Region),
		Senders:  v.senders - v.reports.short(v.query.Service, z.Name),
		Shift:    z.Region != v.own.Region,
	}
	v.locate(&out)
	return out
}

func (v *view) locate(out *router.Zone) {
	switch {
	case out.Name == v.own.Name:
	case out.Region == v.own.Region:
		out.RTT = nearRTT
	default:
		link, ok := v.inv.Link(v.own.Region, out.Region)
		out.Unlinked = !ok && !out.Near
		out.RTT = link.RTT
	}
}

// rules are the operators' rules that concern one request.
type rules struct {
	order   []string
	weights []registrar.Weight
}

func findRules(inv *registrar.Inventory, q router.Query) rules {
	var found rules
	for _, r := range inv.Rules() {
		if r.Service != "" && r.Service != q.Service {
			continue
		}
		switch r.Kind {
		case registrar.RulePrefer:
			if r.Customer == "" || r.Customer == q.Customer {
				found.order = r.Order
			}
		case registrar.RuleStanding:
			found.weights = r.Weights
		}
	}
	return found
}

func (r rules) rank(region string) int {
	return slices.Index(r.order, region) + 1
}

func (r rules) weight(zone string) int {
	for _, w := range r.weights {
		if w.Zone == zone {
			return w.Weight
		}
	}
	return 0
}
