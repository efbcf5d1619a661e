package retrier

import (
	"sync"
	"time"

	"github.com/fescuethread/fescuethread/timer"
)

const (
	// DefaultRetryPercent is the number of retries permitted per 100 first attempts.
	DefaultRetryPercent = 20
	// DefaultBurst is the maximum number of retries that a service can accumulate.
	DefaultBurst = 50
	// DefaultInitialPercent is the percentage of the burst that a service starts with.
	DefaultInitialPercent = 100
	// DefaultMaxAttempts is the maximum number of attempts of a request at this hop, including the
	// first.
	DefaultMaxAttempts = 3

	// retryCost is what a retry subtracts from the balance; a first attempt adds RetryPercent.
	retryCost = 100
)

// Config configures a Retrier; zero values select the defaults.
type Config struct {
	// RetryPercent is the number of retries permitted per 100 first attempts.
	RetryPercent int
	// Burst is the maximum number of retries that a service can accumulate.
	Burst int
	// InitialPercent is the percentage of the burst that a service starts with.
	InitialPercent int
	// MaxAttempts is the maximum number of attempts of a request at this hop, including the first.
	MaxAttempts int
}

// Attempt describes a failed attempt.
type Attempt struct {
	// Service is the service whose retry budget is charged.
	Service string
	// Attempts is the number of attempts made so far at this hop.
	Attempts int
	// Idempotent means that the request may run more than once.
	Idempotent bool
	// NotRun means that the target certainly did not run the request.
	NotRun bool
	// Deadline is the time by which the response is needed; zero means none.
	Deadline timer.Instant
	// ExpectedDuration is the expected duration of a retry.
	ExpectedDuration time.Duration
}

// Reason says why an attempt is retried or not.
type Reason string

const (
	// ReasonRetry means that the attempt is retried.
	ReasonRetry Reason = "retry"
	// ReasonUnsafe means that the request may have run and is not idempotent.
	ReasonUnsafe Reason = "unsafe"
	// ReasonMaxAttempts means that the maximum number of attempts was reached.
	ReasonMaxAttempts Reason = "tries"
	// ReasonDeadline means that a retry would not finish before the deadline.
	ReasonDeadline Reason = "deadline"
	// ReasonBudget means that the service's retry budget is exhausted.
	ReasonBudget Reason = "budget"
)

// Decision is the result of Decide.
type Decision struct {
	// Reason is the reason for the decision.
	Reason Reason
}

// Retry reports whether to retry the attempt.
func (d Decision) Retry() bool {
	return d.Reason == ReasonRetry
}

// Retrier holds the retry budgets of one hop; it is safe for concurrent use.
type Retrier struct {
	cfg Config

	mu      sync.Mutex
	budgets map[string]*budget
}

// budget is a service's retry budget.
type budget struct {
	// balance is in hundredths of a retry.
	balance int
}

// New returns a retrier in which each service starts with InitialPercent of the burst.
func New(cfg Config) *Retrier {
	if cfg.RetryPercent <= 0 {
		cfg.RetryPercent = DefaultRetryPercent
	}
	if cfg.Burst <= 0 {
		cfg.Burst = DefaultBurst
	}
	if cfg.InitialPercent <= 0 {
		cfg.InitialPercent = DefaultInitialPercent
	}
	if cfg.MaxAttempts <= 0 {
		cfg.MaxAttempts = DefaultMaxAttempts
	}
	return &Retrier{cfg: cfg, budgets: map[string]*budget{}}
}

// SetBurst sets the maximum number of retries that a service can accumulate; any excess is
// dropped.
func (r *Retrier) SetBurst(burst int) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.cfg.Burst = burst
	for _, b := range r.budgets {
		b.balance = min(b.balance, burst*retryCost)
	}
}

// Deposit adds RetryPercent to the service's budget for the first attempt of a request.
func (r *Retrier) Deposit(service string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	b := r.budget(service)
	b.balance = min(b.balance+r.cfg.RetryPercent, r.cfg.Burst*retryCost)
}

// Decide decides whether to retry a failed attempt, and charges the retry to the budget if so.
func (r *Retrier) Decide(now timer.Instant, a Attempt) Decision {
	if !a.Idempotent && !a.NotRun {
		return Decision{Reason: ReasonUnsafe}
	}
	if a.Attempts >= r.cfg.MaxAttempts {
		return Decision{Reason: ReasonMaxAttempts}
	}
	if a.Deadline != 0 && a.Deadline.Before(now.Add(a.ExpectedDuration)) {
		return Decision{Reason: ReasonDeadline}
	}
	if !r.withdraw(a.Service) {
		return Decision{Reason: ReasonBudget}
	}
	return Decision{Reason: ReasonRetry}
}

func (r *Retrier) withdraw(service string) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	b := r.budget(service)
	if b.balance < retryCost {
		return false
	}
	b.balance -= retryCost
	return true
}

func (r *Retrier) budget(service string) *budget {
	b, ok := r.budgets[service]
	if !ok {
		b = &budget{balance: r.cfg.Burst * retryCost * r.cfg.InitialPercent / 100}
		r.budgets[service] = b
	}
	return b
}
