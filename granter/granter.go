package granter

import (
	"sync"
	"time"

	"github.com/fescuethread/fescuethread/isolator"
	"github.com/fescuethread/fescuethread/registrar"
	"github.com/fescuethread/fescuethread/scheduler"
	"github.com/fescuethread/fescuethread/timer"
)

// Clock reads the boot clock.
type Clock func() timer.Instant

// Granter holds the schedulers of the zones near this host.
type Granter struct {
	cfg      scheduler.Config
	isolator *isolator.Isolator
	now      Clock

	mu    sync.Mutex
	zones map[string]*zone
}

type zone struct {
	scheduler *scheduler.Scheduler
	targets   map[string]registrar.Target
	index     int
	count     int
}

// New returns a granter without zones.
func New(cfg scheduler.Config, i *isolator.Isolator, now Clock) *Granter {
	return &Granter{cfg: cfg, isolator: i, now: now, zones: make(map[string]*zone)}
}

// Configure sets the targets of a zone and which of them are draining.
func (g *Granter) Configure(
	name string, services []scheduler.Service, targets []registrar.Target, draining []string,
) error {
	now := g.now()
	z := g.zone(name)
	known := make(map[string]registrar.Target, len(targets))
	list := make([]scheduler.Target, 0, len(targets))
	for _, t := range targets {
		known[t.Name] = t
		list = append(list, toScheduler(t))
	}
	g.mu.Lock()
	z.targets = known
	g.mu.Unlock()
	if err := z.scheduler.Configure(now, list); err != nil {
		return err
	}
	for _, s := range services {
		z.scheduler.SetService(s)
	}
	for name := range known {
		z.scheduler.Undrain(now, name)
	}
	for _, name := range draining {
		z.scheduler.Drain(now, name)
	}
	return nil
}

func toScheduler(t registrar.Target) scheduler.Target {
	return scheduler.Target{
		Name:        t.Name,
		Service:     t.Service,
		Address:     t.Address,
		Slots:       t.Slots,
		Connections: t.Connections,
		Warmup:      t.Warmup,
	}
}

// SetShare sets this host's place among the holders of a zone's slots; slots that it did not hold
// before are used once hold has passed.
func (g *Granter) SetShare(name string, holders []string, self string, hold time.Duration) {
	z := g.zone(name)
	index, count := scheduler.ShareOf(holders, self)
	g.mu.Lock()
	z.index = index
	z.count = count
	g.mu.Unlock()
	now := g.now()
	z.scheduler.SetShare(now, index, count, now.Add(hold))
}

// Near returns the zones that this host holds slots of.
func (g *Granter) Near() []string {
	g.mu.Lock()
	defer g.mu.Unlock()
	var names []string
	for name, z := range g.zones {
		if z.index >= 0 && z.count > 0 {
			names = append(names, name)
		}
	}
	return names
}

// Loads returns the loads of a zone's services; a zone without slots here has none.
func (g *Granter) Loads(name string) []scheduler.Load {
	return g.zone(name).scheduler.Loads(g.now())
}

// Standings returns the state of a zone's targets of one service.
func (g *Granter) Standings(name, service string) []scheduler.Standing {
	return g.zone(name).scheduler.Standings(g.now(), service)
}

// Report takes in what a target says of itself.
func (g *Granter) Report(zone, target string, r scheduler.Report) {
	g.zone(zone).scheduler.Report(g.now(), target, r)
}

// Tick refuses what cannot meet its deadline any more.
func (g *Granter) Tick(now timer.Instant) {
	g.mu.Lock()
	zones := make([]*zone, 0, len(g.zones))
	for _, z := range g.zones {
		zones = append(zones, z)
	}
	g.mu.Unlock()
	for _, z := range zones {
		z.scheduler.Tick(now)
	}
}

// Busy returns the number of slots in use and of requests that wait.
func (g *Granter) Busy() int {
	n := 0
	for _, name := range g.Near() {
		for _, l := range g.Loads(name) {
			n += l.Busy + l.Queued
		}
	}
	return n
}

func (g *Granter) zone(name string) *zone {
	g.mu.Lock()
	defer g.mu.Unlock()
	z, ok := g.zones[name]
	if !ok {
		z = &zone{scheduler: scheduler.New(g.cfg), index: -1}
		z.scheduler.SetShare(g.now(), -1, 0, g.now())
		g.zones[name] = z
	}
	return z
}
