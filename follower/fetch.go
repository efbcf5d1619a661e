package follower

import (
	"context"

	"github.com/fescuethread/fescuethread/logger"
	"github.com/fescuethread/fescuethread/timer"
)

// Summaries returns the summaries of the subjects that were read, to be sent to peers.
func (f *Follower) Summaries() []Summary {
	var summaries []Summary
	for i, state := range f.subjects {
		if hash, verifiedAt := state.version(); verifiedAt != 0 {
			summaries = append(summaries, Summary{Subject: Subject(i), Hash: hash, VerifiedAt: verifiedAt})
		}
	}
	return summaries
}

// HandleSummary handles a summary from a peer. If the hash is the same, the content counts as
// verified as of the peer's read; otherwise the subject is fetched from the peer. A summary is
// ignored if it is not newer than the last verification. Its VerifiedAt must be on this host's
// clock and not later than the start of the peer's read.
func (f *Follower) HandleSummary(peer string, summary Summary) {
	if summary.Subject < subjectCount {
		f.subjects[summary.Subject].handleSummary(peer, summary)
	}
}

// Content returns a subject's content for a peer, or false if it was not read yet. Of the targets
// it returns the changes after a revision, which may be 0.
func (f *Follower) Content(s Subject, since uint64) (Content, bool) {
	if s >= subjectCount {
		return Content{}, false
	}
	hash, verifiedAt := f.subjects[s].version()
	c := Content{Summary: Summary{Subject: s, Hash: hash, VerifiedAt: verifiedAt}}
	switch s {
	case SubjectPlan:
		c.Plan = f.plan.Load()
	case SubjectTargets:
		c.Changes = f.entries.changesSince(since)
	case SubjectEvacuations, SubjectHosts:
		f.mu.Lock()
		if s == SubjectEvacuations {
			c.Evacuations = f.evacuations
		} else {
			c.Hosts = f.hosts
		}
		f.mu.Unlock()
	}
	return c, verifiedAt != 0
}

// fetch fetches a subject from a peer and applies it if it is newer. It returns false if the store
// has to be read instead: the call failed, or the peer doesn't hold what it has announced.
func (f *Follower) fetch(ctx context.Context, s Subject, peer string) bool {
	state := f.subjects[s]
	c, err := f.peers.Fetch(ctx, peer, s, f.entries.held())
	if err != nil {
		f.log.Log(eventPeerFetchFailed, logger.F("reads", s.String()), logger.F("peer", peer),
			logger.F("cause", err.Error()))
		return false
	}
	if _, verifiedAt := state.version(); c.Summary.VerifiedAt <= verifiedAt {
		// Another peer, or the store, was faster.
		return true
	}
	hash, ok := f.useContent(s, c)
	if !ok {
		return false
	}
	if state.update(hash, c.Summary.VerifiedAt) {
		f.sink.AnnounceSoon()
	}
	f.log.Log(eventPeerFetched, logger.F("reads", s.String()), logger.F("peer", peer),
		logger.F("age_ms", timer.Now().Sub(c.Summary.VerifiedAt).Milliseconds()))
	return true
}

// useContent applies a peer's content and returns its hash, or false if this host's is newer.
func (f *Follower) useContent(s Subject, c Content) (uint64, bool) {
	switch s {
	case SubjectPlan:
		hash := f.usePlan(c.Plan, c.Summary.VerifiedAt)
		return hash, hash == c.Plan.Version()
	case SubjectTargets:
		return f.useTargets(c)
	case SubjectEvacuations:
		if f.holdsNewer(s, c.Evacuations.Revision) {
			return 0, false
		}
		return f.useEvacuations(c.Evacuations), true
	case SubjectHosts:
		if f.holdsNewer(s, c.Hosts.Revision) {
			return 0, false
		}
		return f.useHosts(c.Summary.VerifiedAt, c.Hosts), true
	}
	return 0, false
}

// holdsNewer reports whether this host's list of zones or hosts is of a newer revision than a
// peer's. The times of verification don't tell: a slow read returns what was written after it
// began. A peer of an earlier version sends no revision.
func (f *Follower) holdsNewer(s Subject, revision uint64) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	held := f.evacuations.Revision
	if s == SubjectHosts {
		held = f.hosts.Revision
	}
	return revision != 0 && revision < held
}

// useTargets applies a peer's changes of the targets. It returns false if the result isn't what
// the peer has; this host's entries may be newer.
func (f *Follower) useTargets(c Content) (uint64, bool) {
	if f.entries.applyRelayed(timer.Now(), c.Changes) {
		f.sink.UseTargets(f.entries.list())
	}
	hash := f.entries.hash()
	return hash, hash == c.Summary.Hash
}
