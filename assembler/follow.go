package assembler

import (
	"time"

	"github.com/fescuethread/fescuethread/arbiter"
	"github.com/fescuethread/fescuethread/carrier"
	"github.com/fescuethread/fescuethread/detector"
	"github.com/fescuethread/fescuethread/enforcer"
	"github.com/fescuethread/fescuethread/limiter"
	"github.com/fescuethread/fescuethread/registrar"
	"github.com/fescuethread/fescuethread/scheduler"
	"github.com/fescuethread/fescuethread/surveyor"
	"github.com/fescuethread/fescuethread/timer"
)

// linkBurst is the part of a second's bytes that a link takes at once.
const linkBurst = 100 * time.Millisecond

// percent is the number of hundredths in a whole.
const percent = 100

// Follow hands a configuration to the parts that work by it.
func (h *Host) Follow(c enforcer.Configuration) error {
	if c.Inventory == nil {
		return nil
	}
	now := timer.Now()
	h.detector.Configure(now, hostInfos(c.Inventory))
	if err := h.limiter.Configure(planOf(c)); err != nil {
		return err
	}
	return h.configureTargets(c)
}

func hostInfos(inv *registrar.Inventory) []detector.HostInfo {
	var infos []detector.HostInfo
	for _, host := range inv.Hosts() {
		zone, _ := inv.Zone(host.Zone)
		info := detector.HostInfo{Name: host.Name, Zone: host.Zone, Region: zone.Region}
		infos = append(infos, info)
	}
	return infos
}

// planOf turns the limits of an inventory into the limiter's accounts.
func planOf(c enforcer.Configuration) limiter.Plan {
	p := limiter.Plan{Version: c.Version}
	for _, host := range c.Inventory.Hosts() {
		p.Hosts = append(p.Hosts, host.Name)
	}
	for _, customer := range c.Inventory.Customers() {
		p.Accounts = append(p.Accounts, limiter.Account{
			Name:  carrier.AccountOf(customer.Name),
			Rate:  customer.Rate,
			Burst: customer.Burst,
		})
	}
	for _, link := range c.Inventory.Links() {
		p.Accounts = append(p.Accounts, limiter.Account{
			Name:  surveyor.LinkAccount(link.From, link.To),
			Rate:  link.BytesPerSecond,
			Burst: link.BytesPerSecond * int64(linkBurst) / int64(time.Second),
		})
	}
	for _, r := range c.Inventory.Rules() {
		if r.Kind == registrar.RuleCap {
			account := limiter.Account{Name: surveyor.CapAccount(r), Rate: r.Rate, Burst: r.Rate}
			p.Accounts = append(p.Accounts, account)
		}
	}
	return p
}

// configureTargets hands each zone's targets to the granter.
func (h *Host) configureTargets(c enforcer.Configuration) error {
	for _, zone := range c.Inventory.Zones() {
		var targets []registrar.Target
		var draining []string
		for _, s := range c.Inventory.Services() {
			for _, t := range c.Inventory.TargetsIn(s.Name, zone.Name) {
				targets = append(targets, t)
				if c.Drains.Target(c.Inventory, t) {
					draining = append(draining, t.Name)
				}
			}
		}
		err := h.granter.Configure(zone.Name, servicesOf(c.Inventory), targets, draining)
		if err != nil {
			return err
		}
	}
	return nil
}

// servicesOf returns what the operators set for each service's queue and floor.
func servicesOf(inv *registrar.Inventory) []scheduler.Service {
	services := make([]scheduler.Service, 0, len(inv.Services()))
	for _, s := range inv.Services() {
		out := scheduler.Service{
			Name: s.Name, Queue: s.Queue, FloorPercent: arbiter.FloorPercent,
		}
		for _, r := range inv.Rules() {
			if r.Kind == registrar.RuleFloor && (r.Service == "" || r.Service == s.Name) {
				out.FloorPercent = int(r.Share * percent)
			}
		}
		services = append(services, out)
	}
	return services
}

// NearTargets returns the targets that this host holds slots of.
func (h *Host) NearTargets() []registrar.Target {
	inv := h.enforcer.Inventory()
	if inv == nil {
		return nil
	}
	var targets []registrar.Target
	for _, zone := range h.granter.Near() {
		for _, s := range inv.Services() {
			targets = append(targets, inv.TargetsIn(s.Name, zone)...)
		}
	}
	return targets
}
