package steerer

import (
	"context"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"github.com/fescuethread/fescuethread/isolator"
	"github.com/fescuethread/fescuethread/logger"
	"github.com/fescuethread/fescuethread/planner"
	"github.com/fescuethread/fescuethread/platform"
	"github.com/fescuethread/fescuethread/retrier"
	"github.com/fescuethread/fescuethread/selector"
	"github.com/fescuethread/fescuethread/server"
	"github.com/fescuethread/fescuethread/sharer"
	"github.com/fescuethread/fescuethread/timer"
)

const (
	// timeoutSlack is how long after the deadline a response is still accepted, so that one sent by
	// the target at the deadline arrives.
	timeoutSlack = 80 * time.Millisecond
	// defaultTimeout applies if neither the caller nor the route sets a timeout.
	defaultTimeout = 30 * time.Second
	// maxAttempts is the maximum number of targets that a request is sent to, including those that
	// did not run it.
	maxAttempts = 4
	// initialBudgetPercent is the percentage of the retry burst that a new process starts with;
	// a full burst would let processes that restart repeatedly multiply the retry budget.
	initialBudgetPercent = 25
	// retryMargin is the minimum time that must remain until the deadline for a retry.
	retryMargin = 20 * time.Millisecond
	// maxCallerTimeout is the longest timeout that a caller can set; longer ones count as this, and
	// say nothing about the timeouts of other callers.
	maxCallerTimeout = time.Hour
	// callerRetryPercent is a percentage of the longest timeout that callers have set on a route; a
	// shorter timeout indicates a retry by the caller, which has less time left.
	callerRetryPercent = 99
	// invalidLoadInterval is the minimum time between two log lines about invalid load reports.
	invalidLoadInterval = time.Second
	// shortRetryAfter is the shortest Retry-After that is sent; it is used if another host may be
	// able to serve the request immediately.
	shortRetryAfter = 50 * time.Millisecond
)

// Plans provides the current plan, which is one version of the configuration.
type Plans interface {
	// Plan returns the current plan, or nil if none has been loaded.
	Plan() *planner.Plan
	// VerifiedAt returns the last time at which the plan was certainly the latest; 0 means never.
	VerifiedAt() timer.Instant
}

// Deps holds the dependencies of a Steerer.
type Deps struct {
	// Plans provides the current plan.
	Plans Plans
	// Selector chooses targets.
	Selector *selector.Selector
	// Sharer enforces the customers' rate limits.
	Sharer *sharer.Sharer
	// RequestToken asks another host for a customer's rate limit token, a different one for each
	// attempt. It returns false if that host isn't live.
	RequestToken func(customer string, attempt int) bool
	// Announce makes this host send its peers a heartbeat soon, with news of targets.
	Announce func()
	// Isolator quarantines requests that are suspected of crashing targets.
	Isolator *isolator.Isolator
	// Sender sends requests to targets.
	Sender *Sender
	// Log receives the events.
	Log *logger.Logger
	// Stats holds the metrics.
	Stats *Stats
}

// Config configures a Steerer.
type Config struct {
	// MaxStaleness is the maximum staleness of the API keys and the host list for serving requests
	// that need a key; 0 means no limit.
	MaxStaleness time.Duration
	// LastRegistered returns the last time at which this host was known to be in the host list;
	// 0 means never.
	LastRegistered func() timer.Instant
	// RetryPercent is the number of retries permitted per 100 requests.
	RetryPercent int
	// RetryBurst is the maximum number of retries that all hosts together can accumulate for a
	// service.
	RetryBurst int
}

// Steerer is the HTTP handler for callers' requests; it is safe for concurrent use.
type Steerer struct {
	cfg          Config
	deps         Deps
	budget       *retrier.Retrier
	inFlight     atomic.Int64
	tokenWaiters waiterCount
	stopping     atomic.Bool
	// endsAt is the instant at which this host ends; 0 if it isn't known.
	endsAt atomic.Int64
	// invalidLoadAt is when an invalid load report was last logged; 0 means never.
	invalidLoadAt atomic.Int64
	// aborted ends when the requests in flight must end.
	aborted context.Context
	abort   context.CancelFunc

	mu              sync.Mutex
	roundRobins     map[string]*roundRobin
	longestTimeouts map[string]time.Duration
}

// New returns a steerer.
func New(cfg Config, deps Deps) *Steerer {
	s := &Steerer{
		cfg:             cfg,
		deps:            deps,
		roundRobins:     map[string]*roundRobin{},
		longestTimeouts: map[string]time.Duration{},
		budget: retrier.New(retrier.Config{
			RetryPercent: cfg.RetryPercent, Burst: cfg.RetryBurst,
			InitialPercent: initialBudgetPercent, MaxAttempts: maxAttempts,
		}),
	}
	s.aborted, s.abort = context.WithCancel(context.Background())
	return s
}

// SetHostCount sets the number of hosts that share the retry burst.
func (s *Steerer) SetHostCount(n int) {
	s.budget.SetBurst(max(s.cfg.RetryBurst/max(n, 1), 1))
}

