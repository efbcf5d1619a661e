package relayer

import (
	"time"

	"github.com/pkg/errors"
	"google.golang.org/protobuf/proto"

	"github.com/fescuethread/fescuethread/announcer"
	"github.com/fescuethread/fescuethread/follower"
	"github.com/fescuethread/fescuethread/messenger"
	"github.com/fescuethread/fescuethread/planner"
	"github.com/fescuethread/fescuethread/selector"
	"github.com/fescuethread/fescuethread/timer"
)

// decode decodes content that was requested at requestedAt; its VerifiedAt is requestedAt less its
// age.
func decode(
	body []byte, subject follower.Subject, requestedAt timer.Instant,
) (follower.Content, error) {
	var m messenger.Content
	if err := proto.Unmarshal(body, &m); err != nil {
		return follower.Content{}, malformed(subject, err)
	}
	c := follower.Content{
		Summary: follower.Summary{
			Subject: subject, Hash: m.GetMark(),
			VerifiedAt: requestedAt.Add(-time.Duration(m.GetAge()) * time.Millisecond),
		},
	}
	var err error
	switch subject {
	case follower.SubjectPlan:
		if c.Plan, err = decodePlan(m.GetPlan()); err != nil {
			return follower.Content{}, malformed(subject, err)
		}
	case follower.SubjectTargets:
		c.Changes = decodeTargets(&m)
	case follower.SubjectEvacuations:
		c.Evacuations = follower.Evacuations{Zones: m.GetZones(), Revision: m.GetRevision()}
	case follower.SubjectHosts:
		c.Hosts = decodeHosts(&m)
	}
	return c, nil
}

func decodeHosts(m *messenger.Content) follower.Hosts {
	h := follower.Hosts{Revision: m.GetRevision()}
	for _, member := range m.GetMembers() {
		h.Members = append(h.Members, announcer.Member{
			Name: member.GetName(), Zone: member.GetZone(), Region: member.GetRegion(),
			CallerAddress: member.GetCallers(), PeerAddress: member.GetPeer(),
			Capacity: member.GetCapacity(),
		})
	}
	return h
}

func malformed(subject follower.Subject, err error) error {
	return &Error{Op: "decode " + subject.String(), Kind: KindMalformed, Err: err}
}

func decodePlan(m *messenger.PlanContent) (*planner.Plan, error) {
	if m == nil {
		return nil, errors.New("no plan")
	}
	l := m.GetLimits()
	s := planner.Spec{
		Version: m.GetVersion(),
		Limits: planner.Limits{
			MaxHeaderBytes: int(l.GetHeader()), MaxBodyBytes: int(l.GetBody()),
			HeaderTimeout: time.Duration(l.GetTime()), IdleTimeout: time.Duration(l.GetIdle()),
		},
	}
	for _, r := range m.GetRoutes() {
		s.Routes = append(s.Routes, decodeRoute(r))
	}
	for _, v := range m.GetServices() {
		s.Services = append(s.Services, planner.Service{
			Name: v.GetName(), HealthPath: v.GetHealth(), MaxConnections: int(v.GetConnections()),
			ColdPeriod: time.Duration(v.GetCold()), ColdRate: v.GetRate(),
		})
	}
	if m.GetKeyed() {
		// Unlike nil, an empty list means that requests need an API key.
		s.Customers = []planner.Customer{}
	}
	for _, c := range m.GetCustomers() {
		customer, err := decodeCustomer(c)
		if err != nil {
			return nil, err
		}
		s.Customers = append(s.Customers, customer)
	}
	return planner.New(s), nil
}

func decodeRoute(m *messenger.RouteContent) planner.Route {
	r := planner.Route{
		Name: m.GetName(), Host: m.GetHost(), Prefix: m.GetPrefix(), Kind: planner.Kind(m.GetKind()),
		Timeout: time.Duration(m.GetTimeout()), Objective: time.Duration(m.GetObjective()),
		MaxAttempts: int(m.GetAttempts()), Priority: int(m.GetPriority()),
		Public: m.GetOpen(), Sticky: m.GetSticky(), HomeRegions: m.GetHomes(),
	}
	for _, p := range m.GetParts() {
		r.Services = append(r.Services, planner.WeightedService{
			Service: p.GetService(), Weight: int(p.GetWeight()),
		})
	}
	return r
}

func decodeCustomer(m *messenger.CustomerContent) (planner.Customer, error) {
	c := planner.Customer{
		Name: m.GetName(), Rate: m.GetRate(), Burst: m.GetBurst(), HomeRegions: m.GetHomes(),
	}
	if m.Priority != nil {
		priority := int(m.GetPriority())
		c.Priority = &priority
	}
	for _, d := range m.GetDigests() {
		var digest planner.Digest
		if copy(digest[:], d) != len(digest) || len(d) != len(digest) {
			return c, errors.Errorf("customer %s: invalid key digest of %d bytes", m.GetName(), len(d))
		}
		c.KeyDigests = append(c.KeyDigests, digest)
	}
	return c, nil
}

func decodeTargets(m *messenger.Content) follower.Changes {
	c := follower.Changes{Revision: m.GetRevision(), Complete: m.GetWhole()}
	for _, t := range m.GetTargets() {
		change := follower.Change{Name: t.GetId(), Removed: t.GetRemoved(), Missing: t.GetMissing()}
		if !change.Removed {
			change.Target = selector.Target{
				ID: t.GetId(), Service: t.GetService(), Address: t.GetAddress(), Zone: t.GetZone(),
				Slots: int(t.GetSlots()), Draining: t.GetDraining(),
				ColdRemaining: time.Duration(t.GetCold()), StartMillis: t.GetStart(),
			}
		}
		c.Changed = append(c.Changed, change)
	}
	return c
}
