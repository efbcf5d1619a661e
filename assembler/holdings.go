package assembler

import (
	"slices"
	"time"

	"github.com/fescuethread/fescuethread/assigner"
	"github.com/fescuethread/fescuethread/detector"
	"github.com/fescuethread/fescuethread/granter"
	"github.com/fescuethread/fescuethread/logger"
	"github.com/fescuethread/fescuethread/registrar"
	"github.com/fescuethread/fescuethread/scheduler"
	"github.com/fescuethread/fescuethread/timer"
)

// holdings takes and gives up slots of zones as the membership says.
type holdings struct {
	host    string
	zone    string
	granter *granter.Granter
	log     *logger.Logger
	wanted  map[string]want
}

// want is an assignment that is waiting until earlier holders have surely ended.
type want struct {
	holders []string
	since   timer.Instant
	taken   bool
}

func newHoldings(host, zone string, g *granter.Granter, l *logger.Logger) *holdings {
	return &holdings{host: host, zone: zone, granter: g, log: l, wanted: make(map[string]want)}
}

// assign brings this host's parts of all zones up to date.
func (h *holdings) assign(
	inv *registrar.Inventory, now timer.Instant, members []detector.MemberView,
) {
	hosts := h.standings(inv, members)
	hold := longestTimeout(inv)
	for _, z := range inv.Zones() {
		a := assigner.Assign(z.Name, z.Region, hosts)
		h.take(inv, a, z.Region, members, now, hold)
	}
}

// ready reports whether this host uses the slots that it is to hold.
func (h *holdings) ready() bool {
	if len(h.wanted) == 0 {
		return false
	}
	for _, w := range h.wanted {
		if slices.Contains(w.holders, h.host) && !w.taken {
			return false
		}
	}
	return true
}

// release gives up all slots for new work, because others may have taken them meanwhile.
func (h *holdings) release(now timer.Instant) {
	for zone := range h.wanted {
		h.granter.SetShare(zone, nil, h.host, 0)
		h.wanted[zone] = want{since: now}
	}
}

func (h *holdings) take(
	inv *registrar.Inventory, a assigner.Assignment, region string,
	members []detector.MemberView, now timer.Instant, hold time.Duration,
) {
	w, ok := h.wanted[a.Zone]
	if !ok || !slices.Equal(w.holders, a.Holders) {
		w = want{holders: a.Holders, since: now}
		h.granter.SetShare(a.Zone, a.Holders, h.host, hold)
		h.logAssigned(a)
	}
	if !w.taken && h.clear(inv, a, region, members) {
		w.taken = true
		h.granter.SetShare(a.Zone, a.Holders, h.host, 0)
	}
	w.taken = w.taken || now.Sub(w.since) >= hold
	h.wanted[a.Zone] = w
}

// clear reports whether every host that may have held the zone's slots is heard, and says that it
// holds no more than leaves this host its part.
func (h *holdings) clear(
	inv *registrar.Inventory, a assigner.Assignment, region string,
	members []detector.MemberView,
) bool {
	index, count := scheduler.ShareOf(a.Holders, h.host)
	if index < 0 {
		return true
	}
	for _, m := range members {
		if m.Host.Region == region && !heard(m) {
			return false
		}
	}
	for _, s := range inv.Services() {
		total, part := 0, 0
		for _, t := range inv.TargetsIn(s.Name, a.Zone) {
			total += t.Slots
			part += scheduler.PartOf(t.Name, t.Slots, index, count)
		}
		if held(a.Zone, s.Name, members)+part > total {
			return false
		}
	}
	return true
}

func heard(m detector.MemberView) bool {
	switch m.State {
	case detector.StateLive, detector.StateJoining, detector.StateLeaving, detector.StateLeft:
		return true
	default:
		return false
	}
}

// held adds up the slots that other hosts hold or still use.
func held(zone, service string, members []detector.MemberView) int {
	n := 0
	for _, m := range members {
		for _, l := range m.Loads {
			if l.GetService() == service && detector.LoadZone(m.Host.Zone, l) == zone {
				n += int(max(l.GetSlots(), l.GetBusy()))
			}
		}
	}
	return n
}

func (h *holdings) logAssigned(a assigner.Assignment) {
	h.log.Log(eventAssigned,
		logger.F("zone", a.Zone),
		logger.F("holders", a.Holders),
		logger.F("rule", string(a.Rule)),
	)
}

func (h *holdings) standings(
	inv *registrar.Inventory, members []detector.MemberView,
) []assigner.Host {
	self, _ := inv.Zone(h.zone)
	hosts := []assigner.Host{{Name: h.host, Zone: self.Name, Region: self.Region}}
	for _, m := range members {
		hosts = append(hosts, assigner.Host{
			Name:     m.Host.Name,
			Zone:     m.Host.Zone,
			Region:   m.Host.Region,
			Standing: standingOf(m.State),
		})
	}
	return hosts
}

func standingOf(s detector.State) assigner.Standing {
	switch s {
	case detector.StateDead:
		return assigner.StandingSilent
	case detector.StateLeft:
		return assigner.StandingGone
	default:
		return assigner.StandingPresent
	}
}

// longestTimeout returns the longest time that a request may hold a slot.
func longestTimeout(inv *registrar.Inventory) time.Duration {
	var longest time.Duration
	for _, s := range inv.Services() {
		longest = max(longest, s.Timeout)
	}
	return longest
}
