package targeter

import (
	"sync"
	"time"

	"github.com/pkg/errors"
)

// Fault is what goes wrong with a request.
type Fault string

const (
	// FaultNone is a request that is served.
	FaultNone Fault = ""
	// FaultTruncate ends the connection in the middle of the answer.
	FaultTruncate Fault = "truncate"
	// FaultClose ends the connection before the answer, after the run.
	FaultClose Fault = "close"
	// FaultLate answers after Behavior.Delay, whatever the deadline.
	FaultLate Fault = "late"
	// FaultTwice sends the answer twice.
	FaultTwice Fault = "twice"
	// FaultUnsolicited sends bytes after the answer that belong to none.
	FaultUnsolicited Fault = "unsolicited"
	// FaultCrossed answers with the correlation identifier of another request.
	FaultCrossed Fault = "crossed"
	// FaultShed refuses with 503 and Retry-After, without a run.
	FaultShed Fault = "shed"
	// FaultOversize answers with Behavior.AnswerBytes.
	FaultOversize Fault = "oversize"
	// FaultFail answers 500 after the run.
	FaultFail Fault = "fail"
)

// Health is what the health endpoint answers.
type Health string

const (
	// HealthTrue tells the truth.
	HealthTrue Health = ""
	// HealthReady always answers that the target is ready.
	HealthReady Health = "ready"
	// HealthFailing always answers that the target is failing.
	HealthFailing Health = "failing"
)

// Behavior is how a target treats the requests to come.
type Behavior struct {
	// Fault is what goes wrong.
	Fault Fault
	// Count is the number of requests that the fault concerns; 0 concerns all.
	Count int
	// Delay is the delay of FaultLate.
	Delay time.Duration
	// AnswerBytes is the padding of the answer of FaultOversize.
	AnswerBytes int
	// RetryAfter is the time that FaultShed names, in whole seconds.
	RetryAfter time.Duration
	// Health is what the health endpoint answers.
	Health Health
	// Draining makes health and load report a drain.
	Draining bool
	// Busy is added to the busy slots that the load endpoint reports.
	Busy int
	// Crash ends the target at a request whose body contains it; empty never does.
	Crash string
}

func (b Behavior) check() error {
	switch b.Fault {
	case FaultNone, FaultTruncate, FaultClose, FaultLate, FaultTwice, FaultUnsolicited,
		FaultCrossed, FaultShed, FaultOversize, FaultFail:
	default:
		return errors.Errorf("targeter: unknown fault %q", b.Fault)
	}
	switch b.Health {
	case HealthTrue, HealthReady, HealthFailing:
		return nil
	default:
		return errors.Errorf("targeter: unknown health %q", b.Health)
	}
}

// manners holds the behaviour in force.
type manners struct {
	mu       sync.Mutex
	behavior Behavior
	limited  bool
}

func (m *manners) set(b Behavior) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.behavior = b
	m.limited = b.Count > 0
}

func (m *manners) get() Behavior {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.behavior
}

// next returns the behaviour for one request.
func (m *manners) next() Behavior {
	m.mu.Lock()
	defer m.mu.Unlock()
	b := m.behavior
	if !m.limited {
		return b
	}
	m.behavior.Count--
	if m.behavior.Count == 0 {
		m.behavior.Fault = FaultNone
		m.limited = false
	}
	return b
}
