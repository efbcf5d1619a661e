package requester

import (
	"time"

	"github.com/pkg/errors"
)

// Mode says what is sent.
type Mode string

const (
	// ModeFollow sends requests to the hosts that look-ups name.
	ModeFollow Mode = "follow"
	// ModeFixed sends requests to the given hosts in turn, without look-ups.
	ModeFixed Mode = "fixed"
	// ModeDirect sends requests to the given targets in turn, without the system.
	ModeDirect Mode = "direct"
	// ModeLookup sends look-ups only.
	ModeLookup Mode = "lookup"
	// ModeIdle opens connections, sends one look-up on each and leaves them idle.
	ModeIdle Mode = "idle"
)

const (
	// MaxConnections bounds the requests in flight and the idle connections.
	MaxConnections = 10000
	// MaxDuration bounds a run.
	MaxDuration = 10 * time.Minute
)

// Config says what to send, how fast and for how long.
type Config struct {
	// Mode says what is sent.
	Mode Mode
	// Hosts are the addresses of entry hosts, or of targets in direct mode.
	Hosts []string
	// Service is the service asked for.
	Service string
	// Place is the region or availability zone stated in look-ups; empty states none.
	Place string
	// Key is the caller's key; empty sends none.
	Key string
	// Path is the path and query of requests, with a leading slash.
	Path string
	// Rate is requests a second of an open loop; 0 stands for a closed loop.
	Rate float64
	// Connections is the largest number of requests in flight or of idle connections.
	Connections int
	// Posts is the percentage of requests that are not idempotent.
	Posts int
	// Count is the largest number of requests.
	Count int
	// Duration is the longest time for which requests are sent.
	Duration time.Duration
	// Timeout is the longest wait for an answer.
	Timeout time.Duration
	// Seed is the seed of the random choices.
	Seed uint64
}

func (c Config) validate() error {
	switch c.Mode {
	case ModeFollow, ModeFixed, ModeDirect, ModeLookup, ModeIdle:
	default:
		return configError("the mode is none of follow, fixed, direct, lookup, idle")
	}
	if len(c.Hosts) == 0 {
		return configError("no host is given")
	}
	if c.Connections < 1 || c.Connections > MaxConnections {
		return configError("the number of connections is out of bounds")
	}
	if c.Duration <= 0 || c.Duration > MaxDuration || c.Count < 1 || c.Rate < 0 {
		return configError("the count, rate or duration is out of bounds")
	}
	if c.Posts < 0 || c.Posts > 100 {
		return configError("the percentage of posts is out of bounds")
	}
	return nil
}

func configError(text string) error {
	return &Error{Op: "check", Kind: KindConfig, Err: errors.New(text)}
}
