package follower

import (
	"strconv"
	"sync"
	"time"

	"github.com/fescuethread/fescuethread/logger"
	"github.com/fescuethread/fescuethread/selector"
	"github.com/fescuethread/fescuethread/timer"
)

// missingGracePeriod is how long entries that are missing after an outage are kept: their targets
// need that long to register again.
const missingGracePeriod = 2 * time.Second

// entries holds the target entries read from the store.
type entries struct {
	logger *logger.Logger

	mu sync.Mutex
	// revision is the store's revision to watch from; with 0 the next read lists all entries.
	revision uint64
	// heldRevision is the store's revision that the entries reflect; 0 before the first read.
	heldRevision uint64
	// log holds the latest changes for peers.
	log changelog
	// targets holds the valid entries by name, with those in their grace period.
	targets map[string]selector.Target
	// missing holds the end of the grace period of each entry that is missing after an outage.
	missing map[string]timer.Instant
	// invalid holds the names of the entries whose content was logged as invalid.
	invalid map[string]bool
}

func newEntries(l *logger.Logger) *entries {
	return &entries{
		logger:  l,
		targets: map[string]selector.Target{},
		missing: map[string]timer.Instant{},
		invalid: map[string]bool{},
	}
}

// watchRevision returns the revision to watch from; 0 means that a list is needed.
func (e *entries) watchRevision() uint64 {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.revision
}

// held returns the store's revision that the entries reflect; 0 before the first read.
func (e *entries) held() uint64 {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.heldRevision
}

// resetRevision makes the next read of the store list all entries.
func (e *entries) resetRevision() {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.revision = 0
}

// list returns all targets, including those in their grace period.
func (e *entries) list() []selector.Target {
	e.mu.Lock()
	defer e.mu.Unlock()
	targets := make([]selector.Target, 0, len(e.targets))
	for _, t := range e.targets {
		targets = append(targets, t)
	}
	return targets
}

// hash returns a hash of what decides how targets are used, without the entries in their grace
// period. It doesn't depend on the order of the entries.
func (e *entries) hash() uint64 {
	e.mu.Lock()
	defer e.mu.Unlock()
	sum := uint64(0)
	for name, t := range e.targets {
		if _, missing := e.missing[name]; !missing {
			sum += hashOf(name, t.Service, t.Zone, t.Address, strconv.FormatBool(t.Draining),
				strconv.FormatInt(t.StartMillis, 10), strconv.FormatBool(t.ColdRemaining > 0),
				strconv.Itoa(t.Slots))
		}
	}
	return sum
}

// applyList replaces the entries by a complete list that was read from the store; after an outage,
// entries that are not listed are kept for the grace period.
func (e *entries) applyList(now timer.Instant, list Targets, outage bool) {
	e.mu.Lock()
	defer e.mu.Unlock()
	for _, entry := range list.Invalid {
		e.markInvalid(entry.Name, entry.Err)
	}
	var changes []Change
	for name, t := range list.Valid {
		_, returned := e.missing[name]
		if old, ok := e.targets[name]; !ok || old != t || returned {
			changes = append(changes, Change{Name: name, Target: t})
		}
		e.put(t)
	}
	for name := range e.targets {
		if _, ok := list.Valid[name]; !ok {
			e.remove(now, name, "not listed", outage)
			_, missing := e.missing[name]
			changes = append(changes, Change{Name: name, Removed: true, Missing: missing})
		}
	}
	if e.heldRevision == 0 {
		e.log.reset(list.Revision)
	} else {
		e.log.append(batch{from: e.heldRevision, to: list.Revision, changes: changes, difference: true})
	}
	e.revision = list.Revision
	e.heldRevision = max(e.heldRevision, list.Revision)
}

// applyChanges applies the changes that a watch returned.
func (e *entries) applyChanges(now timer.Instant, c Changes) {
	e.mu.Lock()
	defer e.mu.Unlock()
	for _, change := range c.Changed {
		e.apply(now, change)
	}
	e.log.append(batch{from: e.heldRevision, to: c.Revision, changes: c.Changed})
	e.revision = c.Revision
	e.heldRevision = max(e.heldRevision, c.Revision)
}