// InFlight returns the number of requests in flight.
func (s *Steerer) InFlight() int {
	return int(s.inFlight.Load())
}

// ServeHTTP handles one request of a caller.
func (s *Steerer) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	s.inFlight.Add(1)
	defer s.inFlight.Add(-1)
	q := &request{started: server.ArrivalOf(r.Context()), id: r.Header.Get(platform.HeaderRequestID)}
	result := s.serve(r, q)
	s.record(q, result)
	s.write(w, q, result)
}

// request is the state of one request of a caller.
type request struct {
	started     timer.Instant
	id          string
	plan        *planner.Plan
	route       *planner.Route
	customer    *planner.Customer
	keyDigest   planner.Digest
	service     string
	affinityKey string
	uri         string
	header      http.Header
	host        string
	method      string
	body        []byte
	// deadline is the caller's deadline or the end of the route's timeout, whichever is earlier.
	deadline timer.Instant
	// callerRetry means that the caller seems to repeat a rejected or failed request.
	callerRetry bool
	permit      *isolator.Permit
	attempts    int
	// possibleRuns is the number of targets that may have run the request.
	possibleRuns int
	triedTargets []string
	lastTarget   string
}

func (q *request) customerName() string {
	if q.customer == nil {
		return ""
	}
	return q.customer.Name
}

func (s *Steerer) serve(r *http.Request, q *request) Result {
	if rejection, ok := s.prepare(r, q); !ok {
		return rejection
	}
	if rejection, ok := s.admit(r.Context(), q); !ok {
		return rejection
	}
	ctx, cancel := context.WithTimeout(r.Context(), q.deadline.Sub(timer.Now())+timeoutSlack)
	defer cancel()
	stop := context.AfterFunc(s.aborted, cancel)
	defer stop()
	s.deps.Selector.RecordRequest(q.service)
	s.budget.Deposit(q.service)
	return s.run(ctx, r.Context(), q)
}

// admit authenticates the request, applies the customer's rate limit and checks the quarantine. It
// returns a rejection and false if the request is not admitted.
func (s *Steerer) admit(ctx context.Context, q *request) (Result, bool) {
	if !q.plan.RequiresKey(q.route) {
		return s.checkQuarantine(q)
	}
	key := q.header.Get(platform.HeaderAPIKey)
	if key == "" || len(q.header.Values(platform.HeaderAPIKey)) > 1 {
		return rejection(http.StatusUnauthorized, ReasonUnknownKey, 0), false
	}
	now := timer.Now()
	if !s.keysFresh(now) {
		return rejection(http.StatusServiceUnavailable, ReasonStaleKeys, shortRetryAfter), false
	}
	q.keyDigest = planner.DigestOf(key)
	q.customer = q.plan.CustomerByKey(q.keyDigest)
	if q.customer == nil {
		return rejection(http.StatusUnauthorized, ReasonUnknownKey, 0), false
	}
	if !s.takeToken(ctx, now, q) {
		return rejection(http.StatusTooManyRequests, ReasonRateLimit,
			max(s.deps.Sharer.RetryAfter(timer.Now(), q.customer.Name), shortRetryAfter)), false
	}
	return s.checkQuarantine(q)
}

// keysFresh reports whether the API keys and the host list, by which rate limits are shared, are
// fresh enough to serve requests that need a key.
func (s *Steerer) keysFresh(now timer.Instant) bool {
	if s.cfg.MaxStaleness <= 0 {
		return true
	}
	plan := s.deps.Plans.VerifiedAt()
	hosts := s.cfg.LastRegistered()
	return plan != 0 && now.Sub(plan) < s.cfg.MaxStaleness &&
		hosts != 0 && now.Sub(hosts) < s.cfg.MaxStaleness
}

// keyStillValid reports whether the key still belongs to the customer and the keys are fresh; the
// key may have been revoked since the request was admitted.
func (s *Steerer) keyStillValid(q *request) bool {
	if q.customer == nil {
		return true
	}
	c := s.deps.Plans.Plan().CustomerByKey(q.keyDigest)
	return c != nil && c.Name == q.customer.Name && s.keysFresh(timer.Now())
}

// checkQuarantine acquires an isolator permit. It rejects a quarantined request, and a suspect
// while another request with the same fingerprint runs alone on a target.
func (s *Steerer) checkQuarantine(q *request) (Result, bool) {
	f := isolator.NewFingerprint(q.customerName(), q.route.Name, q.method, q.uri, q.body)
	q.permit = s.deps.Isolator.Admit(timer.Now(), f)
	switch q.permit.Verdict {
	case isolator.VerdictRefuse:
		s.deps.Isolator.End(timer.Now(), q.permit, isolator.OutcomeNotRun)
		return rejection(http.StatusServiceUnavailable, ReasonCrashesTargets, 0), false
	case isolator.VerdictWait:
		s.deps.Isolator.End(timer.Now(), q.permit, isolator.OutcomeNotRun)
		return rejection(http.StatusServiceUnavailable, ReasonCrashesTargets, shortRetryAfter), false
	}
	return Result{}, true
}
