package selector

import (
	"slices"
	"time"

	"github.com/fescuethread/fescuethread/timer"
)

const (
	// endingTTL is how long a target that has ended is limited if it neither answers nor has a new
	// entry. By then its entry has lapsed, or it has restarted and the new entry is here.
	endingTTL = 8 * time.Second
	// signInterval is the time within which signs of a target's end count as one, and renewInterval
	// that time while the target hasn't answered since.
	signInterval  = 300 * time.Millisecond
	renewInterval = 2 * time.Second
)

// ending is what this host knows of the end of a target, which may start again under its ID before
// its entry says so.
type ending struct {
	// at is the latest sign that the target had ended, of this host or a peer; 0 if there is none.
	at timer.Instant
	// answeredAt is when the target first answered after that; 0 if it hasn't.
	answeredAt timer.Instant
}

// observe records a sign as of an instant. It reports false if it adds nothing to an earlier one.
func (e *ending) observe(at timer.Instant) bool {
	interval := renewInterval
	if e.answeredAt != 0 {
		interval = signInterval
	}
	if e.at != 0 && at.Sub(e.at) < interval {
		return false
	}
	*e = ending{at: at}
	return true
}

// recent reports whether a sign is so recent that it explains connections that end now.
func (e *ending) recent(now timer.Instant) bool {
	return e.at != 0 && now.Sub(e.at) < signInterval
}

// answered records the response to a request. If its connection is older than the sign and has
// outlived it, the target has not ended.
func (e *ending) answered(now, sentAt, connectedAt timer.Instant) {
	if e.at == 0 {
		return
	}
	outlived := sentAt > e.at || !e.recent(now)
	switch {
	case outlived && connectedAt != 0 && e.at.Sub(connectedAt) > signInterval:
		*e = ending{}
	case e.answeredAt == 0 && !e.recent(now):
		e.answeredAt = now
	}
}

// cold reports whether a target with this ending is down or counts as cold.
func (e *ending) cold(now timer.Instant, coldPeriod time.Duration) bool {
	switch {
	case e.at == 0:
		return false
	case e.answeredAt != 0:
		return now.Sub(e.answeredAt) < coldPeriod
	}
	return now.Sub(e.at) < endingTTL
}

// down records that no connection to the target can be opened. When the target can be reached
// again it has probably restarted and is cold.
func (t *target) down(now timer.Instant) {
	t.consecutiveLosses = max(t.consecutiveLosses, ejectAfterLosses-1)
	t.lost(now)
	t.coldUntil = max(t.coldUntil, t.ejectedUntil.Add(t.coldPeriod))
}

// setCold makes the target count as cold until an instant. While the hosts took it for warm they
// sent requests that the others don't know of, so none follow until those have left the window.
func (t *target) setCold(now, until timer.Instant) {
	t.settle(now)
	t.coldUntil = max(t.coldUntil, until)
}

// settle stops the requests to a target that wasn't limited until now for coldWindow.
func (t *target) settle(now timer.Instant) {
	if !t.limited(now) {
		t.quietUntil = now.Add(coldWindow)
	}
}

// cold reports whether the target counts as cold.
func (t *target) cold(now timer.Instant) bool {
	return now.Before(t.coldUntil) || t.ending.cold(now, t.coldPeriod)
}

// limited reports whether the target gets no more requests than a cold one.
func (t *target) limited(now timer.Instant) bool {
	return t.cold(now) || now.Before(t.doubtedUntil)
}

// recent returns the number of requests that this host sent within coldWindow.
func (t *target) recent(now timer.Instant) int {
	kept := t.sent[:0]
	for _, sentAt := range t.sent {
		if now.Sub(sentAt) < coldWindow {
			kept = append(kept, sentAt)
		}
	}
	t.sent = kept
	return len(kept)
}

// coldPeriod returns how long a target counts as cold that was evacuated or unreachable.
func (svc *service) coldPeriod() time.Duration {
	return svc.config.ColdPeriod + coldMargin
}

// dropSent forgets the requests up to an instant: they went to the earlier start.
func (t *target) dropSent(until timer.Instant) {
	if t.cold(until) {
		return
	}
	t.sent = slices.DeleteFunc(t.sent, func(at timer.Instant) bool { return at <= until })
}

// forgetSent stops counting a request whose connection ended with the target's start.
func (t *target) forgetSent(at timer.Instant) {
	if i := slices.Index(t.sent, at); i >= 0 {
		t.sent = slices.Delete(t.sent, i, i+1)
	}
}
