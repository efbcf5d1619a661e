package follower

import (
	"context"
	"fmt"
	"math/rand"
	"slices"
	"sort"
	"sync"
	"sync/atomic"
	"time"

	"github.com/pkg/errors"

	"github.com/fescuethread/fescuethread/logger"
	"github.com/fescuethread/fescuethread/pacer"
	"github.com/fescuethread/fescuethread/planner"
	"github.com/fescuethread/fescuethread/timer"
)

const (
	// pollTimeout is the timeout of a watch that only collects the changes made so far.
	pollTimeout = 5 * time.Millisecond
	// initialBackoff and maxBackoff bound the delay before a failed call is retried.
	initialBackoff = 300 * time.Millisecond
	maxBackoff     = 1200 * time.Millisecond
	// minOutage is the age of the last verification of the targets above which a failure to read the
	// store counts as an outage: in a shorter one no entry expires.
	minOutage = 2500 * time.Millisecond
)

// Follower keeps the content of the store up to date.
type Follower struct {
	store    Store
	sink     Sink
	log      *logger.Logger
	plan     atomic.Pointer[planner.Plan]
	subjects [subjectCount]*subjectState
	schedule schedule
	entries  *entries
	peers    Peers

	mu          sync.Mutex
	evacuations Evacuations
	hosts       Hosts
}

// New returns a follower that has read nothing yet; maxStaleness is the time within which a change
// in the store must take effect.
func New(
	store Store, peers Peers, sink Sink, maxStaleness time.Duration, l *logger.Logger,
) *Follower {
	f := &Follower{
		store: store, peers: peers, sink: sink, schedule: newSchedule(maxStaleness), log: l,
		entries: newEntries(l),
	}
	for i := range f.subjects {
		f.subjects[i] = newSubjectState(f.schedule)
	}
	return f
}

// Plan returns the current plan, or nil before the first one.
func (f *Follower) Plan() *planner.Plan {
	return f.plan.Load()
}

// VerifiedAt returns the instant as of which the current plan was verified to be the newest;
// 0 means that none was read yet.
func (f *Follower) VerifiedAt() timer.Instant {
	_, verifiedAt := f.subjects[SubjectPlan].version()
	return verifiedAt
}

// HostsVerifiedAt returns the instant as of which the list of hosts was verified to be the newest;
// 0 means that none was read yet.
func (f *Follower) HostsVerifiedAt() timer.Instant {
	_, verifiedAt := f.subjects[SubjectHosts].version()
	return verifiedAt
}

// HasSynced reports whether every subject was read at least once.
func (f *Follower) HasSynced() bool {
	for _, state := range f.subjects {
		if _, verifiedAt := state.version(); verifiedAt == 0 {
			return false
		}
	}
	return true
}

// SetRank sets the number of live hosts that read the store before this one, and the number of
// hosts that pass their verifications on to it.
func (f *Follower) SetRank(rank, hops int) {
	for _, state := range f.subjects {
		state.setRank(rank, hops)
	}
}

// Follow keeps one subject up to date until ctx ends: it reads the store when the last
// verification is too old; if a peer has newer content, it tries that peer before the store.
func (f *Follower) Follow(ctx context.Context, s Subject) error {
	state := f.subjects[s]
	failures := 0
	backoff := pacer.New(initialBackoff, maxBackoff, newRand(), pacer.Clock{})
	for {
		peer, ok := state.waitUntilDue(ctx)
		if !ok {
			return nil
		}
		if peer != "" && f.fetch(ctx, s, peer) {
			continue
		}
		err := f.read(ctx, s)
		switch {
		case ctx.Err() != nil:
			return nil
		case errors.Is(err, ErrWatchExpired):
			f.log.Log(eventWatchExpired, logger.F("reads", s.String()))
			continue
		case err == nil && failures > 0:
			f.log.Log(eventStoreRecovered,
				logger.F("reads", s.String()), logger.F("failures", failures))
			failures = 0
			backoff.Reset()
		case err != nil:
			failures++
			if failures == 1 {
				f.log.Log(eventStoreCallFailed,
					logger.F("reads", s.String()), logger.F("cause", err.Error()))
			}
			if backoff.Wait(ctx) != nil {
				return nil
			}
		}
	}
}

// read reads a subject from the store and applies it.
func (f *Follower) read(ctx context.Context, s Subject) error {
	readAt := timer.Now()
	var hash uint64
	var err error
	switch s {
	case SubjectPlan:
		hash, err = f.readPlan(ctx, readAt)
	case SubjectTargets:
		hash, err = f.readTargets(ctx)
	case SubjectEvacuations:
		hash, err = f.readEvacuations(ctx)
	case SubjectHosts:
		hash, err = f.readHosts(ctx, readAt)
	}
	if err != nil {
		return err
	}
	state := f.subjects[s]
	if changed := state.update(hash, readAt); changed || state.isFirst() && s == SubjectPlan {
		f.sink.AnnounceSoon()
	}
	return nil
}

