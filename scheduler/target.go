package scheduler

import (
	"time"

	"github.com/fescuethread/fescuethread/timer"
)

// Target is one server with a fixed number of slots.
type Target struct {
	// Name identifies the target.
	Name string
	// Service is the service that the target serves.
	Service string
	// Address is the target's IP number and port.
	Address string
	// Slots is the number of requests that the target takes at once.
	Slots int
	// Connections bounds the connections to the target.
	Connections int
	// Warmup is the time after which a target is warm, however few requests it has run; zero stands
	// for a target that is never cold.
	Warmup time.Duration
}

// Report is what a target says of itself.
type Report struct {
	// At is the instant at which the report was received.
	At timer.Instant
	// Ready says that the target calls itself ready.
	Ready bool
	// Busy is the number of requests that the target says it runs.
	Busy int
	// Draining says that the target asks for no new work.
	Draining bool
}

// State is a target's standing for new work.
type State string

const (
	// StateReady is a target that takes work up to its limit.
	StateReady State = "ready"
	// StateProbe is a target that takes one request at a time until one is answered.
	StateProbe State = "probe"
	// StateEjected is a target that takes no work for a time.
	StateEjected State = "ejected"
	// StateDraining is a target that takes no work any more.
	StateDraining State = "draining"
)

// target is the state of one target as this host sees it.
type target struct {
	Target
	cfg      *Config
	busy     int
	limit    int
	answers  int
	failures int
	ejected  int
	failed   timer.Instant
	until    timer.Instant
	probedBy timer.Instant
	added    timer.Instant
	own      timer.Instant
	latency  time.Duration
	// exclusive says that work runs on the target that has to be alone.
	exclusive bool
	draining  bool
	removed   bool
	report    *Report
}

func newTarget(t Target, cfg *Config, now timer.Instant) *target {
	return &target{
		Target: t, cfg: cfg, limit: 1, added: now, own: now.Add(-cfg.OwnAge), probedBy: now,
	}
}

// state applies the standing rule: a drain comes before all, own results come before the
// target's report while they are fresh, and no news leaves the target ready. Where doubted says
// that too few targets pass, reports don't count and ejections are short.
func (t *target) state(now timer.Instant, doubted bool) State {
	switch {
	case t.draining || t.removed || t.reportedDraining(now):
		return StateDraining
	case t.failures >= t.cfg.EjectAfter && now.Before(t.ejectedUntil(doubted)):
		return StateEjected
	case t.failures >= t.cfg.EjectAfter:
		return StateProbe
	case doubted || now.Sub(t.own) < t.cfg.OwnAge:
		return StateReady
	case t.reportedUnready(now):
		return StateProbe
	}
	return StateReady
}

func (t *target) ejectedUntil(doubted bool) timer.Instant {
	if doubted {
		return min(t.until, t.failed.Add(t.cfg.EjectFor))
	}
	return t.until
}

// reportedDraining trusts a target that asks to be left alone, whatever its own results say.
func (t *target) reportedDraining(now timer.Instant) bool {
	return t.report != nil && now.Sub(t.report.At) < t.cfg.ReportAge && t.report.Draining
}

func (t *target) reportedUnready(now timer.Instant) bool {
	return t.report != nil && now.Sub(t.report.At) < t.cfg.ReportAge && !t.report.Ready
}

// capacity is the number of requests that the target may run now; part is this host's part of
// its slots.
func (t *target) capacity(now timer.Instant, part int, doubted bool) int {
	switch t.state(now, doubted) {
	case StateReady:
		return min(part, t.warm(now))
	case StateProbe:
		return min(part, 1)
	}
	return 0
}

// warm is the number of slots that the target's warm-up has opened.
func (t *target) warm(now timer.Instant) int {
	if now.Sub(t.added) >= t.Warmup {
		return t.Slots
	}
	return t.limit
}

// accepts reports whether w may run on the target in its state.
func (t *target) accepts(now timer.Instant, w *Work, doubted bool) bool {
	if w.Idempotent || t.state(now, doubted) != StateProbe {
		return true
	}
	return now.Sub(t.probedBy) >= t.cfg.ProbeWait
}

func (t *target) take(now timer.Instant) {
	t.busy++
	t.probedBy = now
}

func (t *target) finish(now timer.Instant, took time.Duration, r Result) {
	t.busy--
	t.exclusive = false
	switch r {
	case ResultOK:
		t.succeed(now, took)
	case ResultFailed:
		t.fail(now)
	case ResultShed:
		t.shed(now)
	}
}

func (t *target) succeed(now timer.Instant, took time.Duration) {
	t.own = now
	t.failures = 0
	t.ejected = 0
	t.latency = average(t.latency, took)
	t.answers++
	if t.answers >= t.cfg.WarmupAnswers {
		t.answers = 0
		t.limit = min(t.limit+1, t.Slots)
	}
}

func (t *target) fail(now timer.Instant) {
	late := t.failures >= t.cfg.EjectAfter && now.Before(t.until)
	t.own = now
	t.failures++
	if t.failures < t.cfg.EjectAfter || late {
		return
	}
	t.failed = now
	t.until = now.Add(t.ejection())
	t.ejected++
	t.limit = 1
	t.answers = 0
}

func (t *target) ejection() time.Duration {
	d := t.cfg.EjectFor
	for range t.ejected {
		d = min(2*d, t.cfg.EjectMax)
	}
	return d
}

// shed halves the limit: the target is alive and says that it has too much.
func (t *target) shed(now timer.Instant) {
	t.own = now
	t.failures = 0
	t.limit = max(t.limit/2, 1)
	t.answers = 0
}
