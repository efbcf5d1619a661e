package requester

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync/atomic"
	"testing"
	"time"
)

// system is a fake entry host whose look-ups name itself.
type system struct {
	*httptest.Server
	lookups, issued, posts atomic.Int64
	refuse                 atomic.Bool
}

func newSystem(t *testing.T) *system {
	s := &system{}
	s.Server = httptest.NewServer(http.HandlerFunc(s.serve))
	t.Cleanup(s.Close)
	return s
}

func (s *system) address() string { return strings.TrimPrefix(s.URL, "http://") }

func (s *system) serve(w http.ResponseWriter, r *http.Request) {
	switch {
	case r.URL.Path == "/v1/lookup":
		s.lookups.Add(1)
		_, _ = fmt.Fprintf(w, `{"lifetime":60000,"hosts":[{"address":"127.0.0.1:1","rank":0,"weight":1},`+
			`{"address":%q,"rank":1,"weight":1}]}`, s.address())
	case r.URL.Path == "/v1/operations":
		_, _ = fmt.Fprintf(w, `{"operation":"op-%d"}`, s.issued.Add(1))
	case r.Method == http.MethodPost && r.Header.Get(headerOperation) == "":
		w.WriteHeader(http.StatusPreconditionRequired)
	case s.refuse.Load():
		w.Header().Set(headerOutcome, "not run")
		w.Header().Set(headerReason, "limit")
		w.WriteHeader(http.StatusTooManyRequests)
	default:
		if r.Method == http.MethodPost {
			s.posts.Add(1)
		}
		w.Header().Set(headerOutcome, outcomeAnswered)
	}
}

func config(mode Mode, s *system) Config {
	return Config{
		Mode: mode, Hosts: []string{s.address()}, Service: "saleroom", Path: "/x",
		Connections: 4, Count: 40, Duration: time.Minute, Timeout: time.Minute, Seed: 1,
	}
}

func run(t *testing.T, cfg Config) Report {
	t.Helper()
	r, err := Run(context.Background(), cfg)
	if err != nil {
		t.Fatal(err)
	}
	return r
}

func count(r Report, kind, outcome string) int {
	n := 0
	for _, c := range r.Counts {
		if c.Kind == kind && c.Outcome == outcome {
			n += c.Requests
		}
	}
	return n
}

func TestRequestsFollowLookupsPastADeadHost(t *testing.T) {
	s := newSystem(t)
	r := run(t, config(ModeFollow, s))
	if got := count(r, "get", outcomeAnswered); got != 40 {
		t.Errorf("answered %d of 40: %+v", got, r.Counts)
	}
	if got := count(r, "get", outcomeUnreachable); got != 40 {
		t.Errorf("%d refused connections, want 40", got)
	}
	if got := s.lookups.Load(); got != 1 {
		t.Errorf("%d look-ups within one lifetime, want 1", got)
	}
}

func TestPostsBearAnOperation(t *testing.T) {
	s := newSystem(t)
	cfg := config(ModeFixed, s)
	cfg.Posts = 100
	r := run(t, cfg)
	if got := count(r, "post", outcomeAnswered); got != 40 || s.posts.Load() != 40 {
		t.Errorf("answered %d, run %d of 40: %+v", got, s.posts.Load(), r.Counts)
	}
	if s.issued.Load() != 40 {
		t.Errorf("%d identities issued, want 40", s.issued.Load())
	}
}

func TestRefusalsAreCountedByReason(t *testing.T) {
	s := newSystem(t)
	s.refuse.Store(true)
	r := run(t, config(ModeFixed, s))
	want := Count{Kind: "get", Outcome: "not run", Status: 429, Reason: "limit", Requests: 40}
	if len(r.Counts) != 1 || r.Counts[0] != want {
		t.Errorf("got %+v, want %+v", r.Counts, want)
	}
	if len(r.Latencies) != 0 {
		t.Errorf("refusals have no latency: %+v", r.Latencies)
	}
}

func TestOpenLoopCountsEachRequest(t *testing.T) {
	s := newSystem(t)
	cfg := config(ModeFixed, s)
	cfg.Rate = 1000
	r := run(t, cfg)
	if got := count(r, "get", outcomeAnswered) + r.Dropped; got != 40 {
		t.Errorf("answered and dropped %d of 40", got)
	}
}

func TestDrawFollowsWeights(t *testing.T) {
	a := lookupAnswer{Hosts: []lookupHost{
		{Address: "a", Weight: 1}, {Address: "b", Weight: 3}, {Address: "c", Rank: 1, Weight: 100},
	}}
	random := rand.New(rand.NewPCG(1, 1))
	firsts := make(map[string]int)
	for range 4000 {
		firsts[a.order(random)[0]]++
	}
	if firsts["c"] != 0 || firsts["b"] < 2800 || firsts["b"] > 3200 {
		t.Errorf("firsts %v, want b in three quarters and c never", firsts)
	}
}
