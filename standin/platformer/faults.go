package platformer

import (
	"context"
	"sync"
	"time"
)

// Faults is what goes wrong with the calls to come.
type Faults struct {
	// Down closes every connection without an answer, waiting watches too.
	Down bool
	// Delay is added before each call.
	Delay time.Duration
	// Lose is the number of writes to come that take effect but get no answer.
	Lose int
	// Drop is the number of writes to come that get no answer and never take effect.
	Drop int
	// Late is the number of writes to come that get no answer and take effect at Land.
	Late int
}

// Calls counts the calls that the platform received.
type Calls struct {
	Reads   uint64 `json:"reads"`
	Writes  uint64 `json:"writes"`
	Watches uint64 `json:"watches"`
}

// fate is what happens to one write.
type fate int

const (
	fateServe fate = iota
	fateLose
	fateDrop
	fateLate
)

// faultSet holds the faults in force.
type faultSet struct {
	mu     sync.Mutex
	faults Faults
	fell   chan struct{}
	late   []func()
}

func newFaultSet() *faultSet {
	return &faultSet{fell: make(chan struct{})}
}

func (s *faultSet) set(f Faults) {
	s.mu.Lock()
	defer s.mu.Unlock()
	wasDown := s.faults.Down
	s.faults = f
	if f.Down && !wasDown {
		close(s.fell)
	}
	if !f.Down && wasDown {
		s.fell = make(chan struct{})
	}
}

// down returns whether the platform is down, and a channel that is closed while it is.
func (s *faultSet) down() (bool, <-chan struct{}) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.faults.Down, s.fell
}

func (s *faultSet) delay(ctx context.Context) {
	s.mu.Lock()
	d := s.faults.Delay
	s.mu.Unlock()
	if d <= 0 {
		return
	}
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-ctx.Done():
	case <-t.C:
	}
}

func (s *faultSet) nextWrite() fate {
	s.mu.Lock()
	defer s.mu.Unlock()
	f := &s.faults
	for _, c := range []struct {
		left *int
		fate fate
	}{{&f.Lose, fateLose}, {&f.Drop, fateDrop}, {&f.Late, fateLate}} {
		if *c.left > 0 {
			*c.left--
			return c.fate
		}
	}
	return fateServe
}

func (s *faultSet) hold(write func()) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.late = append(s.late, write)
}

// land lets the held writes take effect in their order.
func (s *faultSet) land() {
	s.mu.Lock()
	late := s.late
	s.late = nil
	s.mu.Unlock()
	for _, write := range late {
		write()
	}
}
