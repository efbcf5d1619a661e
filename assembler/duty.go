package assembler

import (
	"context"
	"time"

	"github.com/fescuethread/fescuethread/detector"
	"github.com/fescuethread/fescuethread/enforcer"
	"github.com/fescuethread/fescuethread/messenger"
	"github.com/fescuethread/fescuethread/timer"
)

// versionOfLimits names the version of the limits that a host has in force; it follows the version
// of the inventory once the limiter's shares do.
const versionOfLimits = "limits"

// Describe sets what the own heartbeat says.
func (h *Host) Describe(now timer.Instant, t *detector.Table) {
	t.SetState(h.heartbeatState())
	t.SetDocuments(append(h.enforcer.Versions(), &messenger.DocumentVersion{
		Name: versionOfLimits, Version: h.limiter.Version(),
	}))
	t.SetLoads(h.loads())
	t.SetSuspects(h.suspects.Tell(now))
	if at, ok := h.reader.Contact(); ok {
		t.SetContact(at)
	}
}

// heartbeatState returns the phase of the host's life for peers.
func (h *Host) heartbeatState() messenger.State {
	state := messenger.State(h.state.Load())
	if state == messenger.State_STATE_LIVE && !h.joined.Load() {
		return messenger.State_STATE_JOINING
	}
	return state
}

// loads returns the loads of all zones that this host holds slots of.
func (h *Host) loads() []*messenger.Load {
	var loads []*messenger.Load
	for _, zone := range h.granter.Near() {
		for _, l := range h.granter.Loads(zone) {
			loads = append(loads, &messenger.Load{
				Az:      zone,
				Service: l.Service,
				Slots:   uint32(l.Slots),
				Busy:    uint32(l.Busy),
				Queued:  uint32(l.Queued),
				Ready:   uint32(l.Ready),
				Took:    uint32(l.Took / time.Microsecond),
			})
		}
	}
	return loads
}

// Paused gives up all slots after a pause, because others may have taken them meanwhile.
func (h *Host) Paused(now timer.Instant) {
	h.holdings.release(now)
}

// Round brings what depends on the membership up to date.
func (h *Host) Round(now timer.Instant) {
	inv := h.enforcer.Inventory()
	if inv == nil {
		return
	}
	members := h.detector.Members(now)
	h.holdings.assign(inv, now, members)
	h.joined.Store(h.joined.Load() || h.holdings.ready() && h.limiter.Snapshot().Usable)
	for _, m := range members {
		h.acknowledge(m)
		h.suspects.Hear(now, m.Host.Name, m.Suspects)
	}
	h.confirm()
	h.acceptStops(now)
	h.pull(members)
}

// acceptStops tells the limiter which hosts have surely stopped: those that the platform's list no
// longer shows and that are silent. Without the silence a lagging list could miss a new process.
func (h *Host) acceptStops(now timer.Instant) {
	for _, name := range h.roll.goneHosts() {
		state := h.detector.State(now, name)
		if state == detector.StateDead || state == detector.StateUnknown {
			h.limiter.Stopped(name)
		}
	}
}

// confirm tells the limiter which version of the limits the platform gave to this process, so that
// a host that starts while another one is dead does not wait for the dead one's agreement.
func (h *Host) confirm() {
	if version := h.reader.Offered(enforcer.DocumentInventory); version > 0 {
		h.limiter.Confirm(version)
	}
}

// acknowledge tells the limiter which version of the limits a host has in force.
func (h *Host) acknowledge(m detector.MemberView) {
	for _, d := range m.Documents {
		if d.GetName() == versionOfLimits {
			h.limiter.Acknowledge(m.Host.Name, m.Incarnation, d.GetVersion())
		}
	}
}

// runHousekeeping forgets what has expired, until ctx ends.
func (h *Host) runHousekeeping(ctx context.Context) error {
	ticker := h.timer.Subscribe(housekeepingPeriod)
	defer ticker.Close()
	for {
		select {
		case <-ctx.Done():
			return nil
		case tick := <-ticker.C():
			h.registry.Sweep(tick.At)
			h.granter.Tick(tick.At)
			h.forwarder.Sweep(tick.At)
			h.retrier.Tick(tick.At)
			h.isolator.Tick(tick.At)
		}
	}
}
