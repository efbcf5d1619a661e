package selector

import (
	"sync"
	"time"

	"github.com/fescuethread/fescuethread/planner"
	"github.com/fescuethread/fescuethread/timer"
)

// Config holds the selector's settings.
type Config struct {
	// Host is this host's name.
	Host string
	// Zone is this host's availability zone.
	Zone string
	// Regions maps each availability zone to its region.
	Regions map[string]string
	// ColdExcess is a factor: all hosts together send a cold target at most ColdExcess times the
	// service's cold rate, plus ColdSlack requests, in one second.
	ColdExcess float64
	// ColdSlack is a number of requests; see ColdExcess.
	ColdSlack float64
	// MaxShiftFraction is the largest fraction of a region's requests that may move to another region
	// within ShiftWindow; 0 means no limit.
	MaxShiftFraction float64
	// Placement says whether objects have fixed places.
	Placement Mode
	// Pressure says that callers press for more than there is room, for ModeAuto.
	Pressure bool
}

// Selector chooses targets; it is safe for concurrent use.
type Selector struct {
	cfg Config

	mu    sync.Mutex
	hosts []Host
	// hostsByRegion holds the hosts of each region.
	hostsByRegion map[string][]Host
	targets       map[string]*target
	services      map[string]*service
	evacuated     map[string]bool
	demands       map[string]Demand
	departed      map[startKey]departed
	windows       map[string]window
	// byView maps the targets' hashes in views and notices to the targets.
	byView map[uint32]*target
	// seen lists the targets with outcomes that peers haven't been told of.
	seen  []*target
	moves *moveLog
	// notices lists the targets whose end peers are to be told of.
	notices []*target
	// sharedMachines says that a target has reported how much others on its machine slow it down.
	sharedMachines bool
	// populated is set by the first call of SetTargets.
	populated bool
}

// service holds the targets of a service by availability zone, and the zones' shares of its
// requests.
type service struct {
	config planner.Service
	zones  map[string][]*target
	// shares are the fractions of the requests that go to each zone.
	shares map[string]float64
	// capacity is the number of usable slots of each zone.
	capacity map[string]float64
	meter    demandMeter
	routes   map[string]*routeStats
	// regions holds the targets on which objects are placed, by region.
	regions map[string]*region
}

// New returns a selector without targets.
func New(cfg Config) *Selector {
	return &Selector{
		cfg:       cfg,
		targets:   map[string]*target{},
		services:  map[string]*service{},
		evacuated: map[string]bool{},
		demands:   map[string]Demand{},
		departed:  map[startKey]departed{},
		windows:   map[string]window{},
		byView:    map[uint32]*target{},
		moves:     newMoveLog(),
	}
}

// SetServices sets the services of the current plan.
func (s *Selector) SetServices(services []planner.Service) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, c := range services {
		s.service(c.Name).config = c
	}
	for _, t := range s.targets {
		t.coldPeriod = s.service(t.Service).coldPeriod()
	}
}

// Host is a registered host.
type Host struct {
	// Name is the host's name.
	Name string
	// Zone is its availability zone.
	Zone string
}

// SetHosts sets all registered hosts.
func (s *Selector) SetHosts(hosts []Host) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.hosts = hosts
	s.hostsByRegion = map[string][]Host{}
	for _, h := range hosts {
		region := s.cfg.Regions[h.Zone]
		s.hostsByRegion[region] = append(s.hostsByRegion[region], h)
	}
}

// Tick updates the averages and the zones' shares; it is called periodically, see TickInterval.
func (s *Selector) Tick(now timer.Instant) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.pruneDeparted(now)
	s.pruneDemands(now)
	for name, svc := range s.services {
		s.markPlaced(svc)
		svc.meter.tick(now)
		svc.detectCommonFailure(now)
		s.updateShares(now, name, svc)
	}
}

// RecordRequest counts a caller's request for a service, whether it is served or not.
func (s *Selector) RecordRequest(name string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.service(name).meter.arrivals++
}

// Choose chooses the target of a request and counts the request as in flight there. Each choice
// with a target must be passed to End.
func (s *Selector) Choose(now timer.Instant, q Query) Choice {
	s.mu.Lock()
	defer s.mu.Unlock()
	svc := s.service(q.Service)
	if svc.shares == nil {
		s.updateShares(now, q.Service, svc)
	}
	search := s.newSearch(now, q, svc)
	c := search.choose()
	if c.Chosen() {
		c.target.begin(now, c.baseLatency)
		s.moves.observe(search, &c)
	}
	return c
}

// End records the result of an attempt at the chosen target. It reports whether there is a notice
// for peers.
func (s *Selector) End(now timer.Instant, c *Choice, q Query, r Result) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.recordResult(now, c, q, r)
	return r.Refused && s.targets[c.target.ID] == c.target && s.noticeEnd(now, c.target)
}

func (s *Selector) recordResult(now timer.Instant, c *Choice, q Query, r Result) {
	svc := s.service(q.Service)
	r.BaseLatency = c.baseLatency
	c.target.end(now, c.sentAt, r, svc.meter.latency)
	if r.Report != nil && r.Report.Slowdown > 0 {
		s.sharedMachines = true
	}
	placed := s.placed()
	if placed {
		s.recordView(c.target, r, c.target.observeLevel(now, r))
	}
	if r.Outcome != OutcomeAnswered {
		return
	}
	if !placed {
		svc.route(q.Route).observe(r.Latency)
		svc.meter.observe(r.Latency)
		return
	}
	s.observeUnqueued(svc, c, q, r.Latency)
}

// observeUnqueued adds a response to the averages where objects have places. A request that waited
// says nothing of how long a slot is taken, nor does one that came from another region: the way
// there takes longer than the work.
func (s *Selector) observeUnqueued(svc *service, c *Choice, q Query, latency time.Duration) {
	route := svc.route(q.Route)
	if !c.queued || route.latency == 0 {
		route.observe(latency)
	}
	near := s.cfg.Regions[c.target.Zone] == s.cfg.Regions[s.cfg.Zone]
	if !c.queued && near || svc.meter.latency == 0 {
		svc.meter.observe(latency)
	}
}

func (s *Selector) service(name string) *service {
	svc, ok := s.services[name]
	if !ok {
		svc = &service{
			config: planner.Service{Name: name},
			zones:  map[string][]*target{},
			routes: map[string]*routeStats{},
		}
		s.services[name] = svc
	}
	return svc
}
