package carrier

import (
	"context"
	"net/http"
	"time"
)

const (
	// admissionStep is the time between two looks at a customer's rate, and admissionLooks the
	// number of looks; together they last for as long as idle shares of other hosts take to arrive.
	admissionStep  = 50 * time.Millisecond
	admissionLooks = 10
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
	for range admissionLooks {
		if c.parts.Pauser.Pause(ctx, admissionStep) != nil {
			return false
		}
		if c.parts.Limiter.Admit(AccountOf(w.Customer), 1).Admitted {
			return true
		}
	}
	return false
}
