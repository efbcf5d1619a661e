package isolator

import (
	"slices"
	"sync"

	"github.com/fescuethread/fescuethread/timer"
)

// Verdict says how a request may run.
type Verdict string

const (
	// VerdictFree is a request that nothing is held against.
	VerdictFree Verdict = "free"
	// VerdictAlone is a suspect that has to be the only request on its target.
	VerdictAlone Verdict = "alone"
	// VerdictWait is a suspect while another request with its fingerprint runs alone.
	VerdictWait Verdict = "wait"
	// VerdictRefuse is a convict: it isn't run.
	VerdictRefuse Verdict = "refuse"
)

// Outcome is how a run ended.
type Outcome uint8

const (
	// OutcomeNotRun is a request that no byte of was sent.
	OutcomeNotRun Outcome = iota
	// OutcomeAnswered is a request that the target answered, whatever the status.
	OutcomeAnswered
	// OutcomeLost is a request whose connection ended before the whole answer.
	OutcomeLost
	// OutcomeEnded is a request that ended otherwise: cancelled or too late.
	OutcomeEnded
)

// Permit stands for one request from Admit to End.
type Permit struct {
	// Verdict says how the request may run.
	Verdict Verdict

	fingerprint Fingerprint
	target      string
	running     bool
	ended       bool
}

// Isolator holds a host's suspicions and those of its peers; it is safe for concurrent use.
type Isolator struct {
	mu      sync.Mutex
	own     ledger
	peers   map[string][]Suspicion
	cleared map[Fingerprint]timer.Instant
	alone   map[Fingerprint]bool
	targets map[string]*wreck
}

// New returns an isolator without suspicions.
func New() *Isolator {
	return &Isolator{
		peers:   map[string][]Suspicion{},
		cleared: map[Fingerprint]timer.Instant{},
		alone:   map[Fingerprint]bool{},
		targets: map[string]*wreck{},
	}
}

// Admit decides how the request may run; each permit has to be ended.
func (i *Isolator) Admit(now timer.Instant, f Fingerprint) *Permit {
	i.mu.Lock()
	defer i.mu.Unlock()
	p := &Permit{Verdict: i.verdict(now, f), fingerprint: f}
	if p.Verdict == VerdictAlone {
		i.alone[f] = true
	}
	return p
}

// Start notes that the request goes to the target; it returns false when the verdict has become
// stricter since Admit: then the request must not be sent.
func (i *Isolator) Start(now timer.Instant, p *Permit, target string) bool {
	i.mu.Lock()
	defer i.mu.Unlock()
	if p.ended || !i.stands(now, p) {
		return false
	}
	p.running = true
	p.target = target
	i.target(target).running++
	return true
}

// End ends a permit; only the first call counts.
func (i *Isolator) End(now timer.Instant, p *Permit, o Outcome) {
	i.mu.Lock()
	defer i.mu.Unlock()
	if p.ended {
		return
	}
	p.ended = true
	if p.running {
		i.target(p.target).running--
	}
	if p.Verdict == VerdictAlone {
		delete(i.alone, p.fingerprint)
		i.endAlone(now, p, o)
		return
	}
	if p.running && o == OutcomeLost {
		i.suspect(now, i.target(p.target).lose(now, p.fingerprint))
	}
}

// Refused notes that the target refused a connection: what was lost on it just before is
// suspected.
func (i *Isolator) Refused(now timer.Instant, target string) {
	i.mu.Lock()
	defer i.mu.Unlock()
	if w, ok := i.targets[target]; ok {
		i.suspect(now, w.refuse(now))
	}
}

// Merge replaces what a peer holds: its own suspicions, as Encode made them. Its convictions last
// to their end, also when the peer has been replaced.
func (i *Isolator) Merge(now timer.Instant, host string, encoded [][]byte) error {
	list := make([]Suspicion, 0, len(encoded))
	for _, b := range encoded {
		s, err := Decode(now, b)
		if err != nil {
			return err
		}
		list = append(list, s)
	}
	i.mu.Lock()
	defer i.mu.Unlock()
	list = list[:min(len(list), MaxSuspicions)]
	i.peers[host] = append(list, convictions(now, i.peers[host], list)...)
	return nil
}

