package follower

import (
	"context"
	"fmt"
	"math/rand/v2"
	"sort"
	"sync"
	"sync/atomic"
	"time"

	"github.com/pkg/errors"

	"github.com/fescuethread/fescuethread/logger"
	"github.com/fescuethread/fescuethread/pacer"
	"github.com/fescuethread/fescuethread/planner"
	"github.com/fescuethread/fescuethread/selector"
	"github.com/fescuethread/fescuethread/timer"
)

const (
	// watchTerm is the longest time that a watch waits: a watch that hears nothing proves little.
	watchTerm = 1200 * time.Millisecond
	// glanceTerm is how long a watch waits for changes that are there already.
	glanceTerm = 5 * time.Millisecond
	// firstBackoff and longestBackoff bound the pause after a failed call.
	firstBackoff   = 150 * time.Millisecond
	longestBackoff = 800 * time.Millisecond
	// lapseTerm is how long entries that are missing after an outage are kept: their targets need
	// that long to register again.
	lapseTerm = 2 * time.Second
	// outageTerm is how old the newest proof of the targets must be for an outage: shorter ones
	// make no entry lapse.
	outageTerm = 2500 * time.Millisecond
)

// Follower follows the store.
type Follower struct {
	store    Store
	sink     Sink
	log      *logger.Logger
	plan     atomic.Pointer[planner.Plan]
	subjects [subjectCount]*subject

	mu       sync.Mutex
	revision uint64
	entries  map[string]selector.Target
	lapsing  map[string]timer.Instant
	bad      map[string]bool
}

// New returns a follower that knows nothing.
func New(store Store, sink Sink, l *logger.Logger) *Follower {
	f := &Follower{
		store:   store,
		sink:    sink,
		log:     l,
		entries: map[string]selector.Target{},
		lapsing: map[string]timer.Instant{},
		bad:     map[string]bool{},
	}
	for i := range f.subjects {
		f.subjects[i] = newSubject()
	}
	return f
}

// Plan returns the plan in force, or nil before the first one.
func (f *Follower) Plan() *planner.Plan {
	return f.plan.Load()
}

// Proved returns the instant at which the plan in force was the newest one for certain; 0 is
// never.
func (f *Follower) Proved() timer.Instant {
	_, at := f.subjects[SubjectPlan].proof()
	return at
}

// HostsProved returns the instant at which the known list of hosts was the newest one for certain;
// 0 is never.
func (f *Follower) HostsProved() timer.Instant {
	_, at := f.subjects[SubjectHosts].proof()
	return at
}

// Known reports whether every subject was read at least once.
func (f *Follower) Known() bool {
	for _, s := range f.subjects {
		if _, at := s.proof(); at == 0 {
			return false
		}
	}
	return true
}

// Marks returns what is known of each subject, for the peers.
func (f *Follower) Marks() []Mark {
	var marks []Mark
	for i, s := range f.subjects {
		if hash, at := s.proof(); at != 0 {
			marks = append(marks, Mark{Subject: Subject(i), Hash: hash, At: at})
		}
	}
	return marks
}

// Hear takes a peer's mark, dated by this host's clock at the latest when its read began: the same
// content renews the proof, a newer one of other content has the subject read.
func (f *Follower) Hear(m Mark) {
	if m.Subject < subjectCount {
		f.subjects[m.Subject].hear(m)
	}
}

// SetRank tells how many live hosts read before this one.
func (f *Follower) SetRank(rank int) {
	for _, s := range f.subjects {
		s.setRank(rank)
	}
}

// Follow reads one subject when its proof has grown old or a peer knows a newer one, until ctx
// ends.
func (f *Follower) Follow(ctx context.Context, which Subject) error {
	s := f.subjects[which]
	failures := 0
	for {
		if !s.await(ctx) {
			return nil
		}
		err := f.read(ctx, which)
		switch {
		case ctx.Err() != nil:
			return nil
		case errors.Is(err, ErrHistory):
			f.log.Log(eventHistoryGone, logger.F("reads", which.String()))
			continue
		case err == nil && failures > 0:
			f.log.Log(eventStoreRegained,
				logger.F("reads", which.String()), logger.F("failures", failures))
			failures = 0
		case err != nil:
			failures++
			if failures == 1 {
				f.log.Log(eventStoreLost,
					logger.F("reads", which.String()), logger.F("cause", err.Error()))
			}
			if (pacer.Clock{}).Pause(ctx, backoff(failures)) != nil {
				return nil
			}
		}
	}
}

