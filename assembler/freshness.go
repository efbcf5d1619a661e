package assembler

import (
	"sync"
	"time"

	"github.com/fescuethread/fescuethread/authenticator"
	"github.com/fescuethread/fescuethread/detector"
	"github.com/fescuethread/fescuethread/enforcer"
	"github.com/fescuethread/fescuethread/logger"
	"github.com/fescuethread/fescuethread/timer"
)

// verdictPeriod is the time for which a verdict on the keys' freshness is kept.
const verdictPeriod = 200 * time.Millisecond

// keyGuard judges whether this host may have missed the withdrawal of a key.
type keyGuard struct {
	host   *Host
	policy authenticator.Policy

	mu       sync.Mutex
	at       timer.Instant
	decision authenticator.Decision
}

func newKeyGuard(h *Host) *keyGuard {
	return &keyGuard{host: h, policy: authenticator.Policy{
		Bound: h.settings.Keys.Bound.Std(),
		Stale: authenticator.Stale(h.settings.Keys.Stale),
	}}
}

// MayServeKeyed reports whether keyed routes are served.
func (g *keyGuard) MayServeKeyed(now timer.Instant) bool {
	return g.judge(now).Keyed
}

// judge returns the verdict, made anew once per verdictPeriod.
func (g *keyGuard) judge(now timer.Instant) authenticator.Decision {
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.at != 0 && now.Sub(g.at) < verdictPeriod {
		return g.decision
	}
	before := g.decision.Freshness
	g.at = now
	g.decision = g.policy.Decide(g.evidence(now))
	if before != g.decision.Freshness {
		g.host.log.Log(freshnessEvent(g.decision.Freshness),
			logger.F("before", string(before)),
			logger.F("keyed", g.decision.Keyed),
			logger.F("reason", g.decision.Reason),
		)
	}
	return g.decision
}

func freshnessEvent(f authenticator.Freshness) logger.Event {
	switch f {
	case authenticator.Fresh:
		return authenticator.EventFresh
	case authenticator.Outage:
		return authenticator.EventOutage
	default:
		return authenticator.EventCutOff
	}
}

func (g *keyGuard) evidence(now timer.Instant) authenticator.Evidence {
	c := g.host.enforcer.Configuration()
	e := authenticator.Evidence{
		Zone:    g.host.settings.Host.Zone,
		Keys:    c.KeysVersion,
		Contact: g.host.contactAge(now),
	}
	if c.Inventory == nil {
		return e
	}
	for _, z := range c.Inventory.Zones() {
		if len(c.Inventory.HostsIn(z.Name)) > 0 {
			e.Zones = append(e.Zones, z.Name)
		}
	}
	for _, m := range g.host.detector.Members(now) {
		if m.State != detector.StateLeft && m.Sequence > 0 {
			e.Reports = append(e.Reports, reportOf(m))
		}
	}
	return e
}

// reportOf turns a member's heartbeat into evidence; its age is that of the heartbeat.
func reportOf(m detector.MemberView) authenticator.Report {
	r := authenticator.Report{
		Host: m.Host.Name, Zone: m.Host.Zone, Contact: authenticator.Never, Heard: m.Age,
	}
	if m.Contact != detector.NoContact {
		r.Contact = m.Contact - m.Age
	}
	for _, d := range m.Documents {
		if d.GetName() == enforcer.DocumentKeys {
			r.Keys = d.GetVersion()
		}
	}
	return r
}

// contactAge returns the age of the newest confirmed contact with the platform.
func (h *Host) contactAge(now timer.Instant) time.Duration {
	at, ok := h.reader.Contact()
	if !ok {
		return authenticator.Never
	}
	return now.Sub(at)
}
