package selector

import (
	"math"
	"time"

	"github.com/fescuethread/fescuethread/timer"
)

const (
	// levelTimeConstant is the time constant of the moving average of a target's load.
	levelTimeConstant = 600 * time.Millisecond
	// minLevelWeight is the smallest weight of a report: several may arrive at the same moment.
	minLevelWeight = 0.1
	// levelTTL is the time constant with which the average is forgotten while there is no report.
	// The load of a target depends on its objects and lasts longer than the requests of one report.
	levelTTL = 5 * time.Second
	// slowdownTTL is the age from which a reported slowdown is ignored: it changes many times a
	// second.
	slowdownTTL = 500 * time.Millisecond
)

// level is the moving average of the number of requests that run or wait at a target, from all
// hosts, by the reports that this host and its peers have received.
type level struct {
	value float64
	at    timer.Instant
}

func (l *level) observe(now timer.Instant, load float64) {
	weight := 1.0
	if l.at != 0 {
		age := now.Sub(l.at).Seconds() / levelTimeConstant.Seconds()
		weight = max(1-math.Exp(-age), minLevelWeight)
	}
	l.value += weight * (load - l.value)
	l.at = max(l.at, now)
}

func (l *level) load(now timer.Instant) float64 {
	if l.at == 0 {
		return 0
	}
	return l.value * math.Exp(-now.Sub(l.at).Seconds()/levelTTL.Seconds())
}

// slowdown is how many times longer than usual work takes on a target's machine.
type slowdown struct {
	value float64
	at    timer.Instant
}

func (s *slowdown) observe(now timer.Instant, value float64) {
	if value > 0 {
		s.value, s.at = value, now
	}
}

// factor returns the slowdown, which fades to 1 with its age; it is never below 1.
func (s *slowdown) factor(now timer.Instant) float64 {
	if s.at == 0 || s.value <= 1 {
		return 1
	}
	left := 1 - float64(now.Sub(s.at))/float64(slowdownTTL)
	return 1 + (s.value-1)*max(left, 0)
}
