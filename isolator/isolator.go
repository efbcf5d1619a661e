package isolator

import (
	"slices"
	"sync"

	"github.com/fescuethread/fescuethread/timer"
)

// Verdict is the decision on whether and how a request may run.
type Verdict string

const (
	// VerdictAllow lets the request run without restriction.
	VerdictAllow Verdict = "free"
	// VerdictAlone lets a suspect run as the only request on its target.
	VerdictAlone Verdict = "alone"
	// VerdictWait defers a suspect while another request with its fingerprint runs alone.
	VerdictWait Verdict = "wait"
	// VerdictRefuse rejects a quarantined request.
	VerdictRefuse Verdict = "refuse"
)

// Outcome is how a request to a target ended.
type Outcome uint8

const (
	// OutcomeNotRun means that the target has not run the request.
	OutcomeNotRun Outcome = iota
	// OutcomeAnswered means that the target ran the request and answered, whatever the status.
	OutcomeAnswered
	// OutcomeLost means that the connection ended before the complete response arrived.
	OutcomeLost
	// OutcomeEnded means that the request was cancelled or timed out.
	OutcomeEnded
)

// Permit tracks one request from Admit to End.
type Permit struct {
	// Verdict is the decision that Admit made.
	Verdict Verdict

	fingerprint Fingerprint
	target      string
	startedAt   timer.Instant
	started     bool
	ended       bool
}

// Isolator holds the suspects of this host and of its peers; it is safe for concurrent use.
type Isolator struct {
	mu           sync.Mutex
	suspects     suspectList
	peerSuspects map[string][]Suspect
	// clearedAt holds when a request last ran alone and was answered.
	clearedAt     map[Fingerprint]timer.Instant
	admittedAlone map[Fingerprint]bool
	targets       map[string]*targetState
}

// New returns an isolator without suspects.
func New() *Isolator {
	return &Isolator{
		peerSuspects:  map[string][]Suspect{},
		clearedAt:     map[Fingerprint]timer.Instant{},
		admittedAlone: map[Fingerprint]bool{},
		targets:       map[string]*targetState{},
	}
}

// Admit decides whether and how a request may run. The caller must call End with the permit.
func (i *Isolator) Admit(now timer.Instant, f Fingerprint) *Permit {
	i.mu.Lock()
	defer i.mu.Unlock()
	p := &Permit{Verdict: i.verdict(now, f), fingerprint: f}
	if p.Verdict == VerdictAlone {
		i.admittedAlone[f] = true
	}
	return p
}

// Start records that the request is sent to the target. It returns false if the request must not
// be sent, because the permit has ended or Admit would now decide more strictly.
func (i *Isolator) Start(now timer.Instant, p *Permit, target string) bool {
	i.mu.Lock()
	defer i.mu.Unlock()
	if p.ended || !i.stillValid(now, p) {
		return false
	}
	p.started = true
	p.target = target
	p.startedAt = now
	i.target(target).inFlight++
	return true
}

// End ends a permit and records the outcome; further calls have no effect.
func (i *Isolator) End(now timer.Instant, p *Permit, o Outcome) {
	i.mu.Lock()
	defer i.mu.Unlock()
	if p.ended {
		return
	}
	p.ended = true
	if p.started {
		t := i.target(p.target)
		t.inFlight--
		if o == OutcomeAnswered {
			t.recordAnswer(p.startedAt)
		}
	}
	if p.Verdict == VerdictAlone {
		delete(i.admittedAlone, p.fingerprint)
		i.endAlone(now, p, o)
		return
	}
	if p.started && o == OutcomeLost {
		i.addSuspects(now, i.target(p.target).recordLoss(now, p.fingerprint))
	}
}

// ConnectionRefused records that the target refused a connection: the requests lost on it within
// RefuseWindow become suspects.
func (i *Isolator) ConnectionRefused(now timer.Instant, target string) {
	i.mu.Lock()
	defer i.mu.Unlock()
	if t, ok := i.targets[target]; ok {
		i.addSuspects(now, t.recordRefusal(now))
	}
}

// Merge replaces the suspects received from a peer by the given list, encoded by Suspect.Encode.
// Quarantines that the new list lacks are kept until they expire, because a peer that restarts
// starts with an empty list. An entry that can't be decoded is an Error of KindEncoding.
func (i *Isolator) Merge(now timer.Instant, host string, encoded [][]byte) error {
	list := make([]Suspect, 0, len(encoded))
	for _, b := range encoded {
		s, err := Decode(now, b)
		if err != nil {
			return err
		}
		list = append(list, s)
	}
	i.mu.Lock()
	defer i.mu.Unlock()
	list = list[:min(len(list), MaxSuspects)]
	i.peerSuspects[host] = append(list, missingQuarantines(now, i.peerSuspects[host], list)...)
	return nil
}

