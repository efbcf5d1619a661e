package follower

import (
	"context"
	"math/rand/v2"
	"sync"
	"sync/atomic"
	"time"

	"github.com/pkg/errors"

	"github.com/fescuethread/fescuethread/logger"
	"github.com/fescuethread/fescuethread/planner"
	"github.com/fescuethread/fescuethread/selector"
	"github.com/fescuethread/fescuethread/timer"
)

const (
	// planPeriod is the time between two reads of the plan; each read also proves that the known
	// keys are the newest.
	planPeriod = 900 * time.Millisecond
	// watchTerm is the longest time that a watch waits: a watch that hears nothing proves little.
	watchTerm = 1200 * time.Millisecond
	// hostsPeriod is the time between two reads of the registered hosts.
	hostsPeriod = 2 * time.Second
	// firstBackoff and longestBackoff bound the pause after a failed call.
	firstBackoff   = 150 * time.Millisecond
	longestBackoff = 800 * time.Millisecond
	// lapseTerm is how long entries that are missing after an outage are kept: their targets need
	// that long to register again.
	lapseTerm = 2 * time.Second
	// outageTerm is how long the list of targets must have been unreadable for an outage: shorter
	// ones make no entry lapse.
	outageTerm = time.Second
)

// Follower follows the store.
type Follower struct {
	store Store
	sink  Sink
	log   *logger.Logger

	plan    atomic.Pointer[planner.Plan]
	proved  atomic.Int64
	planned atomic.Bool
	listed  atomic.Bool
	emptied atomic.Bool
	joined  atomic.Bool

	mu      sync.Mutex
	entries map[string]selector.Target
	lapsing map[string]timer.Instant
	bad     map[string]bool
	readAt  timer.Instant
}

// New returns a follower that knows nothing.
func New(store Store, sink Sink, l *logger.Logger) *Follower {
	return &Follower{
		store:   store,
		sink:    sink,
		log:     l,
		entries: map[string]selector.Target{},
		lapsing: map[string]timer.Instant{},
		bad:     map[string]bool{},
	}
}

// Plan returns the plan in force, or nil before the first one.
func (f *Follower) Plan() *planner.Plan {
	return f.plan.Load()
}

// Proved returns the instant at which the plan in force was the newest one for certain; 0 is never.
func (f *Follower) Proved() timer.Instant {
	return timer.Instant(f.proved.Load())
}

// Known reports whether plan, targets, evacuations and hosts were each read at least once.
func (f *Follower) Known() bool {
	return f.planned.Load() && f.listed.Load() && f.emptied.Load() && f.joined.Load()
}

// FollowPlan reads the plan each period until ctx ends.
func (f *Follower) FollowPlan(ctx context.Context) error {
	return f.repeat(ctx, "plan", planPeriod, f.readPlan)
}

// FollowHosts reads the registered hosts each period until ctx ends.
func (f *Follower) FollowHosts(ctx context.Context) error {
	return f.repeat(ctx, "hosts", hostsPeriod, f.readHosts)
}

// FollowTargets lists the targets and watches them until ctx ends.
func (f *Follower) FollowTargets(ctx context.Context) error {
	revision := uint64(0)
	return f.repeat(ctx, "targets", 0, func(ctx context.Context) error {
		var err error
		if revision == 0 {
			revision, err = f.listTargets(ctx)
			return err
		}
		revision, err = f.watchTargets(ctx, revision)
		return err
	})
}

// FollowEvacuations lists the evacuations and watches them until ctx ends.
func (f *Follower) FollowEvacuations(ctx context.Context) error {
	revision := uint64(0)
	return f.repeat(ctx, "evacuations", 0, func(ctx context.Context) error {
		if revision == 0 {
			zones, at, err := f.store.Evacuations(ctx)
			if err != nil {
				return err
			}
			f.sink.UseEvacuations(zones)
			f.emptied.Store(true)
			revision = at
			return nil
		}
		changed, at, err := f.store.WatchEvacuations(ctx, revision, watchTerm)
		if err != nil || changed {
			revision = 0
			return err
		}
		revision = at
		return nil
	})
}

// Sweep drops the entries whose time to return has passed.
func (f *Follower) Sweep(now timer.Instant) {
	f.mu.Lock()
	dropped := 0
	for name, until := range f.lapsing {
		if now.Before(until) {
			continue
		}
		delete(f.lapsing, name)
		delete(f.entries, name)
		dropped++
		f.log.Log(eventTargetGone, logger.F("target", name), logger.F("rule", "lapsed in an outage"))
	}
	f.mu.Unlock()
	if dropped > 0 {
		f.publish()
	}
}

func (f *Follower) readPlan(ctx context.Context) error {
	started := timer.Now()
	p, err := f.store.Plan(ctx)
	if err != nil {
		return err
	}
	current := f.plan.Load()
	if current == nil || p.Version() > current.Version() {
		f.plan.Store(p)
		f.sink.UsePlan(p)
		f.log.Log(eventPlanInForce, logger.F("version", p.Version()),
			logger.F("read_ms", timer.Now().Sub(started).Milliseconds()))
	}
	f.proved.Store(int64(started))
	f.planned.Store(true)
	return nil
}

