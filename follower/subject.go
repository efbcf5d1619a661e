package follower

import (
	"context"
	"math"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/fescuethread/fescuethread/timer"
)

// Subject identifies a part of the store that is read on its own.
type Subject uint8

const (
	// SubjectPlan is the operators' configuration.
	SubjectPlan Subject = iota
	// SubjectTargets are the target entries.
	SubjectTargets
	// SubjectEvacuations are the evacuated availability zones.
	SubjectEvacuations
	// SubjectHosts are the registered hosts.
	SubjectHosts

	subjectCount
)

// String returns the subject's name in logs, metrics and calls between hosts.
func (s Subject) String() string {
	switch s {
	case SubjectPlan:
		return "plan"
	case SubjectTargets:
		return "targets"
	case SubjectEvacuations:
		return "evacuations"
	case SubjectHosts:
		return "hosts"
	}
	return "unknown"
}

// Subjects returns all subjects.
func Subjects() []Subject {
	all := make([]Subject, 0, subjectCount)
	for s := range subjectCount {
		all = append(all, s)
	}
	return all
}

// ParseSubject returns the subject with a name, or false if there is none.
func ParseSubject(name string) (Subject, bool) {
	for s := range subjectCount {
		if s.String() == name {
			return s, true
		}
	}
	return 0, false
}

const (
	// readFraction and watchFraction are the read interval and the watch timeout as fractions of the
	// maximum staleness: several reads must fit into it, and a watch that returns no change only
	// verifies the targets as of its start.
	readFraction  = 0.28
	watchFraction = 0.48
	// minReadInterval and maxReadInterval bound the read interval.
	minReadInterval = 200 * time.Millisecond
	maxReadInterval = time.Second
	// rankOneFactor is the read interval at rank 1 as a multiple of that at rank 0: a verification
	// that a peer sends is older by two heartbeat intervals and the network delay.
	rankOneFactor = 2
	// rankStepFraction is how much the read interval grows with each further rank, as a fraction of
	// that at rank 0.
	rankStepFraction = 0.2
	// maxRank is the rank from which the read interval grows no more: by then all the hosts of lower
	// rank, which should have read before, have failed to read.
	maxRank = 4
	// hopDelay is how much the read interval grows with each host that passes a verification on.
	hopDelay = 400 * time.Millisecond
	// maxReadFraction is the longest read interval as a fraction of the maximum staleness.
	maxReadFraction = 0.85
)

// Summary summarizes a subject for peers.
type Summary struct {
	// Subject is the subject.
	Subject Subject
	// Hash is the hash of the content.
	Hash uint64
	// VerifiedAt is the start of the newest read that returned the content, or an earlier instant.
	VerifiedAt timer.Instant
}

// schedule says how often the store is read.
type schedule struct {
	// readInterval is the age of the last verification at which the host of rank 0 reads a subject.
	readInterval time.Duration
	// watchTimeout is the longest wait of a watch.
	watchTimeout time.Duration
	// maxInterval is the longest age of the last verification at which any host reads a subject.
	maxInterval time.Duration
}

// interval returns the age of the last verification at which a host reads a subject.
func (s schedule) interval(rank, hops int) time.Duration {
	if rank == 0 {
		return s.readInterval
	}
	steps := rankOneFactor + rankStepFraction*float64(rank-1)
	interval := time.Duration(steps*float64(s.readInterval)) + time.Duration(hops)*hopDelay
	return min(interval, max(s.maxInterval, s.readInterval))
}

// newSchedule returns a schedule that keeps the staleness of the content below a maximum.
func newSchedule(maxStaleness time.Duration) schedule {
	read := time.Duration(readFraction * float64(maxStaleness))
	return schedule{
		readInterval: min(max(read, minReadInterval), maxReadInterval),
		watchTimeout: time.Duration(watchFraction * float64(maxStaleness)),
		maxInterval:  time.Duration(maxReadFraction * float64(maxStaleness)),
	}
}

// subjectState holds the version of a subject that this host has, and decides when it is read
// again.
type subjectState struct {
	schedule schedule

	mu   sync.Mutex
	rank int
	hops int
	hash uint64
	// verifiedAt is the instant as of which the content was the newest; 0 if it was never read.
	verifiedAt timer.Instant
	// newerPeer holds the name of a peer that has newer content.
	newerPeer chan string
}

func newSubjectState(s schedule) *subjectState {
	return &subjectState{
		schedule: s, rank: maxRank, newerPeer: make(chan string, 1),
	}
}

// version returns the hash of the content and the instant as of which it was verified.
func (s *subjectState) version() (uint64, timer.Instant) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.hash, s.verifiedAt
}

func (s *subjectState) setRank(rank, hops int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.rank, s.hops = min(rank, maxRank), hops
}

// isFirst reports whether this host reads before all others.
func (s *subjectState) isFirst() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.rank == 0
}

// update records the result of a read that began at readAt and reports whether the content has
// changed.
func (s *subjectState) update(hash uint64, readAt timer.Instant) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	changed := s.verifiedAt != 0 && s.hash != hash
	s.hash = hash
	s.verifiedAt = max(s.verifiedAt, readAt)
	return changed
}

// handleSummary implements Follower.HandleSummary for one subject.
func (s *subjectState) handleSummary(peer string, summary Summary) {
	s.mu.Lock()
	defer s.mu.Unlock()
	switch {
	case summary.VerifiedAt <= s.verifiedAt:
	case s.verifiedAt != 0 && summary.Hash == s.hash:
		s.verifiedAt = summary.VerifiedAt
	default:
		select {
		case s.newerPeer <- peer:
		default:
		}
	}
}

// AgeMillis returns the time since an instant in whole milliseconds, rounded up, so that a
// verification never looks newer than it is to the peer that gets its age.
func AgeMillis(now, at timer.Instant) uint32 {
	return uint32(min(now.Sub(at).Milliseconds()+1, math.MaxUint32))
}

// untilDue returns the time until the next read; it is not positive if the read is due.
func (s *subjectState) untilDue(now timer.Instant) time.Duration {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.verifiedAt == 0 {
		return 0
	}
	return s.verifiedAt.Add(s.schedule.interval(s.rank, s.hops)).Sub(now)
}

// waitUntilDue waits until the subject is to be read or a peer has newer content; it returns the
// name of that peer, or an empty one. ok is false if ctx has ended.
func (s *subjectState) waitUntilDue(ctx context.Context) (peer string, ok bool) {
	for {
		select {
		case peer := <-s.newerPeer:
			return peer, ctx.Err() == nil
		default:
		}
		wait := s.untilDue(timer.Now())
		if wait <= 0 {
			return "", ctx.Err() == nil
		}
		t := time.NewTimer(wait)
		select {
		case <-ctx.Done():
			t.Stop()
			return "", false
		case peer := <-s.newerPeer:
			t.Stop()
			return peer, true
		case <-t.C:
		}
	}
}

// hashOf returns a hash of a list of strings.
func hashOf(parts ...string) uint64 {
	d := xxhash.New()
	for _, p := range parts {
		_, _ = d.WriteString(p)
		_, _ = d.WriteString("\x00")
	}
	return d.Sum64()
}
