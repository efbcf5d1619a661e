package surveyor

import (
	"slices"

	"github.com/fescuethread/fescuethread/detector"
	"github.com/fescuethread/fescuethread/registrar"
	"github.com/fescuethread/fescuethread/router"
)

// view is one survey.
type view struct {
	surveyor *Surveyor
	inv      *registrar.Inventory
	query    router.Query
	members  []detector.MemberView
	near     []string
	rules    rules
}

// add adds a zone, and once more for those of its slots that other hosts hold where this host
// holds some.
func (v *view) add(zones []router.Zone, z registrar.Zone) []router.Zone {
	remote := v.zone(z)
	remote.Load, remote.Hosts = loadOf(z.Name, v.query.Service, v.members)
	if slices.Contains(v.near, z.Name) {
		near := v.zone(z)
		near.Near = true
		zones = append(zones, near)
		if len(remote.Hosts) == 0 {
			return zones
		}
		remote.RTT = max(remote.RTT, nearRTT)
	}
	if !remote.Load.Known {
		remote.Hosts = v.standingHosts(z.Name)
	}
	return append(zones, remote)
}

func (v *view) zone(z registrar.Zone) router.Zone {
	out := router.Zone{
		Name:     z.Name,
		Region:   z.Region,
		Draining: v.surveyor.cfg.DrainsZone(z.Name),
		Weight:   v.rules.weight(z.Name),
		Rank:     v.rules.rank(z.Region),
		Senders:  v.senders(),
	}
	v.locate(&out)
	return out
}

func (v *view) locate(out *router.Zone) {
	own, _ := v.inv.Zone(v.surveyor.zone)
	switch {
	case out.Name == own.Name:
	case out.Region == own.Region:
		out.RTT = nearRTT
	default:
		link, _ := v.inv.Link(own.Region, out.Region)
		out.RTT = link.RTT
	}
}

// standingHosts returns the zone's own entry hosts that are not known to have ended.
func (v *view) standingHosts(zone string) []string {
	var hosts []string
	for _, m := range v.members {
		if m.Host.Zone != zone {
			continue
		}
		switch m.State {
		case detector.StateDead, detector.StateLeft, detector.StateLeaving:
		default:
			hosts = append(hosts, m.Host.Name)
		}
	}
	return hosts
}

func (v *view) senders() int {
	n := 1
	for _, m := range v.members {
		if m.State == detector.StateLive || m.State == detector.StateSuspect {
			n++
		}
	}
	return n
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
