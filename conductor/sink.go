package conductor

import (
	"github.com/fescuethread/fescuethread/announcer"
	"github.com/fescuethread/fescuethread/logger"
	"github.com/fescuethread/fescuethread/planner"
	"github.com/fescuethread/fescuethread/selector"
	"github.com/fescuethread/fescuethread/sharer"
	"github.com/fescuethread/fescuethread/timer"
)

// sink applies what the follower has read from the store.
type sink struct {
	host *Host
}

// UsePlan implements follower.Sink.
func (s sink) UsePlan(p *planner.Plan) {
	h := s.host
	h.selector.SetServices(p.Services())
	h.sharer.Configure(timer.Now(), p.Customers(), h.tokenHosts())
	h.setConnectionLimits(p)
}

// UseTargets implements follower.Sink.
func (s sink) UseTargets(targets []selector.Target) {
	if gone := s.host.selector.SetTargets(timer.Now(), targets); len(gone) > 0 {
		s.host.sender.Retain(targets)
	}
}

// UseEvacuations implements follower.Sink.
func (s sink) UseEvacuations(zones []string) {
	s.host.log.Log(eventEvacuations, logger.F("zones", zones))
	s.host.selector.SetEvacuated(timer.Now(), zones)
}

// UseHosts implements follower.Sink.
func (s sink) UseHosts(readAt timer.Instant, members []announcer.Member) {
	h := s.host
	wasListed, _ := h.roster.SelfListed()
	joined, left := h.roster.Replace(readAt, members)
	listed, _ := h.roster.SelfListed()
	if len(joined) == 0 && len(left) == 0 && listed == wasListed {
		return
	}
	h.log.Log(eventHostsChanged, logger.F("joined", joined), logger.F("left", left),
		logger.F("hosts", h.hostCount()), logger.F("listed", listed))
	h.selector.SetHosts(h.selectorHosts())
	h.steerer.SetHostCount(h.hostCount())
	if p := h.follower.Plan(); p != nil {
		h.sharer.Configure(timer.Now(), p.Customers(), h.tokenHosts())
		h.setConnectionLimits(p)
	}
}

// AnnounceSoon implements follower.Sink.
func (s sink) AnnounceSoon() {
	s.host.announcer.SendHeartbeatEarly(timer.Now())
}

// tokenHosts returns the registered hosts, which share the customers' rates.
func (h *Host) tokenHosts() []sharer.Host {
	members := h.roster.Members()
	hosts := make([]sharer.Host, 0, len(members))
	for _, m := range members {
		hosts = append(hosts, sharer.Host{Name: m.Name, Zone: m.Zone, Region: m.Region})
	}
	return hosts
}

// selectorHosts returns the registered hosts, which share the requests to cold targets.
func (h *Host) selectorHosts() []selector.Host {
	members := h.roster.Members()
	hosts := make([]selector.Host, 0, len(members))
	for _, m := range members {
		hosts = append(hosts, selector.Host{Name: m.Name, Zone: m.Zone})
	}
	return hosts
}

func (h *Host) hostCount() int {
	return max(len(h.roster.Members()), 1)
}

// setConnectionLimits divides the connections that each target accepts among the hosts. Each host
// gets at least 2, so many hosts together can exceed a small limit.
func (h *Host) setConnectionLimits(p *planner.Plan) {
	for _, s := range p.Services() {
		if s.MaxConnections > 0 {
			h.sender.SetMaxConnections(s.Name, max(s.MaxConnections/h.hostCount(), 2))
		}
	}
}
