package detector

import (
	"github.com/fescuethread/fescuethread/messenger"
	"github.com/fescuethread/fescuethread/timer"
)

// Receive takes in a digest and returns the answer for its sender; the answer may be empty.
func (t *Table) Receive(
	now timer.Instant, from string, digest *messenger.Digest,
) *messenger.Digest {
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
		t.report(from, e, m)
		return
	}
	if !newer(m, e.member) {
		t.repeat(from, e, m)
		return
	}
	t.accept(now, e, m)
	t.relay(from, m)
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
	if !t.direct(e) && speaks(m) {
		z.speaker = m
		z.speakerAt = now
	}
}

// speaks reports whether a member from another zone is a summary and not only a notice.
func speaks(m *messenger.Member) bool {
	return m.Az != ""
}

// report records that the host's own zone doesn't hear it, unless something newer is known.
func (t *Table) report(from string, e *entry, m *messenger.Member) {
	if t.direct(e) || newer(e.member, m) {
		return
	}
	if newer(m, e.member) {
		e.member = notice(m)
	}
	e.missing = true
	t.relay(from, m)
}

// repeat passes on a notice of a departure that a new host of the own zone may not know yet.
func (t *Table) repeat(from string, e *entry, m *messenger.Member) {
	if m.State != messenger.State_STATE_LEFT || newer(e.member, m) {
		return
	}
	t.relay(from, m)
}

// relay keeps what another zone told for the own zone, until a mate is seen to have told it.
func (t *Table) relay(from string, m *messenger.Member) {
	if t.mesh() {
		return
	}
	sender := t.entries[from]
	if sender == nil {
		return
	}
	if sender.info.Zone != t.cfg.Zone {
		t.relays[m.Host] = m
		return
	}
	if kept := t.relays[m.Host]; kept != nil && !newer(kept, m) {
		delete(t.relays, m.Host)
	}
}
