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

// host returns the host with number i of a fleet of three regions with two zones each.
func host(i int) Host {
	zone := i % 6
	return Host{
		Name: fmt.Sprint("h", i), Zone: fmt.Sprint("z", zone), Region: fmt.Sprint("r", zone%3),
	}
}

func fleetOf(n int) []Host {
	list := make([]Host, 0, n)
	for i := range n {
		list = append(list, host(i))
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
	s := New(host(0), tolerance)
	s.Configure(start, customer(100, 100), fleetOf(1))
	s.AccrueFrom(start)
	if n := admitted(s, start.Add(time.Second), 200); n < 90 {
		t.Fatalf("%d requests were admitted in 1 s, want at least 90", n)
	}
}

func TestNoTokensBeforeAccrueFrom(t *testing.T) {
	s := New(host(0), tolerance)
	s.Configure(start, customer(100, 100), fleetOf(1))
	s.AccrueFrom(start.Add(5 * time.Second))
	s.Credit(start, start, "mill", Grant{Tokens: 50})
	if n := admitted(s, start.Add(4*time.Second), 10); n > 0 {
		t.Fatalf("%d requests were admitted before tokens accrue", n)
	}
	if n := admitted(s, start.Add(5100*time.Millisecond), 200); n > 11 {
		t.Fatalf("%d requests were admitted in the first 100 ms, want at most 11", n)
	}
}

// serve spends one token on a host, which asks one holder after the other if it has none.
func serve(hosts []*Sharer, i int, now timer.Instant) bool {
	if hosts[i].Admit(now, "mill") == ReasonAdmitted {
		return true
	}
	for attempt := range hosts[i].Holders("mill") {
		req, ok := hosts[i].TokenRequestFor("mill", attempt)
		if !ok {
			return false
		}
		hosts[i].Credit(now, now, "mill", find(hosts, req.Peers[0]).Debit(now, req))
		if hosts[i].AdmitWaiting(now, "mill") == ReasonAdmitted {
			return true
		}
	}
	return false
}

func find(hosts []*Sharer, name string) *Sharer {
	for _, s := range hosts {
		if s.self.Name == name {
			return s
		}
	}
	return nil
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

// fleet is a set of hosts that share one customer's rate and lose or delay messages between them.
type fleet struct {
	hosts []*Sharer
	now   timer.Instant
	spent []timer.Instant
	// answers are the grants that haven't arrived yet.
	answers []answer
}

// answer is a grant on its way to a host.
type answer struct {
	to          *Sharer
	requestedAt timer.Instant
	grant       Grant
}

// transferFunc moves tokens from one host to another.
type transferFunc func(t *rapid.T, f *fleet, from, to *Sharer, req TokenRequest)

func debitFirst(t *rapid.T, f *fleet, from, to *Sharer, req TokenRequest) {
	a := answer{to: to, requestedAt: f.now, grant: from.Debit(f.now, req)}
	switch rapid.IntRange(0, 4).Draw(t, "fate") {
	case 0: // The answer is lost.
	case 1:
		f.answers = append(f.answers, a)
	default:
		to.Credit(f.now, a.requestedAt, "mill", a.grant)
	}
}

// creditOnly is a faulty transfer: the sender's tokens are not debited.
func creditOnly(_ *rapid.T, f *fleet, _, to *Sharer, req TokenRequest) {
	to.Credit(f.now, f.now, "mill", Grant{Tokens: req.Tokens})
}

func newHost(now timer.Instant, rate float64, i, count int) *Sharer {
	s := New(host(i), tolerance)
	s.Configure(now, customer(rate, rate), fleetOf(count))
	s.AccrueFrom(now)
	return s
}

// step lets one thing happen at random: a restart, a request for tokens, late answers or requests
// of callers.
func (f *fleet) step(t *rapid.T, rate float64, transfer transferFunc) {
	count := len(f.hosts)
	i := rapid.IntRange(0, count-1).Draw(t, "host")
	switch rapid.IntRange(0, 12).Draw(t, "event") {
	case 0:
		f.hosts[i] = newHost(f.now, rate, i, count)
	case 1, 2, 3, 4, 5, 6:
		f.request(t, i, transfer)
	case 7:
		for _, a := range f.answers {
			a.to.Credit(f.now, a.requestedAt, "mill", a.grant)
		}
		f.answers = nil
	default:
		for range admitted(f.hosts[i], f.now, rapid.IntRange(1, 200).Draw(t, "requests")) {
			f.spent = append(f.spent, f.now)
		}
	}
}

// request asks a holder for tokens, as a waiting request or to refill a bucket.
func (f *fleet) request(t *rapid.T, i int, transfer transferFunc) {
	req, ok := f.hosts[i].TokenRequestFor("mill", rapid.IntRange(0, 8).Draw(t, "attempt"))
	if !ok {
		return
	}
	req.Tokens = uint32(rapid.IntRange(1, 60).Draw(t, "wanted"))
	req.Waiting = rapid.Bool().Draw(t, "waiting")
	transfer(t, f, find(f.hosts, req.Peers[0]), f.hosts[i], req)
}

// exceeds simulates hosts that spend and transfer tokens and restart, and reports whether the
// requests in any window exceed the rate, the burst and the tolerance.
func exceeds(t *rapid.T, transfer transferFunc) bool {
	rate := float64(rapid.IntRange(1, 100).Draw(t, "rate"))
	f := &fleet{now: start}
	count := rapid.IntRange(1, 60).Draw(t, "hosts")
	for i := range count {
		f.hosts = append(f.hosts, newHost(f.now, rate, i, count))
	}
	for range 80 {
		f.now = f.now.Add(time.Duration(rapid.IntRange(1, 400).Draw(t, "step")) * time.Millisecond)
		f.step(t, rate, transfer)
	}
	for i := range f.hosts {
		for range admitted(f.hosts[i], f.now, 200) {
			f.spent = append(f.spent, f.now)
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

// hoard lets all hosts request tokens again and again without a caller, then spend all at once. It
// returns the number of admitted requests.
func hoard(renew func(s *Sharer, now timer.Instant)) int {
	const count, rate = 60, 100
	hosts := make([]*Sharer, 0, count)
	for i := range count {
		hosts = append(hosts, newHost(start, rate, i, count))
	}
	now := start
	for range 100 {
		now = now.Add(200 * time.Millisecond)
		for i, s := range hosts {
			if req, ok := s.TokenRequestFor("mill", i); ok {
				req.Tokens = 20
				s.Credit(now, now, "mill", find(hosts, req.Peers[0]).Debit(now, req))
			}
			renew(s, now)
		}
	}
	n := 0
	for _, s := range hosts {
		n += admitted(s, now, 1000)
	}
	return n
}

// TestHoardedTokensDontAddToTheBurst: tokens that hosts without shares requested and didn't spend
// expire; otherwise all hosts together could save up many times the burst.
func TestHoardedTokensDontAddToTheBurst(t *testing.T) {
	const limit = 100 + 0.1*(5*100+100) + 20
	if n := hoard(func(*Sharer, timer.Instant) {}); n > limit {
		t.Fatalf("%d requests were admitted at once, want at most the burst and the tolerance, %.0f", n, limit)
	}
	kept := hoard(func(s *Sharer, now timer.Instant) {
		for i := range s.buckets["mill"].lots {
			s.buckets["mill"].lots[i].expiresAt = now.Add(time.Hour)
		}
	})
	if kept <= limit {
		t.Fatalf("%d requests were admitted at once without expiry; the test can't tell it", kept)
	}
}
