package steerer

import (
	"fmt"
	"net/http"
	"sync/atomic"
	"testing"
	"time"

	"github.com/fescuethread/fescuethread/sharer"
	"github.com/fescuethread/fescuethread/timer"
)

// withoutShare makes the fixture's host one without a share of the rate of "small": all holders are
// other hosts, which answer as answer says.
func (w *fixture) withoutShare(answer func(attempt int) (sharer.Grant, bool)) *sharer.Sharer {
	self := sharer.Host{Name: "h", Zone: "a1", Region: "a"}
	var s *sharer.Sharer
	for i := 0; s == nil || s.Holders("small") == 0 || s.RetryAfter(timer.Now(), "small") > 0; i++ {
		hosts := []sharer.Host{self}
		for k := range 40 {
			hosts = append(hosts, sharer.Host{Name: fmt.Sprint("peer", i, "-", k), Zone: "a1", Region: "a"})
		}
		s = sharer.New(self, sharer.Tolerance{Window: 5 * time.Second, ExcessFraction: 0.1, Slack: 20})
		s.Configure(timer.Now(), w.plans.plan.Customers(), hosts)
		s.AccrueFrom(timer.Now())
	}
	w.steerer.deps.Sharer = s
	w.steerer.deps.RequestToken = func(customer string, attempt int) bool {
		now := timer.Now()
		if g, ok := answer(attempt); ok {
			go s.Credit(timer.Now(), now, customer, g)
			return true
		}
		return false
	}
	return s
}

// TestTokenIsAskedOfTheNextHolder: a holder without tokens, or one that isn't live, costs a waiting
// request only the way to the next one.
func TestTokenIsAskedOfTheNextHolder(t *testing.T) {
	w := newFixture(t, startTarget(t, "t0", okResponse))
	var asked atomic.Int64
	w.withoutShare(func(attempt int) (sharer.Grant, bool) {
		asked.Add(1)
		switch attempt {
		case 0:
			return sharer.Grant{}, false
		case 1:
			return sharer.Grant{Wait: time.Hour}, true
		}
		return sharer.Grant{Tokens: 1}, true
	})
	if rec := w.send("GET", "/look/a", "key-of-small"); rec.Code != http.StatusOK {
		t.Fatalf("status %d", rec.Code)
	}
	if n := asked.Load(); n != 3 {
		t.Fatalf("%d holders were asked", n)
	}
}

// TestExhaustedCustomerIsRefusedAtOnce: once no holder had a token, the next request is refused
// without asking, and is told when a token is expected.
func TestExhaustedCustomerIsRefusedAtOnce(t *testing.T) {
	w := newFixture(t, startTarget(t, "t0", okResponse))
	var asked atomic.Int64
	w.withoutShare(func(int) (sharer.Grant, bool) {
		asked.Add(1)
		return sharer.Grant{Wait: 2 * time.Second}, true
	})
	w.send("GET", "/look/a", "key-of-small")
	before := asked.Load()
	rec := w.send("GET", "/look/a", "key-of-small")
	if rec.Code != http.StatusTooManyRequests || asked.Load() != before {
		t.Fatalf("status %d, %d more holders asked", rec.Code, asked.Load()-before)
	}
	if after := rec.Header().Get("Retry-After"); after < "1.0" || after > "2.1" {
		t.Fatalf("Retry-After %s", after)
	}
}
