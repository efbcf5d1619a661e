package surveyor

import (
	"context"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/fescuethread/fescuethread/detector"
	"github.com/fescuethread/fescuethread/limiter"
	"github.com/fescuethread/fescuethread/registrar"
	"github.com/fescuethread/fescuethread/router"
	"github.com/fescuethread/fescuethread/scheduler"
	"github.com/fescuethread/fescuethread/timer"
)

// nearRTT is the round-trip time between availability zones of one region.
const nearRTT = time.Millisecond

// Configuration gives what the operators laid down.
type Configuration interface {
	// Inventory returns the inventory in force, or nil.
	Inventory() *registrar.Inventory
	// DrainsZone reports whether a zone takes no new work.
	DrainsZone(zone string) bool
}

// Slots tells what this host knows of targets at first hand.
type Slots interface {
	// Near returns the zones that this host holds slots of.
	Near() []string
	// Loads returns the loads of a zone's services.
	Loads(zone string) []scheduler.Load
}

// Members tells what other hosts report.
type Members interface {
	// Members returns what is known of each other host.
	Members(now timer.Instant) []detector.MemberView
	// Zones returns what is known of each availability zone.
	Zones(now timer.Instant) []detector.ZoneView
}

// Limiter admits units of an account.
type Limiter interface {
	Admit(account string, units int64) limiter.Decision
}

// Surveyor gathers the signals and routes by them.
type Surveyor struct {
	host    string
	zone    string
	cfg     Configuration
	slots   Slots
	members Members
	limiter Limiter

	mu      sync.Mutex
	flights map[site]*router.Flight
	surveys map[router.Query]survey
	reports *reports
}

// site is a service in an availability zone.
type site struct {
	service string
	zone    string
}

// New returns a surveyor for a host of an availability zone.
func New(
	host, zone string, cfg Configuration, s Slots, m Members, l Limiter,
) *Surveyor {
	return &Surveyor{
		host:    host,
		zone:    zone,
		cfg:     cfg,
		slots:   s,
		members: m,
		limiter: l,
		flights: make(map[site]*router.Flight),
		surveys: make(map[router.Query]survey),
		reports: &reports{},
	}
}

// Route orders the zones for a request.
func (s *Surveyor) Route(now timer.Instant, q router.Query) router.Decision {
	inv := s.cfg.Inventory()
	if inv == nil {
		return router.Decision{}
	}
	own, _ := inv.Zone(s.zone)
	return router.Decide(own.Region, s.Survey(now, q), picker{})
}

// picker spreads requests over the hosts of a zone.
type picker struct{}

// IntN returns a number below n.
func (picker) IntN(n int) int {
	return rand.IntN(n)
}

// Survey returns what is known of each zone that has targets of the service.
func (s *Surveyor) Survey(now timer.Instant, q router.Query) []router.Zone {
	inv := s.cfg.Inventory()
	if inv == nil {
		return nil
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	kept := s.surveys[q]
	if kept.inv != inv || now.Sub(kept.at) >= surveyPeriod {
		kept = survey{at: now, inv: inv, zones: s.gather(now, inv, q)}
		s.keep(q, kept)
	}
	return s.refresh(now, q, kept)
}

func (s *Surveyor) gather(
	now timer.Instant, inv *registrar.Inventory, q router.Query,
) []router.Zone {
	if s.reports.at == 0 || now.Sub(s.reports.at) >= surveyPeriod {
		s.reports = newReports(now, s.members)
	}
	own, _ := inv.Zone(s.zone)
	v := &view{
		surveyor: s,
		inv:      inv,
		query:    q,
		own:      own,
		reports:  s.reports,
		senders:  s.reports.senders(q.Service),
		age:      now.Sub(s.reports.at),
		near:     s.slots.Near(),
		rules:    findRules(inv, q),
	}
	var zones []router.Zone
	for _, z := range inv.Zones() {
		if len(inv.TargetsIn(q.Service, z.Name)) > 0 {
			zones = v.add(zones, z)
		}
	}
	return zones
}

// Begin takes a request out of the caps on shifts and counts it in.
func (s *Surveyor) Begin(
	now timer.Instant, service string, choice router.Choice,
) bool {
	if !s.charge(service, choice.Region) {
		return false
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.flight(service, choice.Zone).Begin(now)
	return true
}

// End counts a request out with what it tells of the zone.
func (s *Surveyor) End(
	now timer.Instant, service string, choice router.Choice, feedback router.Feedback,
) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.flight(service, choice.Zone).End(now, feedback)
}

func (s *Surveyor) flight(service, zone string) *router.Flight {
	at := site{service: service, zone: zone}
	f := s.flights[at]
	if f == nil {
		f = &router.Flight{}
		s.flights[at] = f
	}
	return f
}

// charge takes a request out of the caps on shifts to a region.
func (s *Surveyor) charge(service, region string) bool {
	inv := s.cfg.Inventory()
	own, _ := inv.Zone(s.zone)
	if own.Region == region {
		return true
	}
	for _, r := range inv.Rules() {
		if !capApplies(r, service, own.Region, region) {
			continue
		}
		if !s.limiter.Admit(CapAccount(r), 1).Admitted {
			return false
		}
	}
	return true
}

// Send takes bytes out of the link to a zone's region; it reports false when the link is full.
func (s *Surveyor) Send(zone string, bytes int64) bool {
	account, ok := s.link(zone)
	return !ok || s.limiter.Admit(account, max(bytes, 1)).Admitted
}

// link names the account of the link to a zone's region; there is none within a region.
func (s *Surveyor) link(zone string) (string, bool) {
	inv := s.cfg.Inventory()
	own, _ := inv.Zone(s.zone)
	to, ok := inv.Zone(zone)
	if !ok || to.Region == own.Region {
		return "", false
	}
	_, ok = inv.Link(own.Region, to.Region)
	return LinkAccount(own.Region, to.Region), ok
}

func capApplies(r registrar.Rule, service, from, to string) bool {
	if r.Kind != registrar.RuleCap || r.From != from || r.To != to {
		return false
	}
	return r.Service == "" || r.Service == service
}

// Reply waits until the link to the sender's region has room for an answer.
func (s *Surveyor) Reply(ctx context.Context, zone string, bytes int64) error {
	account, ok := s.link(zone)
	if !ok || bytes == 0 {
		return nil
	}
	for left := bytes; left > 0; left -= replyPiece {
		if err := s.awaitLink(ctx, account, min(left, replyPiece)); err != nil {
			return err
		}
	}
	return nil
}

// replyPiece is the size of the pieces that an answer is charged in, so that it may be larger than
// a host's part of a link's burst.
const replyPiece = 64 << 10

func (s *Surveyor) awaitLink(ctx context.Context, account string, bytes int64) error {
	for {
		d := s.limiter.Admit(account, bytes)
		if d.Admitted {
			return nil
		}
		if err := pause(ctx, max(d.Retry, time.Millisecond)); err != nil {
			return err
		}
	}
}

func pause(ctx context.Context, d time.Duration) error {
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-t.C:
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}

// LinkAccount names the limiter's account of the link from one region to another.
func LinkAccount(from, to string) string {
	return "link/" + from + "/" + to
}

// CapAccount names the limiter's account of a cap on shifts.
func CapAccount(r registrar.Rule) string {
	return "cap/" + r.Service + "/" + r.From + "/" + r.To
}
