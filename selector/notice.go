package selector

import (
	"slices"
	"time"

	"github.com/fescuethread/fescuethread/timer"
)

const (
	// noticeTTL is the age from which a notice is neither sent nor used.
	noticeTTL = 1500 * time.Millisecond
	// noticeRepeats is the number of heartbeats that hold a notice, since datagrams may be lost.
	noticeRepeats = 3
)

// Notice tells peers that a target has ended and may have restarted. Hosts that had no connection
// to it can't know that themselves.
type Notice struct {
	// Target is the hash of the target's ID and of the start that has ended, as in View.
	Target uint32
	// Age is the time since the sign.
	Age time.Duration
}

// noticeEnd queues a notice for peers if the target has surely ended and they weren't told.
func (s *Selector) noticeEnd(now timer.Instant, t *target) bool {
	if s.service(t.Service).config.ColdRate <= 0 {
		return false
	}
	disconnected := t.disconnectedAt != 0 && now.Sub(t.disconnectedAt) < disconnectTTL
	if !disconnected && !t.ending.cold(now, t.coldPeriod) || !t.ending.observe(now) {
		return false
	}
	s.tell(t)
	return true
}

// tell queues a notice, before those that were sent already.
func (s *Selector) tell(t *target) {
	t.noticesLeft = noticeRepeats
	s.notices = slices.DeleteFunc(s.notices, func(other *target) bool { return other == t })
	s.notices = slices.Insert(s.notices, 0, t)
}

// TakeNotices returns at most n notices for peers, those that were sent least often first.
func (s *Selector) TakeNotices(now timer.Instant, n int) []Notice {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.notices = slices.DeleteFunc(s.notices, func(t *target) bool {
		return t.noticesLeft <= 0 || now.Sub(t.ending.at) >= noticeTTL || s.targets[t.ID] != t
	})
	n = min(n, len(s.notices))
	list := make([]Notice, 0, n)
	for _, t := range s.notices[:n] {
		list = append(list, Notice{Target: t.viewHash(), Age: now.Sub(t.ending.at)})
		t.noticesLeft--
	}
	s.notices = append(s.notices[n:], s.notices[:n]...)
	return list
}

// AddNotices counts the targets as cold that a peer says have ended, and returns the IDs of those
// that this host didn't know of. With relay, it passes the first notice of a start on.
func (s *Selector) AddNotices(now timer.Instant, list []Notice, relay bool) []string {
	s.mu.Lock()
	defer s.mu.Unlock()
	var learned []string
	for _, n := range list {
		t := s.byView[n.Target]
		if t == nil || n.Age < 0 || n.Age >= noticeTTL || s.service(t.Service).config.ColdRate <= 0 {
			continue
		}
		known, limited := t.ending.at != 0, t.limited(now)
		if !t.ending.observe(now.Add(-n.Age)) {
			continue
		}
		if !limited {
			t.quietUntil = now.Add(coldWindow)
		}
		learned = append(learned, t.ID)
		if relay && !known {
			s.tell(t)
		}
	}
	return learned
}
