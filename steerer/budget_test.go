package steerer

import (
	"sort"
	"testing"
	"time"

	"pgregory.net/rapid"

	"github.com/fescuethread/fescuethread/retrier"
	"github.com/fescuethread/fescuethread/timer"
)

const (
	// The hosts together may make budgetRatio retries per request plus budgetSlack in each
	// budgetWindow.
	budgetWindow = 10 * time.Second
	budgetRatio  = 0.2
	budgetSlack  = 56
	// budgetFraction is the fraction of the configured budget that the hosts use.
	budgetFraction = 0.8
)

// budgetFleet is a set of hosts that share a retry budget.
type budgetFleet struct {
	hosts         []*Steerer
	now           timer.Instant
	firstAttempts []timer.Instant
	retries       []timer.Instant
}

func newBudgetHost() *Steerer {
	burst := float64(budgetFraction * budgetSlack)
	return New(Config{
		RetryPercent: budgetFraction * 100 * budgetRatio, RetryBurst: int(burst),
	}, Deps{})
}

func (f *budgetFleet) updateHostCount() {
	for _, h := range f.hosts {
		h.SetHostCount(len(f.hosts))
	}
}

// exhaust sends failing requests to a host and takes all retries that the host grants.
func (f *budgetFleet) exhaust(h *Steerer, requests int) {
	for range requests {
		h.budget.Deposit("sale")
		f.firstAttempts = append(f.firstAttempts, f.now)
		for {
			d := h.budget.Decide(f.now, retrier.Attempt{Service: "sale", Attempts: 1, Idempotent: true})
			if !d.Retry() {
				break
			}
			f.retries = append(f.retries, f.now)
		}
	}
}

// countInWindow returns the number of instants in the window of the given length up to end; list
// is sorted.
func countInWindow(list []timer.Instant, end timer.Instant, length time.Duration) int {
	lo := sort.Search(len(list), func(i int) bool { return list[i] > end.Add(-length) })
	hi := sort.Search(len(list), func(i int) bool { return list[i] > end })
	return hi - lo
}

// TestRetriesOfAllHostsStayWithinTheBudget checks that the hosts together stay within the
// configured retry budget while hosts leave and while each host restarts at most once in two
// windows.
func TestRetriesOfAllHostsStayWithinTheBudget(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		f := &budgetFleet{now: timer.Instant(time.Hour)}
		for range rapid.IntRange(1, 12).Draw(t, "hosts") {
			f.hosts = append(f.hosts, newBudgetHost())
		}
		f.updateHostCount()
		restarted := map[*Steerer]timer.Instant{}
		for range 300 {
			f.now = f.now.Add(100 * time.Millisecond)
			i := rapid.IntRange(0, len(f.hosts)-1).Draw(t, "host")
			h := f.hosts[i]
			switch rapid.IntRange(0, 19).Draw(t, "event") {
			case 0:
				if last, ok := restarted[h]; ok && f.now.Sub(last) < 2*budgetWindow {
					break
				}
				f.hosts[i] = newBudgetHost()
				restarted[f.hosts[i]] = f.now
			case 1:
				f.hosts = f.hosts[:max(len(f.hosts)-1, 1)]
			}
			f.updateHostCount()
			f.exhaust(f.hosts[min(i, len(f.hosts)-1)], rapid.IntRange(0, 6).Draw(t, "requests"))
		}
		for _, end := range f.retries {
			// Retries may use deposits of earlier requests, so the busiest of these windows counts.
			requests := max(
				countInWindow(f.firstAttempts, end, budgetWindow),
				countInWindow(f.firstAttempts, end.Add(-budgetWindow/2), budgetWindow),
				countInWindow(f.firstAttempts, end.Add(-budgetWindow), budgetWindow),
			)
			limit := budgetRatio*float64(requests) + budgetSlack
			if n := countInWindow(f.retries, end, budgetWindow); float64(n) > limit {
				t.Fatalf("%d retries for %d requests, want at most %v", n, requests, limit)
			}
		}
	})
}