func (e *entries) apply(now timer.Instant, change Change) {
	if change.Err != nil {
		e.markInvalid(change.Name, change.Err)
	}
	if change.Removed {
		if !change.Missing {
			delete(e.missing, change.Name)
		}
		e.remove(now, change.Name, "removed", change.Missing)
		return
	}
	e.put(change.Target)
}

// applyRelayed applies what a peer has sent, unless the entries are of the same or a newer
// revision; it reports whether it did. The peer decides which missing entries have a grace period.
func (e *entries) applyRelayed(now timer.Instant, c Changes) bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	if c.Revision <= e.heldRevision {
		return false
	}
	listed := make(map[string]bool, len(c.Changed))
	for _, change := range c.Changed {
		listed[change.Name] = true
		e.apply(now, change)
	}
	if c.Complete {
		for name := range e.targets {
			if !listed[name] {
				delete(e.missing, name)
				e.remove(now, name, "not listed", false)
			}
		}
		e.log.reset(c.Revision)
	} else {
		e.log.append(batch{from: e.heldRevision, to: c.Revision, changes: c.Changed, difference: true})
	}
	e.revision = c.Revision
	e.heldRevision = c.Revision
	return true
}

// changesSince returns what a peer that holds a revision has missed, or all entries if the log
// doesn't reach back to it.
func (e *entries) changesSince(revision uint64) Changes {
	e.mu.Lock()
	defer e.mu.Unlock()
	if changes, ok := e.log.since(revision); ok && revision != 0 {
		return Changes{Changed: changes, Revision: e.heldRevision}
	}
	all := make([]Change, 0, len(e.targets))
	for name, t := range e.targets {
		_, missing := e.missing[name]
		all = append(all, Change{Name: name, Target: t, Removed: missing, Missing: missing})
	}
	return Changes{Changed: all, Revision: e.heldRevision, Complete: true}
}

// sweep removes the entries whose grace period has ended and reports whether there were any.
func (e *entries) sweep(now timer.Instant) bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	removed := false
	for name, until := range e.missing {
		if now.Before(until) {
			continue
		}
		delete(e.missing, name)
		e.remove(now, name, "lapsed in an outage", false)
		removed = true
	}
	return removed
}

func (e *entries) put(t selector.Target) {
	delete(e.invalid, t.ID)
	delete(e.missing, t.ID)
	old, ok := e.targets[t.ID]
	e.targets[t.ID] = t
	if !ok {
		e.logger.Log(eventTargetAdded, logger.F("target", t.ID), logger.F("service", t.Service),
			logger.F("zone", t.Zone), logger.F("address", t.Address), logger.F("draining", t.Draining),
			logger.F("cold_ms", t.ColdRemaining.Milliseconds()))
		return
	}
	if old.Draining != t.Draining || old.Address != t.Address || old.StartMillis != t.StartMillis {
		e.logger.Log(eventTargetChanged, logger.F("target", t.ID), logger.F("address", t.Address),
			logger.F("draining", t.Draining), logger.F("born", t.StartMillis),
			logger.F("cold_ms", t.ColdRemaining.Milliseconds()))
	}
}

// remove removes an entry. After an outage, an entry that isn't invalid is kept for the grace
// period instead.
func (e *entries) remove(now timer.Instant, name, reason string, outage bool) {
	if _, ok := e.targets[name]; !ok {
		return
	}
	if _, missing := e.missing[name]; missing {
		return
	}
	if outage && !e.invalid[name] {
		e.missing[name] = now.Add(missingGracePeriod)
		return
	}
	delete(e.targets, name)
	e.logger.Log(eventTargetRemoved, logger.F("target", name), logger.F("rule", reason),
		logger.F("revision", e.revision))
}

// markInvalid logs an invalid entry once, until it becomes valid.
func (e *entries) markInvalid(name string, err error) {
	if e.invalid[name] {
		return
	}
	e.invalid[name] = true
	e.logger.Log(eventEntryInvalid, logger.F("entry", name), logger.F("cause", err.Error()))
}
