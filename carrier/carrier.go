package carrier

import (
	"fmt"
	"sync/atomic"
	"time"

	"github.com/fescuethread/fescuethread/identifier"
	"github.com/fescuethread/fescuethread/logger"
	"github.com/fescuethread/fescuethread/timer"
)

// Config names this host and bounds what it does.
type Config struct {
	// Host is the name of this host.
	Host string
	// Zone is the host's availability zone.
	Zone string
	// Incarnation tells this process from others that ran under the name.
	Incarnation uint64
	// Timeout is the deadline of a request that states none.
	Timeout time.Duration
}

// Parts are the services that a carrier works with.
type Parts struct {
	// Configuration gives the configuration in force.
	Configuration Configuration
	// Freshness guards keyed routes.
	Freshness Freshness
	// Limiter admits requests.
	Limiter Limiter
	// Router orders the availability zones.
	Router Router
	// Slots grants slots of targets.
	Slots Slots
	// Targets exchanges requests with targets.
	Targets Targets
	// Peers passes requests on.
	Peers Peers
	// Members tells the state of other hosts.
	Members Members
	// Budget bounds retries.
	Budget Budget
	// Suspects exchanges suspicions.
	Suspects Suspects
	// Pauser spaces retries out.
	Pauser Pauser
	// Registry owns the operations issued here.
	Registry *identifier.Registry
	// Log takes the decisions.
	Log *logger.Logger
	// Now reads the boot clock.
	Now func() timer.Instant
}

// Carrier carries requests of callers and peers.
type Carrier struct {
	cfg   Config
	parts Parts
	count atomic.Uint64
	stats stats
	// waiting counts requests that wait for their customer's rate.
	waiting atomic.Int64
	// inFlight counts requests and operations.
	inFlight atomic.Int64
}

// New returns a carrier.
func New(cfg Config, parts Parts) *Carrier {
	return &Carrier{cfg: cfg, parts: parts, stats: newStats()}
}

// newID returns a name that no other request of the fleet has.
func (c *Carrier) newID() string {
	return fmt.Sprintf("%s-%x-%x", c.cfg.Host, c.cfg.Incarnation, c.count.Add(1))
}

func (c *Carrier) now() timer.Instant {
	return c.parts.Now()
}

// InFlight returns the number of requests of callers and peers that are being served.
func (c *Carrier) InFlight() int {
	return int(c.inFlight.Load())
}