func (f *Follower) read(ctx context.Context, which Subject) error {
	started := timer.Now()
	var hash uint64
	var err error
	switch which {
	case SubjectPlan:
		hash, err = f.readPlan(ctx, started)
	case SubjectTargets:
		hash, err = f.readTargets(ctx)
	case SubjectEvacuations:
		hash, err = f.readEvacuations(ctx)
	case SubjectHosts:
		hash, err = f.readHosts(ctx, started)
	}
	if err != nil {
		return err
	}
	s := f.subjects[which]
	if changed := s.prove(hash, started); changed || s.first() && which == SubjectPlan {
		f.sink.Renewed()
	}
	return nil
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

func (f *Follower) readPlan(ctx context.Context, started timer.Instant) (uint64, error) {
	p, err := f.store.Plan(ctx)
	if err != nil {
		return 0, err
	}
	current := f.plan.Load()
	if current == nil || p.Version() > current.Version() {
		f.plan.Store(p)
		f.sink.UsePlan(p)
		f.log.Log(eventPlanInForce, logger.F("version", p.Version()),
			logger.F("read_ms", timer.Now().Sub(started).Milliseconds()))
	}
	return f.plan.Load().Version(), nil
}

func (f *Follower) readEvacuations(ctx context.Context) (uint64, error) {
	zones, err := f.store.Evacuations(ctx)
	if err != nil {
		return 0, err
	}
	sort.Strings(zones)
	hash := hashOf(zones...)
	if known, at := f.subjects[SubjectEvacuations].proof(); at == 0 || known != hash {
		f.sink.UseEvacuations(zones)
	}
	return hash, nil
}

func (f *Follower) readHosts(ctx context.Context, started timer.Instant) (uint64, error) {
	members, err := f.store.Hosts(ctx)
	if err != nil {
		return 0, err
	}
	f.sink.UseHosts(started, members)
	parts := make([]string, 0, len(members))
	for _, m := range members {
		parts = append(parts, m.Name+m.Callers+m.Peer)
	}
	sort.Strings(parts)
	return hashOf(parts...), nil
}

// readTargets lists the targets, or takes what has changed since; the first host to read waits for
// changes.
func (f *Follower) readTargets(ctx context.Context) (uint64, error) {
	f.mu.Lock()
	revision := f.revision
	f.revision = 0
	f.mu.Unlock()
	var err error
	if revision == 0 {
		revision, err = f.listTargets(ctx)
	} else {
		revision, err = f.watchTargets(ctx, revision)
	}
	if err != nil {
		return 0, err
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	f.revision = revision
	return f.entriesHash(), nil
}

func (f *Follower) listTargets(ctx context.Context) (uint64, error) {
	list, err := f.store.Targets(ctx)
	if err != nil {
		return 0, err
	}
	f.merge(timer.Now(), list)
	f.publish()
	return list.Revision, nil
}

func (f *Follower) watchTargets(ctx context.Context, revision uint64) (uint64, error) {
	wait := glanceTerm
	if f.subjects[SubjectTargets].first() {
		wait = watchTerm
	}
	c, err := f.store.WatchTargets(ctx, revision, wait)
	if err != nil {
		return 0, err
	}
	f.apply(c)
	if len(c.Changed) > 0 {
		f.publish()
	}
	return c.Revision, nil
}

// entriesHash covers what decides on the use of targets.
func (f *Follower) entriesHash() uint64 {
	parts := make([]string, 0, len(f.entries))
	for name, t := range f.entries {
		if _, lapses := f.lapsing[name]; !lapses {
			parts = append(parts, fmt.Sprint(name, t.Address, t.Draining, t.Born, t.ColdLeft > 0))
		}
	}
	sort.Strings(parts)
	return hashOf(parts...)
}

// merge takes a whole list; entries that it lacks after an outage are kept for a while.
func (f *Follower) merge(now timer.Instant, list Targets) {
	f.mu.Lock()
	defer f.mu.Unlock()
	_, proved := f.subjects[SubjectTargets].proof()
	outage := proved != 0 && now.Sub(proved) > outageTerm
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

func (f *Follower) apply(c Changes) {
	f.mu.Lock()
	defer f.mu.Unlock()
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

// backoff doubles with each failure and is spread, so that hosts don't call together.
func backoff(failures int) time.Duration {
	d := firstBackoff << min(failures-1, 4)
	d = min(d, longestBackoff)
	return d/2 + rand.N(d)
}
