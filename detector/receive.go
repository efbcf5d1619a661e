package detector

import (
	"time"

	"github.com/fescuethread/fescuethread/messenger"
	"github.com/fescuethread/fescuethread/timer"
)

const (
	// relayNumerator and relayDenominator are the part of a reporting round without a second relay.
	relayNumerator   = 3
	relayDenominator = 4
)

// Receive takes in a digest and returns the answer for its sender; the answer may be empty.
func (t *Table) Receive(
	now timer.Instant, from string, digest *messenger.Digest,
) *messenger.Digest {
	t.wake(now)
	answer := &messenger.Digest{From: t.cfg.Host}
	for _, m := range digest.GetMembers() {
		if m.GetHost() == t.cfg.Host {
			t.replaced = t.replaced || m.GetIncarnation() > t.cfg.Incarnation
			continue
		}
		e := t.entries[m.GetHost()]
		if e == nil {
			continue
		}
		if m.Host == from && m.Incarnation < e.member.Incarnation {
			answer.Members = append(answer.Members, notice(e.member))
			continue
		}
		t.merge(now, from, e, m)
	}
	return answer
}

func (t *Table) merge(now timer.Instant, from string, e *entry, m *messenger.Member) {
	if m.State == messenger.State_STATE_UNSPECIFIED {
		t.miss(now, from, e, m)
		return
	}
	// A notice of the same heartbeat may have come first.
	t.describe(now, e, m)
	if !newer(m, e.member) {
		t.repeat(now, from, e, m)
		return
	}
	t.accept(now, e, m)
	t.relay(now, from, e, m)
}

// newer reports whether m is a later heartbeat than old.
func newer(m, old *messenger.Member) bool {
	if m.Incarnation != old.Incarnation {
		return m.Incarnation > old.Incarnation
	}
	return m.Sequence > old.Sequence
}

// accept records a heartbeat that was not seen before.
func (t *Table) accept(now timer.Instant, e *entry, m *messenger.Member) {
	known := e.member.Incarnation != 0
	if m.Incarnation > e.member.Incarnation {
		e.born = now
	}
	late := known && now.Sub(e.heard) >= DeadAfter && t.direct(e)
	if m.Incarnation > e.member.Incarnation || m.State != e.member.State || late {
		e.changed = now
	}
	e.member = m
	e.heard = now
	e.missing = false
	z := t.zones[e.info.Zone]
	z.heard = now
	z.known = true
}

// describe records what a full heartbeat tells beyond a notice; from another zone it speaks for
// the whole zone.
func (t *Table) describe(now timer.Instant, e *entry, m *messenger.Member) {
	if m.Az == "" || e.report != nil && !newer(m, e.report) {
		return
	}
	e.report = m
	e.reported = now
	z := t.zones[e.info.Zone]
	z.summary = m
	z.summarised = now
}

// miss records that the host's own zone doesn't hear it, unless something newer was just heard.
func (t *Table) miss(now timer.Instant, from string, e *entry, m *messenger.Member) {
	if t.direct(e) {
		return
	}
	// The zone may have lost the host's last heartbeats, so they prove nothing for long.
	if newer(e.member, m) && now.Sub(e.heard) < DeadAfter {
		return
	}
	if newer(m, e.member) {
		e.member = notice(m)
	}
	e.missing = true
	t.relay(now, from, e, m)
}

// repeat passes on what is no news here but may be to the mates: a departure, or a sign of life of
// a host that they may take for missing.
func (t *Table) repeat(now timer.Instant, from string, e *entry, m *messenger.Member) {
	if m.Incarnation != e.member.Incarnation {
		return
	}
	if m.State == messenger.State_STATE_LEFT || now.Sub(e.heard) < DeadAfter {
		t.relay(now, from, e, m)
	}
}

// relay keeps what another zone told for the own zone, until a mate is seen to have told it.
func (t *Table) relay(now timer.Instant, from string, e *entry, m *messenger.Member) {
	sender := t.entries[from]
	if t.mesh() || t.direct(e) || sender == nil {
		return
	}
	z := t.zones[e.info.Zone]
	full := m.Az != ""
	switch {
	case t.direct(sender):
		t.relayedByMate(z, m)
	case full && now.Sub(z.relayed) < t.relayPause():
		// The zone's other speaker was heard in the same round.
		return
	case t.relays[m.Host] == nil || newer(m, t.relays[m.Host]):
		t.relays[m.Host] = m
	}
	if full {
		z.relayed = now
	}
}

// relayedByMate drops what the mates need not hear twice.
func (t *Table) relayedByMate(z *zone, m *messenger.Member) {
	if kept := t.relays[m.Host]; kept != nil && !newer(kept, m) {
		delete(t.relays, m.Host)
	}
	if m.Az == "" {
		return
	}
	for _, name := range z.hosts {
		if kept := t.relays[name]; kept != nil && kept.Az != "" {
			delete(t.relays, name)
		}
	}
}

// relayPause is the time in which one summary of a zone is enough.
func (t *Table) relayPause() time.Duration {
	return time.Duration(t.reportTicks()) * Period * relayNumerator / relayDenominator
}
