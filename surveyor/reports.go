package surveyor

import (
	"slices"
	"time"

	"github.com/fescuethread/fescuethread/detector"
	"github.com/fescuethread/fescuethread/messenger"
	"github.com/fescuethread/fescuethread/router"
	"github.com/fescuethread/fescuethread/timer"
)

// reports are the peers' reports at one instant, by service and zone.
type reports struct {
	at timer.Instant
	// sites are the reports of hosts that are heard directly.
	sites map[site]*siteReport
	// sums are the reports of whole zones, whose hosts are not heard directly.
	sums map[site]router.Load
	// hosts are each zone's own hosts that are not known to have ended.
	hosts map[string][]string
	// direct are the zones of which some host is heard directly; their sums are left out, since they
	// count hosts that are joining.
	direct map[string]bool
	// peers counts each zone's hosts that may pass requests on.
	peers map[string]int
	// roomy counts those of them whose own slots of a service are not short.
	roomy map[site]int
}

// siteReport is what the hosts report that hold slots of a service in a zone.
type siteReport struct {
	load  router.Load
	hosts []string
}

func newReports(now timer.Instant, m Members) *reports {
	r := &reports{
		at:     now,
		sites:  make(map[site]*siteReport),
		sums:   make(map[site]router.Load),
		hosts:  make(map[string][]string),
		peers:  make(map[string]int),
		direct: make(map[string]bool),
		roomy:  make(map[site]int),
	}
	for _, v := range m.Members(now) {
		r.addMember(v)
	}
	for _, z := range m.Zones(now) {
		r.addZone(z)
	}
	return r
}

func (r *reports) addMember(m detector.MemberView) {
	switch m.State {
	case detector.StateDead, detector.StateLeft, detector.StateLeaving:
		return
	case detector.StateLive, detector.StateSuspect:
		r.addPeer(m)
	}
	r.hosts[m.Host.Zone] = append(r.hosts[m.Host.Zone], m.Host.Name)
	r.direct[m.Host.Zone] = r.direct[m.Host.Zone] || len(m.Loads) > 0
	if m.State != detector.StateLive {
		return
	}
	for _, l := range m.Loads {
		if l.GetSlots() > 0 {
			r.addLoad(m, l)
		}
	}
}

// addPeer counts a host that may pass on the requests that its own slots are short for.
func (r *reports) addPeer(m detector.MemberView) {
	r.peers[m.Host.Zone]++
	for i, l := range m.Loads {
		if !named(m.Loads[:i], l.GetService()) && !loadOf(m.Loads[i:], l.GetService()).Short() {
			r.roomy[site{service: l.GetService(), zone: m.Host.Zone}]++
		}
	}
}

func named(loads []*messenger.Load, service string) bool {
	return slices.ContainsFunc(loads, func(l *messenger.Load) bool {
		return l.GetService() == service
	})
}

// loadOf adds up a service's loads in all zones.
func loadOf(loads []*messenger.Load, service string) router.Load {
	var sum router.Load
	for _, l := range loads {
		if l.GetService() == service {
			sum = addLoad(sum, l, 0)
		}
	}
	return sum
}

func (r *reports) addLoad(m detector.MemberView, l *messenger.Load) {
	at := siteOf(m.Host.Zone, l)
	known := r.sites[at]
	if known == nil {
		known = &siteReport{}
		r.sites[at] = known
	}
	known.load = addLoad(known.load, l, m.Age)
	known.hosts = append(known.hosts, m.Host.Name)
}

func (r *reports) addZone(z detector.ZoneView) {
	if z.State != detector.StateLive || r.direct[z.Name] {
		return
	}
	for _, l := range z.Loads {
		at := siteOf(z.Name, l)
		r.sums[at] = addLoad(r.sums[at], l, z.Age)
	}
	for _, l := range z.Loads {
		at := siteOf(z.Name, l)
		if r.sites[at] == nil && at.zone == z.Name && !r.sums[at].Short() {
			r.roomy[at] = r.peers[z.Name]
		}
	}
}

// short counts the hosts of a zone whose own slots of a service are short, or of which nothing is
// known.
func (r *reports) short(service, zone string) int {
	return max(r.peers[zone]-r.roomy[site{service: service, zone: zone}], 0)
}

// senders counts the hosts that are likely to pass requests to some zone, this one included.
func (r *reports) senders(service string) int {
	n := 1
	for zone := range r.peers {
		n += r.short(service, zone)
	}
	return n
}

// siteOf is what the load is of, as a host of a zone reports it.
func siteOf(zone string, l *messenger.Load) site {
	return site{service: l.GetService(), zone: detector.LoadZone(zone, l)}
}

// of returns the report of a site, as old as it is by then, and the hosts to pass requests to.
func (r *reports) of(at site, age time.Duration) (router.Load, []string) {
	if known := r.sites[at]; known != nil {
		return aged(known.load, age), known.hosts
	}
	if sum, ok := r.sums[at]; ok && len(r.hosts[at.zone]) > 0 {
		return aged(sum, age), r.hosts[at.zone]
	}
	return router.Load{}, r.hosts[at.zone]
}

func aged(l router.Load, by time.Duration) router.Load {
	l.Age += by
	return l
}

func addLoad(sum router.Load, l *messenger.Load, age time.Duration) router.Load {
	return router.Load{
		Known:   true,
		Age:     max(sum.Age, age),
		Ready:   sum.Ready + int(l.GetReady()),
		Busy:    sum.Busy + int(l.GetBusy()),
		Queued:  sum.Queued + int(l.GetQueued()),
		Service: max(sum.Service, time.Duration(l.GetTook())*time.Microsecond),
	}
}
