package carrier

import (
	"context"
	"net/http"
	"time"
)

const (
	// admissionWait is the longest time that a request waits for its customer's rate: the time in
	// which idle shares of other hosts arrive.
	admissionWait = 300 * time.Millisecond
	// admissionStep is the longest time between two looks.
	admissionStep = 50 * time.Millisecond
	// maxWaiting bounds the requests that wait.
	maxWaiting = 256
)

// AccountOf names the limiter's account of a customer.
func AccountOf(customer string) string {
	return "customer/" + customer
}

// admit takes the request out of its customer's rate, and waits a little for shares that other
// hosts may lend; the result counts when it reports false.
func (c *Carrier) admit(ctx context.Context, w Work) (Result, bool) {
	if w.Customer == "" {
		return Result{}, true
	}
	d := c.parts.Limiter.Admit(AccountOf(w.Customer), 1)
	if d.Admitted {
		return Result{}, true
	}
	if c.waiting.Add(1) <= maxWaiting {
		d.Admitted = c.awaitRate(ctx, w)
	}
	c.waiting.Add(-1)
	if d.Admitted {
		return Result{}, true
	}
	return notRun(http.StatusTooManyRequests, ReasonLimit).WithRetry(d.Retry), false
}

func (c *Carrier) awaitRate(ctx context.Context, w Work) bool {
	ctx, cancel := context.WithTimeout(ctx, admissionWait)
	defer cancel()
	ticker := time.NewTicker(admissionStep)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return false
		case <-ticker.C:
			if c.parts.Limiter.Admit(AccountOf(w.Customer), 1).Admitted {
				return true
			}
		}
	}
}
