package selector

import (
	"time"

	"github.com/fescuethread/fescuethread/timer"
)

const (
	// moveLogSize is the number of objects whose latest target is remembered; a further one takes the
	// place of another.
	moveLogSize = 1 << 12
	// warmPeriod is the time since an object was last served within which its target is expected to
	// have it in its cache.
	warmPeriod = 10 * time.Second
)

// Move says why an object is served by another target than the last time.
type Move string

const (
	// MoveNone means that the target is the same as the last time.
	MoveNone Move = "none"
	// MoveNew means that the object was not served lately, as far as this host knows.
	MoveNew Move = "new"
	// MoveJoined means that the object's target joined since.
	MoveJoined Move = "joined"
	// MoveLeft means that the last target is gone, leaving or evacuated.
	MoveLeft Move = "left"
	// MoveDoubted means that the last target is not healthy, or cold.
	MoveDoubted Move = "doubted"
	// MoveLoad means that the request is served elsewhere because a target is loaded, or for a retry
	// or a probe.
	MoveLoad Move = "load"
	// MoveShares means that the shares of the zones have changed.
	MoveShares Move = "shares"
)

// Moves lists all values of Move.
func Moves() []Move {
	return []Move{MoveNone, MoveNew, MoveJoined, MoveLeft, MoveDoubted, MoveLoad, MoveShares}
}

// moveLog remembers which target served an object last, and counts the moves.
type moveLog struct {
	objects [moveLogSize]lastTarget
	counts  map[Move]uint64
}

// lastTarget is the target that served an object last.
type lastTarget struct {
	objectHash uint64
	target     *target
	at         timer.Instant
}

func newMoveLog() *moveLog {
	return &moveLog{counts: map[Move]uint64{}}
}

// observe counts a chosen target; requests without an object don't count.
func (l *moveLog) observe(x *search, c *Choice) {
	if x.q.Object == "" {
		return
	}
	last := &l.objects[x.objectHash%moveLogSize]
	c.Move = last.move(x, c)
	l.counts[c.Move]++
	*last = lastTarget{objectHash: x.objectHash, target: c.target, at: x.now}
}

// move returns why the choice differs from the last one.
func (l *lastTarget) move(x *search, c *Choice) Move {
	switch {
	case l.objectHash != x.objectHash || l.target == nil || x.now.Sub(l.at) > warmPeriod:
		return MoveNew
	case l.target.ID == c.target.ID:
		return MoveNone
	case x.s.targets[l.target.ID] != l.target || l.target.Draining || l.target.hold.leaving ||
		x.s.evacuated[l.target.Zone]:
		return MoveLeft
	case !l.target.healthy(x.now) || !x.belowColdLimit(l.target):
		return MoveDoubted
	case c.Rule != RulePrimary || len(x.q.Exclude) > 0:
		return MoveLoad
	case c.target.listedAt > l.at:
		return MoveJoined
	}
	return MoveShares
}

// MoveCount returns how many requests of objects were served by another target than the last time
// for a reason, or by the same one for MoveNone.
func (s *Selector) MoveCount(m Move) uint64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.moves.counts[m]
}
