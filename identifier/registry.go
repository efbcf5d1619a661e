package identifier

import (
	"crypto/rand"
	"sync"
	"time"

	"github.com/pkg/errors"

	"github.com/fescuethread/fescuethread/timer"
)

const (
	defaultLifetime      = 2 * time.Minute
	defaultRunTimeout    = time.Minute
	defaultIdentities    = 1 << 16
	defaultAnswerBytes   = 4 << 20
	defaultHandoverBytes = 3 << 20
	// maxLedgers bounds the owners that one process answers for.
	maxLedgers     = 16
	maxReasonBytes = 64
)

// Config sets the bounds of a registry.
type Config struct {
	// Owner is this process.
	Owner Owner
	// Lifetime is the time from the issue of an identity to its expiry.
	Lifetime time.Duration
	// RunTimeout is the time after which a run that did not finish has an unknown outcome.
	RunTimeout time.Duration
	// MaxIdentities bounds the issued identities that have not expired; a customer may hold as
	// many of them as are left free.
	MaxIdentities int
	// MaxAnswerBytes bounds the kept answers together.
	MaxAnswerBytes int
	// MaxHandoverBytes bounds the encoded handover to a successor.
	MaxHandoverBytes int
}

// DefaultConfig returns the bounds of an ordinary host.
func DefaultConfig(owner Owner) Config {
	return Config{
		Owner:            owner,
		Lifetime:         defaultLifetime,
		RunTimeout:       defaultRunTimeout,
		MaxIdentities:    defaultIdentities,
		MaxAnswerBytes:   defaultAnswerBytes,
		MaxHandoverBytes: defaultHandoverBytes,
	}
}

// Registry issues identities and alone lets them run; it is safe for concurrent use.
type Registry struct {
	mu    sync.Mutex
	state *state
}

// New returns a registry with a signing key of its own.
func New(cfg Config) (*Registry, error) {
	key := make([]byte, keyBytes)
	if _, err := rand.Read(key); err != nil {
		return nil, &Error{Op: "new", Kind: KindRandom, Err: errors.WithStack(err)}
	}
	return &Registry{state: newState(cfg, key)}, nil
}

// Issue returns the token of a new identity.
func (r *Registry) Issue(now timer.Instant, work Work) (string, error) {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.state.issue(now, work)
}

// Begin claims the run of a token's operation for a request with the digest of path and body.
func (r *Registry) Begin(
	now timer.Instant, token string, work Work, digest [32]byte,
) (Claim, error) {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.state.begin(now, token, work, digest)
}

// Refuse closes the token to runs, so that a refusal that says 'not run' is true.
func (r *Registry) Refuse(
	now timer.Instant, token string, work Work, reason string,
) (Claim, error) {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.state.refuse(now, token, work, reason)
}

// Resume returns what the operation of a claim has come to; it never starts a run.
func (r *Registry) Resume(c Claim) Claim {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.state.resume(c)
}

// Finish ends the run of a claim and returns what to tell its caller; only the first call counts.
func (r *Registry) Finish(c Claim, result Result) Claim {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.state.finish(c, result)
}

// Sweep forgets expired identities and gives up runs past their timeout.
func (r *Registry) Sweep(now timer.Instant) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.state.sweep(now)
}

// Freeze stops issues and new runs for good; runs in flight go on.
func (r *Registry) Freeze() {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.state.frozen = true
}

// Export freezes the registry and encodes it for one process, the only one that it may go to.
func (r *Registry) Export(now timer.Instant, successor Owner) ([]byte, error) {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.state.exportTo(now, successor)
}

// Adopt takes over the identities of a registry that was exported to this process.
func (r *Registry) Adopt(now timer.Instant, handover []byte) error {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.state.adopt(now, handover)
}

// Stats returns the registry's present sizes.
func (r *Registry) Stats() Stats {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.state.stats()
}

// Stats holds the sizes of a registry.
type Stats struct {
	// Issued is the number of identities that have not expired.
	Issued int
	// Records is the number of identities that were used.
	Records int
	// Running is the number of runs in flight.
	Running int
	// AnswerBytes is the size of the kept answers.
	AnswerBytes int
	// Successor is the process that the registry was exported to.
	Successor Owner
}

func (s *state) stats() Stats {
	st := Stats{
		Issued:      s.calendar.outstand,
		Running:     len(s.running),
		AnswerBytes: s.answers.bytes,
	}
	for _, l := range s.ledgers {
		st.Records += len(l.records)
	}
	if s.export != nil {
		st.Successor = s.export.successor
	}
	return st
}
