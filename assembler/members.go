package assembler

import (
	"github.com/fescuethread/fescuethread/detector"
	"github.com/fescuethread/fescuethread/identifier"
	"github.com/fescuethread/fescuethread/locator"
	"github.com/fescuethread/fescuethread/timer"
)

// members answers for look-ups and operations what the detector concludes.
type members struct {
	owner    identifier.Owner
	registry *identifier.Registry
	detector *detector.Detector
}

// State returns a host's state as look-ups see it; a suspect stays until it is dead, because one
// lost heartbeat is no reason to move callers.
func (m *members) State(host string) locator.State {
	switch m.detector.State(timer.Now(), host) {
	case detector.StateLive, detector.StateSuspect:
		return locator.Live
	case detector.StateLeaving, detector.StateLeft:
		return locator.Leaving
	case detector.StateDead, detector.StateJoining:
		// A joining host is listed only for want of others, like a dead one.
		return locator.Dead
	default:
		return locator.Unknown
	}
}

// Owner returns the host that answers for an owner's operations: itself, or its successor.
func (m *members) Owner(owner identifier.Owner) string {
	if owner == m.owner {
		return m.ownAnswerer()
	}
	v, ok := m.detector.Member(timer.Now(), owner.Host)
	if ok && v.State == detector.StateLeft && v.Successor != "" {
		return v.Successor
	}
	return owner.Host
}

// ownAnswerer returns this host, or the successor that its operations were handed to.
func (m *members) ownAnswerer() string {
	if successor := m.registry.Stats().Successor; successor.Host != "" {
		return successor.Host
	}
	return m.owner.Host
}
