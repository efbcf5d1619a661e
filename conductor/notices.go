package conductor

import (
	"time"

	"github.com/fescuethread/fescuethread/logger"
	"github.com/fescuethread/fescuethread/messenger"
	"github.com/fescuethread/fescuethread/selector"
	"github.com/fescuethread/fescuethread/timer"
)

// maxNotices is the maximum number of notices in a heartbeat.
const maxNotices = 64

// announceSoon sends peers a heartbeat soon.
func (h *Host) announceSoon() {
	h.announcer.Wake()
}

// handleNotices counts the targets as cold that a peer says have ended. In a large fleet not all
// hosts exchange heartbeats, so they pass notices on.
func (p peerHandler) handleNotices(now timer.Instant, b *messenger.Beat) {
	h := p.host
	relay := h.roster.Sparse()
	learned := h.selector.AddNotices(now, decodeNotices(b.GetNotices()), relay)
	noticesLearned.Add(len(learned))
	for _, id := range learned {
		h.log.Log(eventTargetEnded, logger.F("target", id), logger.F("peer", b.GetHost()))
	}
	if relay && len(learned) > 0 {
		h.announceSoon()
	}
}

// encodeNotices returns the message of the notices, or nil if there are none.
func encodeNotices(list []selector.Notice) *messenger.Notices {
	if len(list) == 0 {
		return nil
	}
	m := &messenger.Notices{}
	for _, n := range list {
		m.Targets = append(m.Targets, n.Target)
		m.Ages = append(m.Ages, uint32(max(n.Age.Milliseconds(), 0)))
	}
	return m
}

// decodeNotices returns the notices of a message; the shorter list ends them.
func decodeNotices(m *messenger.Notices) []selector.Notice {
	n := min(len(m.GetTargets()), len(m.GetAges()), maxNotices)
	list := make([]selector.Notice, 0, n)
	for i := range n {
		list = append(list, selector.Notice{
			Target: m.GetTargets()[i], Age: time.Duration(m.GetAges()[i]) * time.Millisecond,
		})
	}
	return list
}
