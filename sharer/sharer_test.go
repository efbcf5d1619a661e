package sharer

import (
	"fmt"
	"testing"
	"time"

	"pgregory.net/rapid"

	"github.com/fescuethread/fescuethread/planner"
	"github.com/fescuethread/fescuethread/timer"
)

const start = timer.Instant(time.Hour)

var tolerance = Tolerance{Window: 5 * time.Second, ExcessFraction: 0.1, Slack: 20}

func customer(rate, burst float64) []planner.Customer {
	return []planner.Customer{{Name: "mill", Rate: rate, Burst: burst}}
}

func names(n int) []string {
	list := make([]string, 0, n)
	for i := range n {
		list = append(list, fmt.Sprint("h", i))
	}
	return list
}

func admitted(s *Sharer, now timer.Instant, requests int) int {
	n := 0
	for range requests {
		if s.Admit(now, "mill") == ReasonAdmitted {
			n++
		}
	}
	return n
}

func TestTokensAccrueWhenConfiguredBeforeAccrueFrom(t *testing.T) {
	s := New("h0", tolerance)
	s.Configure(start, customer(100, 100), names(1))
	s.AccrueFrom(start)
	if n := admitted(s, start.Add(time.Second), 200); n < 90 {
		t.Fatalf("%d requests were admitted in 1 s, want at least 90", n)
	}
}

func TestNoTokensBeforeAccrueFrom(t *testing.T) {
	s := New("h0", tolerance)
	s.Configure(start, customer(100, 100), names(1))
	s.AccrueFrom(start.Add(5 * time.Second))
	s.Credit(start, "mill", 50)
	if n := admitted(s, start.Add(4*time.Second), 10); n > 0 {
		t.Fatalf("%d requests were admitted before tokens accrue", n)
	}
	if n := admitted(s, start.Add(5100*time.Millisecond), 200); n > 11 {
		t.Fatalf("%d requests were admitted in the first 100 ms, want at most 11", n)
	}
}

// serve spends one token on a host, which requests tokens from all others if it has none.
func serve(hosts []*Sharer, i int, now timer.Instant) bool {
	if hosts[i].Admit(now, "mill") == ReasonAdmitted {
		return true
	}
	req, ok := hosts[i].TokenRequestFor(now, "mill")
	for _, other := range hosts {
		if !ok || other == hosts[i] {
			continue
		}
		hosts[i].Credit(now, "mill", other.Debit(now, "mill", req.Tokens))
		if hosts[i].AdmitWaiting(now, "mill") == ReasonAdmitted {
			return true
		}
	}
	return false
}

// TestSmallCustomerIsServedOnEveryHost: if a small burst were divided among all hosts, each share
// would be less than one token and no host could serve a request or give a token to another.
func TestSmallCustomerIsServedOnEveryHost(t *testing.T) {
	for _, count := range []int{1, 7, 36, 300} {
		var hosts []*Sharer
		for i := range count {
			hosts = append(hosts, newHost(start, 4, i, count))
		}
		for i := range hosts {
			now := start.Add(time.Duration(i+1) * 10 * time.Second)
			if !serve(hosts, i, now) {
				t.Fatalf("host %d of %d served no request", i, count)
			}
		}
	}
}

// fleet is a set of hosts that share one customer's rate and lose some messages between them.
type fleet struct {
	hosts []*Sharer
	now   timer.Instant
	spent []timer.Instant
}

// transferFunc moves tokens between two hosts.
type transferFunc func(t *rapid.T, f *fleet, from, to *Sharer)

func debitFirst(t *rapid.T, f *fleet, from, to *Sharer) {
	n := from.Debit(f.now, "mill", uint32(rapid.IntRange(1, 60).Draw(t, "wanted")))
	if rapid.IntRange(0, 4).Draw(t, "lost") > 0 {
		to.Credit(f.now, "mill", n)
	}
}

// creditOnly is a faulty transfer: the sender's tokens are not debited.
func creditOnly(t *rapid.T, f *fleet, _, to *Sharer) {
	to.Credit(f.now, "mill", uint32(rapid.IntRange(1, 60).Draw(t, "wanted")))
}

func newHost(now timer.Instant, rate float64, i, count int) *Sharer {
	s := New(fmt.Sprint("h", i), tolerance)
	s.Configure(now, customer(rate, rate), names(count))
	s.AccrueFrom(now)
	return s
}

// exceeds simulates hosts that spend and transfer tokens and restart, and reports whether the
// requests in any window exceed the rate, the burst and the tolerance.
func exceeds(t *rapid.T, transfer transferFunc) bool {
	rate := float64(rapid.IntRange(1, 100).Draw(t, "rate"))
	f := &fleet{now: start}
	count := rapid.IntRange(1, 40).Draw(t, "hosts")
	for i := range count {
		f.hosts = append(f.hosts, newHost(f.now, rate, i, count))
	}
	for range 60 {
		f.now = f.now.Add(time.Duration(rapid.IntRange(1, 400).Draw(t, "step")) * time.Millisecond)
		i := rapid.IntRange(0, count-1).Draw(t, "host")
		switch rapid.IntRange(0, 9).Draw(t, "event") {
		case 0:
			f.hosts[i] = newHost(f.now, rate, i, count)
		case 1, 2, 3:
			transfer(t, f, f.hosts[i], f.hosts[rapid.IntRange(0, count-1).Draw(t, "to")])
		default:
			for range admitted(f.hosts[i], f.now, rapid.IntRange(1, 200).Draw(t, "requests")) {
				f.spent = append(f.spent, f.now)
			}
		}
	}
	return f.maxInWindow(tolerance.Window) > (rate*tolerance.Window.Seconds()+rate)*
		(1+tolerance.ExcessFraction)+tolerance.Slack
}

// maxInWindow returns the maximum number of requests in any window.
func (f *fleet) maxInWindow(window time.Duration) float64 {
	maxCount, first := 0, 0
	for i, at := range f.spent {
		for at.Sub(f.spent[first]) >= window {
			first++
		}
		maxCount = max(maxCount, i-first+1)
	}
	return float64(maxCount)
}

func TestAllHostsTogetherKeepTheRate(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		if exceeds(t, debitFirst) {
			t.Fatal("the requests in a window exceed the rate, the burst and the tolerance")
		}
	})
}

func TestCreditWithoutDebitIsDetected(t *testing.T) {
	detected := false
	rapid.Check(t, func(t *rapid.T) {
		detected = detected || exceeds(t, creditOnly)
	})
	if !detected {
		t.Fatal("credit without debit was not detected")
	}
}
