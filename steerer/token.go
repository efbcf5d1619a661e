package steerer

import (
	"context"
	"sync"
	"time"

	"github.com/fescuethread/fescuethread/sharer"
	"github.com/fescuethread/fescuethread/timer"
)

const (
	// tokenWaitDivisor is the part of its objective that a request may wait for a token, within
	// minTokenWait and maxTokenWait.
	tokenWaitDivisor = 4
	minTokenWait     = 150 * time.Millisecond
	maxTokenWait     = 300 * time.Millisecond
	// tokenAnswerTimeout is how long a host may take to answer before the next one is asked.
	tokenAnswerTimeout = 100 * time.Millisecond
	// minAccrualWait is the shortest wait for a token that accrues on this host.
	minAccrualWait = 5 * time.Millisecond
	// maxTokenWaiters is the maximum number of a customer's requests that wait for a token.
	maxTokenWaiters = 32
)

// waiterCount counts the requests that wait for tokens, by customer.
type waiterCount struct {
	mu    sync.Mutex
	count map[string]int
}

// add adds a request, or returns false if too many of the customer's wait.
func (w *waiterCount) add(customer string) bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.count == nil {
		w.count = map[string]int{}
	}
	if w.count[customer] >= maxTokenWaiters {
		return false
	}
	w.count[customer]++
	return true
}

func (w *waiterCount) remove(customer string) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.count[customer]--; w.count[customer] == 0 {
		delete(w.count, customer)
	}
}

// takeToken takes one token of the request's customer. If this host has none, the request waits
// for one of another host or for the next that accrues here.
func (s *Steerer) takeToken(ctx context.Context, now timer.Instant, q *request) bool {
	customer := q.customer.Name
	switch s.deps.Sharer.Admit(now, customer) {
	case sharer.ReasonAdmitted:
		return true
	case sharer.ReasonExhausted:
		return false
	}
	if !s.tokenWaiters.add(customer) {
		return false
	}
	defer s.tokenWaiters.remove(customer)
	wait := min(max(q.route.Objective/tokenWaitDivisor, minTokenWait), maxTokenWait)
	deadline := min(now.Add(wait), q.deadline)
	if s.awaitToken(ctx, customer, deadline) {
		return true
	}
	s.deps.Sharer.MarkExhausted(timer.Now(), customer)
	return false
}

// awaitToken asks one holder after the other until one has a token or the deadline passes.
func (s *Steerer) awaitToken(
	ctx context.Context, customer string, deadline timer.Instant,
) bool {
	for attempt := 0; timer.Now() < deadline && ctx.Err() == nil; attempt++ {
		answered := s.deps.Sharer.Answered(customer)
		asked := attempt < s.deps.Sharer.Holders(customer)
		if asked && !s.deps.RequestToken(customer, attempt) {
			continue
		}
		s.awaitAnswer(ctx, customer, deadline, asked, answered)
		if s.deps.Sharer.AdmitWaiting(timer.Now(), customer) == sharer.ReasonAdmitted {
			return true
		}
	}
	return false
}

// awaitAnswer waits until another host answers, a token accrues here or the deadline passes.
func (s *Steerer) awaitAnswer(
	ctx context.Context, customer string, deadline timer.Instant, asked bool,
	answered <-chan struct{},
) {
	now := timer.Now()
	wait := deadline.Sub(now)
	if asked {
		wait = min(wait, tokenAnswerTimeout)
	}
	if accrual := s.deps.Sharer.RetryAfter(now, customer); accrual > 0 {
		wait = min(wait, max(accrual, minAccrualWait))
	}
	t := time.NewTimer(wait)
	defer t.Stop()
	select {
	case <-ctx.Done():
	case <-answered:
	case <-t.C:
	}
}
