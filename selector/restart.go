package selector

import (
	"time"

	"github.com/fescuethread/fescuethread/timer"
)

const (
	// doubtTimeout is how long a target whose connections have ended is limited as a cold one if
	// nothing says whether it has restarted.
	doubtTimeout = 2 * time.Second
	// verifyInterval is the minimum time between two verifications of a target.
	verifyInterval = 250 * time.Millisecond
	// checkSpread is the time after the start of a check within which connections that end are taken
	// for those of the same end.
	checkSpread = 50 * time.Millisecond
	// maxIdleChecks is the number of checks in a row, because of idle connections that ended, that
	// find a target warm until such ends are no sign for idleSilence: it closes them by itself.
	maxIdleChecks = 2
	idleSilence   = 30 * time.Second
	// disconnectTTL is how long the end of a target's connections supports a later refusal: together
	// they show that the target has ended, and not that this host is cut off from it.
	disconnectTTL = 5 * time.Second
)

// Verification is what a target's health endpoint says of its start.
type Verification struct {
	// Answered says that the target itself answered.
	Answered bool
	// Refused says that no connection could be opened because nothing listens at the address.
	Refused bool
	// ColdRemaining is how long the target stays cold; 0 means that it is not cold.
	ColdRemaining time.Duration
}

// Check is a verification of a target's start that is due after a wait.
type Check struct {
	// Target is the target to ask.
	Target Target
	// Wait is the time until it may be asked again.
	Wait time.Duration
}

// Disconnected records that a target has ended a connection without a response, or while it was
// idle: it may have restarted. Until that is clear it is limited like a cold target. ok is false
// if there is nothing to verify, or the verification is on its way.
func (s *Selector) Disconnected(now timer.Instant, id string, idle bool) (c Check, ok bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	t, ok := s.targets[id]
	if !ok || s.service(t.Service).config.ColdRate <= 0 || t.Draining || t.hold.leaving ||
		idle && now.Before(t.idleSilentUntil) {
		return Check{}, false
	}
	t.disconnectedAt = now
	t.doubtedUntil = max(t.doubtedUntil, now.Add(doubtTimeout))
	if t.verifying || t.ending.recent(now) {
		return Check{}, false
	}
	t.verifying = true
	t.idleCheck = idle
	return Check{Target: t.Target, Wait: t.checkWait(now)}, true
}

// checkWait returns the time until the target may be verified again.
func (t *target) checkWait(now timer.Instant) time.Duration {
	if t.verifiedAt == 0 {
		return 0
	}
	return max(t.verifiedAt.Add(verifyInterval).Sub(now), 0)
}

// Verified records the verification of a target that was asked at an instant. tell says that there
// is a notice for peers, again that the target has ended more connections since and is to be asked
// once more, after verifyInterval.
func (s *Selector) Verified(
	now, askedAt timer.Instant, of Target, v Verification,
) (tell, again bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	t, ok := s.targets[of.ID]
	if !ok || !t.sameStart(of) {
		return false, false
	}
	t.verifying = false
	t.verifiedAt = now
	switch {
	case v.Refused:
		t.idleChecks = 0
		t.dropSent(askedAt)
		t.down(now)
		return s.noticeEnd(now, t), false
	case !v.Answered:
		return false, false
	case v.ColdRemaining > 0:
		t.idleChecks = 0
		t.setCold(now, now.Add(v.ColdRemaining))
		return s.noticeEnd(now, t), false
	case t.disconnectedAt.Sub(askedAt) > checkSpread:
		t.verifying = true
		return false, true
	}
	t.warm(now, askedAt)
	return false, false
}

// warm records that the target was warm when it was asked.
func (t *target) warm(now, askedAt timer.Instant) {
	t.doubtedUntil = 0
	if t.ending.at < askedAt {
		t.ending = ending{}
	}
	if !t.idleCheck {
		return
	}
	t.idleChecks++
	if t.idleChecks >= maxIdleChecks {
		t.idleSilentUntil = now.Add(idleSilence)
	}
}

// Repeat counts that a request is sent to its target once more, over a new connection, and reports
// false if the target may get no further request now.
func (s *Selector) Repeat(now timer.Instant, c *Choice, q Query) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	x := &search{s: s, now: now, q: q, svc: s.service(q.Service)}
	t := c.target
	t.forgetSent(c.sentAt)
	if s.targets[t.ID] != t || !t.accepts(now) || !x.allowed(t.Zone) || !x.belowColdLimit(t) {
		return false
	}
	t.sent = append(t.sent, now)
	c.sentAt = now
	return true
}

// sameStart reports whether the target hasn't been replaced since it had the entry.
func (t *target) sameStart(entry Target) bool {
	return t.StartMillis == entry.StartMillis && t.Address == entry.Address
}
