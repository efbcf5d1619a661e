package carrier

import (
	"context"
	"time"

	"github.com/fescuethread/fescuethread/authenticator"
	"github.com/fescuethread/fescuethread/forwarder"
	"github.com/fescuethread/fescuethread/identifier"
	"github.com/fescuethread/fescuethread/limiter"
	"github.com/fescuethread/fescuethread/locator"
	"github.com/fescuethread/fescuethread/messenger"
	"github.com/fescuethread/fescuethread/registrar"
	"github.com/fescuethread/fescuethread/retrier"
	"github.com/fescuethread/fescuethread/router"
	"github.com/fescuethread/fescuethread/timer"
)

// Snapshot is one configuration in force.
type Snapshot struct {
	// Inventory is the checked inventory.
	Inventory *registrar.Inventory
	// Version is the version of the inventory.
	Version uint64
	// Table answers look-ups.
	Table *locator.Table
	// Ring holds the granted keys.
	Ring *authenticator.Ring
}

// Configuration gives the configuration in force, or nil before there is one.
type Configuration interface {
	Snapshot() *Snapshot
}

// Freshness says whether keyed routes may be served by what this host knows of withdrawals.
type Freshness interface {
	MayServeKeyed(now timer.Instant) bool
}

// Limiter admits units of an account, fleet-wide.
type Limiter interface {
	Admit(account string, units int64) limiter.Decision
}

// Router chooses the availability zones to try, in order, and counts what is passed to them.
type Router interface {
	// Route orders the zones for a request.
	Route(now timer.Instant, q router.Query) router.Decision
	// Begin takes a request that is to be passed to another zone out of the caps on shifts; it
	// reports false when one of them is used up.
	Begin(now timer.Instant, service string, choice router.Choice) bool
	// End tells that the request that Begin counted has ended, and what it tells of the zone.
	End(now timer.Instant, service string, choice router.Choice, feedback router.Feedback)
	// Send takes what is sent to another zone out of the link to its region; it reports false when
	// the link is full.
	Send(zone string, bytes int64) bool
	// Reply waits until the link to another region has room for an answer.
	Reply(ctx context.Context, zone string, bytes int64) error
}

// Slots grants the slots of targets near this host.
type Slots interface {
	// Acquire waits for a slot; an error says that nothing was run.
	Acquire(ctx context.Context, q SlotQuery) (Slot, error)
}

// SlotQuery asks for a slot of a service.
type SlotQuery struct {
	// Work is the request that the slot is for.
	Work Work
	// Zone is the availability zone whose targets are meant.
	Zone string
	// Avoid is a target that an earlier try failed on.
	Avoid string
}

// Slot is a target's slot held by one request.
type Slot interface {
	// Target is the target that runs the request.
	Target() registrar.Target
	// Release gives the slot back with what came of the request.
	Release(result Result)
}

// Targets exchanges requests with targets.
type Targets interface {
	Do(
		ctx context.Context, t forwarder.Target, r *forwarder.Request,
	) (*forwarder.Answer, error)
}

// Peers passes requests to other entry hosts.
type Peers interface {
	Forward(
		ctx context.Context, address string, in *messenger.Request,
	) (*messenger.Reply, error)
}

// Members tells the state of other entry hosts.
type Members interface {
	locator.View
	// Owner returns the host that answers for an owner's operations now.
	Owner(owner identifier.Owner) string
}

// Budget bounds retries to a part of each customer's first tries.
type Budget interface {
	// First counts a first try.
	First(now timer.Instant, customer string)
	// Decide says whether a failed try is repeated.
	Decide(now timer.Instant, a retrier.Attempt) retrier.Decision
}

// Suspects exchanges suspicions of requests that crash targets with the hosts that requests are
// passed to, because heartbeats would bring them too late.
type Suspects interface {
	// Tell returns what this host suspects.
	Tell(now timer.Instant) [][]byte
	// Hear takes what another host suspects.
	Hear(now timer.Instant, host string, suspects [][]byte)
}

// Pauser waits for a duration.
type Pauser interface {
	Pause(ctx context.Context, d time.Duration) error
}
