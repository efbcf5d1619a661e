package follower

import (
	"context"
	"time"

	"github.com/pkg/errors"

	"github.com/fescuethread/fescuethread/announcer"
	"github.com/fescuethread/fescuethread/planner"
	"github.com/fescuethread/fescuethread/selector"
	"github.com/fescuethread/fescuethread/timer"
)

// ErrWatchExpired means that the store no longer has the history from a watch's revision on, so
// the entries must be listed again.
var ErrWatchExpired = errors.New("watch revision has expired")

// Targets is a list of all target entries.
type Targets struct {
	// Valid holds the valid entries, by name.
	Valid map[string]selector.Target
	// Invalid holds the invalid entries.
	Invalid []InvalidEntry
	// Revision is the store's revision that the list reflects.
	Revision uint64
}

// InvalidEntry is a target entry whose content is not valid.
type InvalidEntry struct {
	// Name is the entry's name.
	Name string
	// Err says why the entry is invalid.
	Err error
}

// Change is a change of a target entry.
type Change struct {
	// Name is the entry's name.
	Name string
	// Target is the entry's new content.
	Target selector.Target
	// Removed reports whether the entry was deleted or is now invalid.
	Removed bool
	// Missing reports that the entry was missing after an outage of the store; it is then kept for a
	// grace period.
	Missing bool
	// Err says why the content is invalid; it is nil if it is valid.
	Err error
}

// Changes are the changes of target entries after a revision.
type Changes struct {
	// Changed lists the changes in their order.
	Changed []Change
	// Revision is the store's revision after the changes.
	Revision uint64
	// Complete reports that the changes are all entries there are, in place of those after a
	// revision.
	Complete bool
}

// Evacuations is the list of evacuated availability zones.
type Evacuations struct {
	// Zones are the zones' names.
	Zones []string
	// Revision is the store's revision that the list reflects.
	Revision uint64
}

// Hosts is the list of registered hosts.
type Hosts struct {
	// Members are the hosts.
	Members []announcer.Member
	// Revision is the store's revision that the list reflects.
	Revision uint64
}

// Store is a client of the platform's store.
type Store interface {
	// Plan reads the newest configuration.
	Plan(ctx context.Context) (*planner.Plan, error)
	// Targets lists all target entries.
	Targets(ctx context.Context) (Targets, error)
	// WatchTargets returns the changes of target entries after a revision; it waits at most
	// for the given time for the first one.
	WatchTargets(ctx context.Context, revision uint64, wait time.Duration) (Changes, error)
	// Evacuations lists the evacuated availability zones.
	Evacuations(ctx context.Context) (Evacuations, error)
	// Hosts lists the registered hosts.
	Hosts(ctx context.Context) (Hosts, error)
}

// Content is the content of one subject as last read.
type Content struct {
	// Summary identifies the content and says when it was verified.
	Summary Summary
	// Plan is the content of SubjectPlan.
	Plan *planner.Plan
	// Evacuations is the content of SubjectEvacuations.
	Evacuations Evacuations
	// Hosts is the content of SubjectHosts.
	Hosts Hosts
	// Changes is the content of SubjectTargets: the changes since the revision that was asked for, or
	// all entries.
	Changes Changes
}

// Peers calls the other hosts.
type Peers interface {
	// Fetch returns a peer's content of a subject; of the targets, the changes after a revision.
	Fetch(ctx context.Context, peer string, s Subject, since uint64) (Content, error)
}

// Sink applies what was read.
type Sink interface {
	// UsePlan applies a newer plan.
	UsePlan(p *planner.Plan)
	// UseTargets applies the complete list of targets.
	UseTargets(targets []selector.Target)
	// UseEvacuations applies the evacuated availability zones.
	UseEvacuations(zones []string)
	// UseHosts applies the list of registered hosts, whose read began at readAt.
	UseHosts(readAt timer.Instant, members []announcer.Member)
	// AnnounceSoon requests an early heartbeat, so that peers get the new summaries soon.
	AnnounceSoon()
}