// Suspects returns the suspects of this host, without those received from peers.
func (i *Isolator) Suspects(now timer.Instant) []Suspect {
	i.mu.Lock()
	defer i.mu.Unlock()
	i.suspects.expire(now)
	return i.suspects.list()
}

// KnownSuspects returns the suspects of this host and the quarantines of its peers, to be passed
// on to hosts that don't exchange heartbeats with those peers.
func (i *Isolator) KnownSuspects(now timer.Instant) []Suspect {
	known := i.Suspects(now)
	i.mu.Lock()
	defer i.mu.Unlock()
	for _, list := range i.peerSuspects {
		for _, s := range list {
			found := slices.ContainsFunc(known, func(other Suspect) bool {
				return other.Fingerprint == s.Fingerprint
			})
			if s.Quarantined() && now.Before(s.Until) && !found && len(known) < MaxSuspects {
				known = append(known, s)
			}
		}
	}
	return known
}

// missingQuarantines returns the unexpired quarantines of old that list lacks.
func missingQuarantines(now timer.Instant, old, list []Suspect) []Suspect {
	var kept []Suspect
	for _, s := range old {
		found := slices.ContainsFunc(list, func(other Suspect) bool {
			return other.Fingerprint == s.Fingerprint && other.Quarantined()
		})
		if s.Quarantined() && now.Before(s.Until) && !found && len(kept) < MaxSuspects {
			kept = append(kept, s)
		}
	}
	return kept
}

func (i *Isolator) verdict(now timer.Instant, f Fingerprint) Verdict {
	i.suspects.expire(now)
	crashes := i.crashCount(now, f)
	switch {
	case crashes >= QuarantineThreshold:
		return VerdictRefuse
	case crashes == 0:
		return VerdictAllow
	case i.admittedAlone[f]:
		return VerdictWait
	}
	return VerdictAlone
}

func (i *Isolator) stillValid(now timer.Instant, p *Permit) bool {
	switch p.Verdict {
	case VerdictAllow:
		return i.crashCount(now, p.fingerprint) == 0
	case VerdictAlone:
		return i.crashCount(now, p.fingerprint) < QuarantineThreshold
	}
	return false
}

// crashCount returns the largest number of crashes that this host or a peer attributes to f. If f
// ran alone here and was answered, a peer's earlier suspicion doesn't count, but its quarantine
// does.
func (i *Isolator) crashCount(now timer.Instant, f Fingerprint) int {
	crashes := 0
	if s := i.suspects.find(f); s != nil && now.Before(s.Until) {
		crashes = s.Crashes
	}
	for _, list := range i.peerSuspects {
		for _, s := range list {
			if s.Fingerprint == f && i.applies(now, &s) {
				crashes = max(crashes, s.Crashes)
			}
		}
	}
	return crashes
}

func (i *Isolator) applies(now timer.Instant, s *Suspect) bool {
	clearedAt, ok := i.clearedAt[s.Fingerprint]
	if ok && s.clearedBy(clearedAt) {
		return false
	}
	return now.Before(s.Until)
}

func (i *Isolator) addSuspects(now timer.Instant, fingerprints []Fingerprint) {
	for _, f := range fingerprints {
		s := i.suspects.getOrAdd(now, f)
		if !s.Quarantined() {
			s.markSuspect(now)
		}
		delete(i.clearedAt, f)
	}
}

// endAlone clears a suspect that was answered and quarantines one whose connection was lost: it
// ran alone, so no other request of this host can have crashed the target.
func (i *Isolator) endAlone(now timer.Instant, p *Permit, o Outcome) {
	if !p.started {
		return
	}
	switch o {
	case OutcomeAnswered:
		i.suspects.remove(p.fingerprint)
		i.clearedAt[p.fingerprint] = now
	case OutcomeLost:
		i.suspects.getOrAdd(now, p.fingerprint).quarantine(now)
	}
}

func (i *Isolator) target(name string) *targetState {
	t, ok := i.targets[name]
	if !ok {
		t = &targetState{}
		i.targets[name] = t
	}
	return t
}
