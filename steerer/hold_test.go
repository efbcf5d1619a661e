package steerer

import (
	"net/http"
	"testing"
	"time"

	"github.com/fescuethread/fescuethread/isolator"
	"github.com/fescuethread/fescuethread/platform"
)

func TestRetryAfterIsParsedStrictly(t *testing.T) {
	now := time.Date(2026, 12, 5, 8, 0, 0, 0, time.UTC)
	for value, want := range map[string]time.Duration{
		"0": 0, "3": 3 * time.Second, "0.25": 250 * time.Millisecond,
		now.Add(2 * time.Second).Format(http.TimeFormat): 2 * time.Second,
	} {
		if got, ok := parseRetryAfter(value, now); !ok || got != want {
			t.Errorf("%q: %s, %v", value, got, ok)
		}
	}
	for _, value := range []string{
		"", "-1", "+1", " 1", "1e3", "0x10", "inf", "NaN", ".5", "1.", "1,5", "9999999999", "soon",
		now.Add(-time.Second).Format(http.TimeFormat),
	} {
		if got, ok := parseRetryAfter(value, now); ok {
			t.Errorf("%q was taken as %s", value, got)
		}
	}
}

// TestTargetThatHoldsOffGetsNoMore: after a 503 with Retry-After, and after an answer that says
// that the target is leaving, no further request reaches it.
func TestTargetThatHoldsOffGetsNoMore(t *testing.T) {
	for name, respond := range map[string]func(*http.Request, int) string{
		"pause": func(*http.Request, int) string {
			return "HTTP/1.1 503 Service Unavailable\r\nX-Not-Executed: 1\r\nRetry-After: 30\r\n" +
				"Content-Length: 0\r\n\r\n"
		},
		"leaving": func(q *http.Request, _ int) string {
			return okHead + platform.HeaderLeaving + ": 1\r\nX-Request-Id: " +
				q.Header.Get(platform.HeaderRequestID) + "\r\nContent-Length: 2\r\n\r\nhi"
		},
	} {
		t.Run(name, func(t *testing.T) {
			target := startTarget(t, "t0", respond)
			w := newFixture(t, target)
			w.send("GET", "/look/a", millKey)
			for range 5 {
				if resp := w.send("GET", "/look/b", millKey); resp.Code != http.StatusServiceUnavailable {
					t.Fatalf("status %d", resp.Code)
				}
			}
			if n := len(target.requests()); n != 1 {
				t.Fatalf("%d requests arrived", n)
			}
		})
	}
}

// TestTimeoutWithoutAnOfferIsNotRun: a request that no target can have run ends with 503, which
// callers may send again, also at its deadline.
func TestTimeoutWithoutAnOfferIsNotRun(t *testing.T) {
	s := New(Config{}, newFixture(t).steerer.deps)
	for possibleRuns, want := range map[int]int{
		0: http.StatusServiceUnavailable, 1: http.StatusGatewayTimeout,
	} {
		q := &request{possibleRuns: possibleRuns}
		q.permit = s.deps.Isolator.Admit(0, isolator.Fingerprint{})
		if r := s.failureResult(q, nil, ReasonTimeout, 0); r.Status != want {
			t.Errorf("%d possible runs: status %d, want %d", possibleRuns, r.Status, want)
		}
	}
}

// TestInvalidLoadReportIsCounted guards against a load report that is dropped in silence; the
// response itself is returned.
func TestInvalidLoadReportIsCounted(t *testing.T) {
	target := startTarget(t, "t0", func(q *http.Request, _ int) string {
		return okHead + platform.HeaderLoad + ": 1,2\r\nX-Request-Id: " +
			q.Header.Get(platform.HeaderRequestID) + "\r\nContent-Length: 2\r\n\r\nhi"
	})
	w := newFixture(t, target)
	before := w.steerer.deps.Stats.invalidLoads.Get()
	for range 3 {
		if resp := w.send("GET", "/look/a", millKey); resp.Code != http.StatusOK {
			t.Fatalf("status %d", resp.Code)
		}
	}
	if n := w.steerer.deps.Stats.invalidLoads.Get() - before; n != 3 {
		t.Fatalf("%d of 3 invalid reports were counted", n)
	}
}