func (f *Follower) readHosts(ctx context.Context) error {
	started := timer.Now()
	members, err := f.store.Hosts(ctx)
	if err != nil {
		return err
	}
	f.sink.UseHosts(started, members)
	f.joined.Store(true)
	return nil
}

func (f *Follower) listTargets(ctx context.Context) (uint64, error) {
	list, err := f.store.Targets(ctx)
	if err != nil {
		return 0, err
	}
	f.merge(timer.Now(), list)
	f.publish()
	f.listed.Store(true)
	return list.Revision, nil
}

// merge takes a whole list; entries that it lacks after an outage are kept for a while.
func (f *Follower) merge(now timer.Instant, list Targets) {
	f.mu.Lock()
	defer f.mu.Unlock()
	outage := f.readAt != 0 && now.Sub(f.readAt) > watchTerm+outageTerm
	f.readAt = now
	for _, u := range list.Unreadable {
		f.noteBad(u.Name, u.Err)
	}
	for name, t := range list.Known {
		f.noteChange(name, t)
		f.entries[name] = t
		delete(f.lapsing, name)
	}
	for name := range f.entries {
		if _, ok := list.Known[name]; ok {
			continue
		}
		if outage && !f.bad[name] {
			f.lapsing[name] = now.Add(lapseTerm)
			continue
		}
		if _, waiting := f.lapsing[name]; waiting {
			continue
		}
		delete(f.entries, name)
		f.log.Log(eventTargetGone, logger.F("target", name), logger.F("rule", "not listed"))
	}
}

func (f *Follower) watchTargets(ctx context.Context, revision uint64) (uint64, error) {
	c, err := f.store.WatchTargets(ctx, revision, watchTerm)
	if err != nil {
		return 0, err
	}
	f.apply(timer.Now(), c)
	if len(c.Changed) > 0 {
		f.publish()
	}
	return c.Revision, nil
}

func (f *Follower) apply(now timer.Instant, c Changes) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.readAt = now
	for _, change := range c.Changed {
		delete(f.lapsing, change.Name)
		if !change.Gone {
			f.noteChange(change.Name, change.Target)
			f.entries[change.Name] = change.Target
			continue
		}
		if change.Err != nil {
			f.noteBad(change.Name, change.Err)
		}
		if _, ok := f.entries[change.Name]; ok {
			delete(f.entries, change.Name)
			f.log.Log(eventTargetGone, logger.F("target", change.Name),
				logger.F("rule", "removed"), logger.F("revision", c.Revision))
		}
	}
}

func (f *Follower) publish() {
	f.mu.Lock()
	targets := make([]selector.Target, 0, len(f.entries))
	for _, t := range f.entries {
		targets = append(targets, t)
	}
	f.mu.Unlock()
	f.sink.UseTargets(targets)
}

func (f *Follower) noteBad(name string, err error) {
	if f.bad[name] {
		return
	}
	f.bad[name] = true
	f.log.Log(eventEntryUnreadable, logger.F("entry", name), logger.F("cause", err.Error()))
}

func (f *Follower) noteChange(name string, t selector.Target) {
	delete(f.bad, name)
	old, ok := f.entries[name]
	switch {
	case !ok:
		f.log.Log(eventTargetKnown, logger.F("target", name), logger.F("service", t.Service),
			logger.F("zone", t.Zone), logger.F("address", t.Address), logger.F("draining", t.Draining),
			logger.F("cold_ms", t.ColdLeft.Milliseconds()))
	case old.Draining != t.Draining || old.Address != t.Address || old.Born != t.Born:
		f.log.Log(eventTargetChanged, logger.F("target", name), logger.F("address", t.Address),
			logger.F("draining", t.Draining), logger.F("born", t.Born),
			logger.F("cold_ms", t.ColdLeft.Milliseconds()))
	}
}

// repeat runs step until ctx ends, with a pause after each success and a growing one after each
// failure.
func (f *Follower) repeat(
	ctx context.Context, what string, period time.Duration, step func(context.Context) error,
) error {
	failures := 0
	for {
		err := step(ctx)
		if ctx.Err() != nil {
			return nil
		}
		if errors.Is(err, ErrHistory) {
			f.log.Log(eventHistoryGone, logger.F("reads", what))
			continue
		}
		wait := period
		if err != nil {
			failures++
			wait = backoff(failures)
			if failures == 1 {
				f.log.Log(eventStoreLost, logger.F("reads", what), logger.F("cause", err.Error()))
			}
		} else if failures > 0 {
			f.log.Log(eventStoreRegained, logger.F("reads", what), logger.F("failures", failures))
			failures = 0
		}
		if !pause(ctx, wait) {
			return nil
		}
	}
}

// backoff doubles with each failure and is spread, so that hosts don't call together.
func backoff(failures int) time.Duration {
	d := firstBackoff << min(failures-1, 4)
	d = min(d, longestBackoff)
	return d/2 + rand.N(d)
}

func pause(ctx context.Context, d time.Duration) bool {
	if d <= 0 {
		return ctx.Err() == nil
	}
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-ctx.Done():
		return false
	case <-t.C:
		return true
	}
}
