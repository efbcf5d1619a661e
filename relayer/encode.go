package relayer

import (
	"github.com/fescuethread/fescuethread/follower"
	"github.com/fescuethread/fescuethread/messenger"
	"github.com/fescuethread/fescuethread/planner"
	"github.com/fescuethread/fescuethread/timer"
)

// encode encodes content with its age in place of VerifiedAt, since each host has its own clock.
func encode(now timer.Instant, c follower.Content) *messenger.Content {
	m := &messenger.Content{
		Mark:  c.Summary.Hash,
		Age:   follower.AgeMillis(now, c.Summary.VerifiedAt),
		Zones: c.Evacuations.Zones,
	}
	switch c.Summary.Subject {
	case follower.SubjectTargets:
		encodeTargets(m, c.Changes)
	case follower.SubjectEvacuations:
		m.Revision = c.Evacuations.Revision
	case follower.SubjectHosts:
		m.Revision = c.Hosts.Revision
	}
	if c.Plan != nil {
		m.Plan = encodePlan(c.Plan)
	}
	for _, h := range c.Hosts.Members {
		m.Members = append(m.Members, &messenger.MemberContent{
			Name: h.Name, Zone: h.Zone, Region: h.Region, Callers: h.CallerAddress, Peer: h.PeerAddress,
			Capacity: h.Capacity,
		})
	}
	return m
}

func encodePlan(p *planner.Plan) *messenger.PlanContent {
	l := p.Limits()
	m := &messenger.PlanContent{
		Version: p.Version(),
		Keyed:   p.Customers() != nil,
		Limits: &messenger.LimitsContent{
			Header: int64(l.MaxHeaderBytes), Body: int64(l.MaxBodyBytes),
			Time: int64(l.HeaderTimeout), Idle: int64(l.IdleTimeout),
		},
	}
	for _, r := range p.Routes() {
		m.Routes = append(m.Routes, encodeRoute(r))
	}
	for _, s := range p.Services() {
		m.Services = append(m.Services, &messenger.ServiceContent{
			Name: s.Name, Health: s.HealthPath, Connections: int32(s.MaxConnections),
			Cold: int64(s.ColdPeriod), Rate: s.ColdRate,
		})
	}
	for _, c := range p.Customers() {
		m.Customers = append(m.Customers, encodeCustomer(c))
	}
	return m
}

func encodeRoute(r planner.Route) *messenger.RouteContent {
	m := &messenger.RouteContent{
		Name: r.Name, Host: r.Host, Prefix: r.Prefix, Kind: string(r.Kind),
		Timeout: int64(r.Timeout), Objective: int64(r.Objective),
		Attempts: int32(r.MaxAttempts), Priority: int32(r.Priority),
		Open: r.Public, Sticky: r.Sticky, Homes: r.HomeRegions,
	}
	for _, p := range r.Services {
		m.Parts = append(m.Parts, &messenger.PartContent{Service: p.Service, Weight: int32(p.Weight)})
	}
	return m
}

func encodeCustomer(c planner.Customer) *messenger.CustomerContent {
	m := &messenger.CustomerContent{Name: c.Name, Rate: c.Rate, Burst: c.Burst, Homes: c.HomeRegions}
	if c.Priority != nil {
		priority := int32(*c.Priority)
		m.Priority = &priority
	}
	for _, d := range c.KeyDigests {
		m.Digests = append(m.Digests, d[:])
	}
	return m
}

func encodeTargets(m *messenger.Content, c follower.Changes) {
	m.Revision, m.Whole = c.Revision, c.Complete
	for _, change := range c.Changed {
		t := change.Target
		m.Targets = append(m.Targets, &messenger.TargetContent{
			Id: change.Name, Service: t.Service, Address: t.Address, Zone: t.Zone, Slots: int32(t.Slots),
			Draining: t.Draining, Cold: int64(t.ColdRemaining), Start: t.StartMillis,
			Removed: change.Removed, Missing: change.Missing,
		})
	}
}
