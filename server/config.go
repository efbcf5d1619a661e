package server

import "time"

// Config bounds what callers may do.
type Config struct {
	// Address is the IP address and port that the server listens on.
	Address string
	// BodyBytes is the largest request body.
	BodyBytes int
	// HeaderBytes is the largest request line and header together.
	HeaderBytes int
	// AnswerBytes is the largest answer that may wait for a slow reader.
	AnswerBytes int
	// Connections is the largest number of open connections.
	Connections int
	// Idle is the time after which a connection without a whole request, or with an answer that its
	// caller does not take, is closed.
	Idle time.Duration
	// Current returns bounds that may change while the server runs; nil stands for those above.
	Current func() Bounds
}

// Bounds are the bounds that may change while the server runs.
type Bounds struct {
	// BodyBytes is the largest request body.
	BodyBytes int
	// HeaderBytes is the largest request line and header together.
	HeaderBytes int
	// HeaderTime is how long a caller may take to send a header.
	HeaderTime time.Duration
}

func (c *Config) bounds() Bounds {
	if c.Current != nil {
		return c.Current()
	}
	return Bounds{BodyBytes: c.BodyBytes, HeaderBytes: c.HeaderBytes, HeaderTime: c.Idle}
}

const (
	// pipelineDepth is the largest number of requests that wait on one connection.
	pipelineDepth = 16
	// pollers is the number of goroutines that read from sockets.
	pollers = 2
	// readBufferBytes is the size of each poller's read buffer.
	readBufferBytes = 32 << 10
)

// sweepPeriod is the time between two looks for senders that are too slow.
const sweepPeriod = 100 * time.Millisecond

// closeAfter is the time after which the engine closes a silent connection; it is longer than
// Idle, so that a slow sender gets its answer first.
func (c *Config) closeAfter() time.Duration {
	return c.Idle + 2*linger
}

// startTerm is the time within which the engine's pollers surely run.
const startTerm = 200 * time.Millisecond

// linger is the time for which a refused connection stays open to deliver the refusal.
const linger = time.Second