// outage reports whether the targets were last verified so long ago that entries may have expired
// in an outage of the store although their targets are running.
func (f *Follower) outage() bool {
	_, verifiedAt := f.subjects[SubjectTargets].version()
	return verifiedAt != 0 && timer.Now().Sub(verifiedAt) > minOutage
}

// Sweep removes the entries that were missing after an outage and whose grace period has ended.
func (f *Follower) Sweep(now timer.Instant) {
	if f.entries.sweep(now) {
		f.sink.UseTargets(f.entries.list())
	}
}

func (f *Follower) readPlan(ctx context.Context, readAt timer.Instant) (uint64, error) {
	p, err := f.store.Plan(ctx)
	if err != nil {
		return 0, err
	}
	return f.usePlan(p, readAt), nil
}

// usePlan applies a plan if it is newer than the current one, and returns the version of the plan
// that is then current, which serves as its hash.
func (f *Follower) usePlan(p *planner.Plan, readAt timer.Instant) uint64 {
	current := f.plan.Load()
	if current == nil || p.Version() > current.Version() {
		f.plan.Store(p)
		f.sink.UsePlan(p)
		f.log.Log(eventPlanApplied, logger.F("version", p.Version()),
			logger.F("read_ms", timer.Now().Sub(readAt).Milliseconds()))
	}
	return f.plan.Load().Version()
}

func (f *Follower) readEvacuations(ctx context.Context) (uint64, error) {
	e, err := f.store.Evacuations(ctx)
	if err != nil {
		return 0, err
	}
	sort.Strings(e.Zones)
	return f.useEvacuations(e), nil
}

func (f *Follower) useEvacuations(e Evacuations) uint64 {
	f.mu.Lock()
	f.evacuations = e
	f.mu.Unlock()
	hash := hashOf(e.Zones...)
	if old, verifiedAt := f.subjects[SubjectEvacuations].version(); verifiedAt == 0 || old != hash {
		f.sink.UseEvacuations(e.Zones)
	}
	return hash
}

func (f *Follower) readHosts(ctx context.Context, readAt timer.Instant) (uint64, error) {
	h, err := f.store.Hosts(ctx)
	if err != nil {
		return 0, err
	}
	return f.useHosts(readAt, h), nil
}

func (f *Follower) useHosts(readAt timer.Instant, h Hosts) uint64 {
	f.mu.Lock()
	f.hosts = Hosts{Members: slices.Clone(h.Members), Revision: h.Revision}
	f.mu.Unlock()
	f.sink.UseHosts(readAt, h.Members)
	parts := make([]string, 0, len(h.Members))
	for _, m := range h.Members {
		parts = append(parts, fmt.Sprint(m.Name, m.CallerAddress, m.PeerAddress, m.Capacity))
	}
	sort.Strings(parts)
	return hashOf(parts...)
}

// readTargets lists the target entries, or watches for changes since the last read. After an
// error the next read lists again.
func (f *Follower) readTargets(ctx context.Context) (uint64, error) {
	var err error
	if revision := f.entries.watchRevision(); revision == 0 {
		err = f.listTargets(ctx)
	} else {
		err = f.watchTargets(ctx, revision)
	}
	if err != nil {
		f.entries.resetRevision()
		return 0, err
	}
	return f.entries.hash(), nil
}

func (f *Follower) listTargets(ctx context.Context) error {
	list, err := f.store.Targets(ctx)
	if err != nil {
		return err
	}
	f.entries.applyList(timer.Now(), list, f.outage())
	f.sink.UseTargets(f.entries.list())
	return nil
}

// watchTargets applies the changes after a revision; only the host of rank 0 waits for them.
func (f *Follower) watchTargets(ctx context.Context, revision uint64) error {
	wait := pollTimeout
	if f.subjects[SubjectTargets].isFirst() {
		wait = f.schedule.watchTimeout
	}
	c, err := f.store.WatchTargets(ctx, revision, wait)
	if err != nil {
		return err
	}
	f.entries.applyChanges(timer.Now(), c)
	if len(c.Changed) > 0 {
		f.sink.UseTargets(f.entries.list())
	}
	return nil
}

// newRand returns a generator for the backoff's jitter with a seed from the clock, so that hosts
// don't retry in step.
func newRand() *rand.Rand {
	return rand.New(rand.NewSource(time.Now().UnixNano()))
}
