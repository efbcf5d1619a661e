package detector

import (
	"time"

	"github.com/fescuethread/fescuethread/messenger"
	"github.com/fescuethread/fescuethread/timer"
)

// State is what the table concludes of a host.
type State uint8

const (
	// StateUnknown is a host that was never heard of.
	StateUnknown State = iota
	// StateLive is a host whose heartbeats arrive.
	StateLive
	// StateSuspect is a host whose heartbeats are late.
	StateSuspect
	// StateJoining is a host that has started and holds no shares or slots yet.
	StateJoining
	// StateLeaving is a host that is stopping and takes no new work.
	StateLeaving
	// StateLeft is a host that stopped as planned.
	StateLeft
	// StateDead is a host that was not heard of for too long.
	StateDead
)

var stateNames = map[State]string{
	StateUnknown: "unknown",
	StateLive:    "live",
	StateSuspect: "suspect",
	StateJoining: "joining",
	StateLeaving: "leaving",
	StateLeft:    "left",
	StateDead:    "dead",
}

// String returns the state's name.
func (s State) String() string {
	return stateNames[s]
}

// Listed is a host's state in the platform's lagging list.
type Listed uint8

const (
	// ListedAbsent is a host that isn't in the list.
	ListedAbsent Listed = iota
	// ListedLive is a host that the list takes for live.
	ListedLive
	// ListedLeaving is a host that the list takes for leaving.
	ListedLeaving
	// ListedGone is a host that the list takes for stopped.
	ListedGone
)

// ListedHost is an entry of the platform's list.
type ListedHost struct {
	// Name is the host's name.
	Name string
	// State is its state in the list.
	State Listed
}

type listing struct {
	state Listed
	since timer.Instant
}

// Reasons of the standing rule.
const (
	reasonNever    = "never heard of"
	reasonFresh    = "heartbeat is fresh"
	reasonSays     = "host says so"
	reasonLeaving  = "listed as leaving in this incarnation"
	reasonLate     = "heartbeat is late"
	reasonGone     = "heartbeat is late and listed as gone"
	reasonSilent   = "no heartbeat for too long"
	reasonMissing  = "its zone does not hear it"
	reasonZone     = "its zone is heard and does not miss it"
	reasonZoneLate = "news of its zone is late"
	reasonZoneDead = "no news of its zone for too long"
)

// Listed takes in the platform's list.
func (t *Table) Listed(now timer.Instant, hosts []ListedHost) {
	states := make(map[string]Listed, len(hosts))
	for _, h := range hosts {
		states[h.Name] = h.State
	}
	for name, e := range t.entries {
		if state := states[name]; state != e.listing.state {
			e.listing = listing{state: state, since: now}
		}
	}
}

// judge is the standing rule: a departure that the host announced is final, then heartbeats
// decide; the platform's list can only add that a host leaves or confirm that a late one is gone.
func (t *Table) judge(now timer.Instant, e *entry) (State, string) {
	if e.member.State == messenger.State_STATE_LEFT {
		return StateLeft, reasonSays
	}
	if t.direct(e) {
		return judgeDirect(now, e)
	}
	return t.judgeRemote(now, e)
}

func judgeDirect(now timer.Instant, e *entry) (State, string) {
	age := now.Sub(e.heard)
	switch {
	case age >= DeadAfter:
		return StateDead, reasonSilent
	case e.member.Incarnation == 0:
		return StateUnknown, reasonNever
	case age >= SuspectAfter && e.listed(ListedGone):
		return StateDead, reasonGone
	case age >= SuspectAfter:
		return StateSuspect, reasonLate
	default:
		return present(e, reasonFresh)
	}
}

func (t *Table) judgeRemote(now timer.Instant, e *entry) (State, string) {
	z := t.zones[e.info.Zone]
	age := now.Sub(z.heard)
	suspectAfter, deadAfter := t.remoteBounds()
	switch {
	case e.missing:
		return StateDead, reasonMissing
	case age >= deadAfter:
		return StateDead, reasonZoneDead
	case !z.known:
		return StateUnknown, reasonNever
	case age >= suspectAfter && e.listed(ListedGone):
		return StateDead, reasonGone
	case age >= suspectAfter:
		return StateSuspect, reasonZoneLate
	default:
		return present(e, reasonZone)
	}
}

// remoteBounds are the ages at which a remote zone is suspected and counts as dead.
func (t *Table) remoteBounds() (suspectAfter, deadAfter time.Duration) {
	cadence := t.cadence()
	return cadence * (SuspectAfter / Period), cadence * (DeadAfter / Period)
}

func present(e *entry, reason string) (State, string) {
	switch e.member.State {
	case messenger.State_STATE_LEAVING:
		return StateLeaving, reasonSays
	case messenger.State_STATE_JOINING:
		return StateJoining, reasonSays
	}
	if e.listed(ListedLeaving) {
		return StateLeaving, reasonLeaving
	}
	return StateLive, reason
}

// listed reports whether the list says so of this incarnation and not of an earlier one.
func (e *entry) listed(state Listed) bool {
	return e.listing.state == state && !e.listing.since.Before(e.born)
}
