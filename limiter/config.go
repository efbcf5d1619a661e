package limiter

import (
	"time"

	"github.com/pkg/errors"

	"github.com/fescuethread/fescuethread/timer"
)

const (
	// DefaultTerm is how long a loan lasts, counted from the sending of the borrower's request.
	DefaultTerm = 3 * time.Second
	// DefaultMargin is how much longer than the term the lender waits.
	DefaultMargin = 100 * time.Millisecond
	// DefaultRenewal is the period at which loans in use are renewed.
	DefaultRenewal = time.Second
	// DefaultTick is the period at which Requests is to be called.
	DefaultTick = 100 * time.Millisecond
	// DefaultDriftPPM is the worst clock drift in parts per million.
	DefaultDriftPPM = 1000

	maxDriftPPM = 100_000
)

// Config describes one host's limiter.
type Config struct {
	// Host is this host's name in the inventory.
	Host string
	// Incarnation identifies this process; it rises with each start of the host.
	Incarnation uint64
	// Exclusive tells that earlier processes of this host have ended, as binding its address shows.
	Exclusive bool
	// Now reads a clock that counts pauses.
	Now func() timer.Instant
	// Term is how long a loan lasts; all hosts have the same.
	Term time.Duration
	// Margin is how much longer than the term the lender waits.
	Margin time.Duration
	// Renewal is the period at which loans in use are renewed.
	Renewal time.Duration
	// Tick is the period at which Requests is called.
	Tick time.Duration
	// DriftPPM is the worst clock drift in parts per million.
	DriftPPM int64
}

// withDefaults returns the configuration with its zero fields filled in.
func (c Config) withDefaults() Config {
	if c.Now == nil {
		c.Now = timer.Now
	}
	if c.Term == 0 {
		c.Term = DefaultTerm
	}
	if c.Margin == 0 {
		c.Margin = DefaultMargin
	}
	if c.Renewal == 0 {
		c.Renewal = DefaultRenewal
	}
	if c.Tick == 0 {
		c.Tick = DefaultTick
	}
	if c.DriftPPM == 0 {
		c.DriftPPM = DefaultDriftPPM
	}
	return c
}

func (c Config) validate() error {
	switch {
	case c.Host == "":
		return errors.New("the host has no name")
	case c.Incarnation == 0:
		return errors.New("the incarnation is zero")
	case c.DriftPPM < 0 || c.DriftPPM > maxDriftPPM:
		return errors.Errorf("drift of %d ppm is out of range", c.DriftPPM)
	case c.Term < time.Millisecond || c.Renewal <= 0 || c.Tick <= 0:
		return errors.New("the term, the renewal and the tick must be positive")
	case c.Margin < c.minMargin():
		return errors.Errorf("margin %v is under the drift's %v", c.Margin, c.minMargin())
	}
	return nil
}

// minMargin covers a lender's fast clock and a borrower's slow clock over one term.
func (c Config) minMargin() time.Duration {
	return 2*c.Term*time.Duration(c.DriftPPM)/(1_000_000-time.Duration(c.DriftPPM)) + 1
}

// hold is how long the lender keeps a loan debited.
func (c Config) hold() time.Duration {
	return c.Term + c.Margin
}