// Suspicions returns the host's own suspicions, which its peers are told.
func (i *Isolator) Suspicions(now timer.Instant) []Suspicion {
	i.mu.Lock()
	defer i.mu.Unlock()
	i.own.expire(now)
	return i.own.list()
}

// Tick forgets what has expired.
func (i *Isolator) Tick(now timer.Instant) {
	i.mu.Lock()
	defer i.mu.Unlock()
	i.own.expire(now)
	i.forgetCleared(now)
	i.forgetPeers(now)
	i.forgetTargets(now)
}

// convictions lists the old convictions that the new list lacks.
func convictions(now timer.Instant, old, list []Suspicion) []Suspicion {
	var kept []Suspicion
	for _, s := range old {
		listed := slices.ContainsFunc(list, func(other Suspicion) bool {
			return other.Fingerprint == s.Fingerprint && other.Convicted()
		})
		if s.Convicted() && now.Before(s.Until) && !listed && len(kept) < MaxSuspicions {
			kept = append(kept, s)
		}
	}
	return kept
}

func (i *Isolator) verdict(now timer.Instant, f Fingerprint) Verdict {
	i.own.expire(now)
	crashes := i.crashes(now, f)
	switch {
	case crashes >= ConvictAfter:
		return VerdictRefuse
	case crashes == 0:
		return VerdictFree
	case i.alone[f]:
		return VerdictWait
	}
	return VerdictAlone
}

func (i *Isolator) stands(now timer.Instant, p *Permit) bool {
	switch p.Verdict {
	case VerdictFree:
		return i.crashes(now, p.fingerprint) == 0
	case VerdictAlone:
		return i.crashes(now, p.fingerprint) < ConvictAfter
	}
	return false
}

// crashes is the largest number of crashes that this host or a peer holds against f; a run alone
// that was answered here outweighs a peer's earlier suspicion but not its conviction.
func (i *Isolator) crashes(now timer.Instant, f Fingerprint) int {
	crashes := 0
	if s := i.own.find(f); s != nil && now.Before(s.Until) {
		crashes = s.Crashes
	}
	for _, list := range i.peers {
		for _, s := range list {
			if s.Fingerprint == f && i.counts(now, &s) {
				crashes = max(crashes, s.Crashes)
			}
		}
	}
	return crashes
}

func (i *Isolator) counts(now timer.Instant, s *Suspicion) bool {
	at, cleared := i.cleared[s.Fingerprint]
	if cleared && s.clearedBy(at) {
		return false
	}
	return now.Before(s.Until)
}

func (i *Isolator) suspect(now timer.Instant, fingerprints []Fingerprint) {
	for _, f := range fingerprints {
		s := i.own.open(now, f)
		if !s.Convicted() {
			s.suspect(now)
		}
		delete(i.cleared, f)
	}
}

// endAlone clears a suspect that was answered and convicts one whose connection was lost again:
// nothing else that this host sent can have crashed the target.
func (i *Isolator) endAlone(now timer.Instant, p *Permit, o Outcome) {
	if !p.running {
		return
	}
	switch o {
	case OutcomeAnswered:
		i.own.remove(p.fingerprint)
		i.cleared[p.fingerprint] = now
	case OutcomeLost:
		i.own.open(now, p.fingerprint).convict(now)
	}
}

func (i *Isolator) target(name string) *wreck {
	w, ok := i.targets[name]
	if !ok {
		w = &wreck{}
		i.targets[name] = w
	}
	return w
}

func (i *Isolator) forgetCleared(now timer.Instant) {
	for f, at := range i.cleared {
		if now.Sub(at) >= SuspectTerm {
			delete(i.cleared, f)
		}
	}
}

func (i *Isolator) forgetPeers(now timer.Instant) {
	for host, list := range i.peers {
		if !anyAfter(list, now) {
			delete(i.peers, host)
		}
	}
}

func anyAfter(list []Suspicion, now timer.Instant) bool {
	for _, s := range list {
		if now.Before(s.Until) {
			return true
		}
	}
	return false
}

func (i *Isolator) forgetTargets(now timer.Instant) {
	for name, w := range i.targets {
		if w.running == 0 && len(w.recent(now, RefuseWindow)) == 0 {
			delete(i.targets, name)
		}
	}
}
