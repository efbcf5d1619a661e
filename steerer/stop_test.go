package steerer

import (
	"net/http"
	"net/http/httptest"
	"testing"
	"time"

	"github.com/fescuethread/fescuethread/timer"
)

// TestLeavingHostTakesOnlyWhatItCanFinish guards against requests that are taken late in a planned
// stop and cut off at its end: what isn't expected to end in time is refused at once, not sent.
func TestLeavingHostTakesOnlyWhatItCanFinish(t *testing.T) {
	target := startTarget(t, "i-1", func(q *http.Request, n int) string {
		time.Sleep(30 * time.Millisecond)
		return okResponse(q, n)
	})
	w := newFixture(t, target)
	for _, path := range []string{"/look/1", "/sell/1"} {
		method := http.MethodGet
		if path == "/sell/1" {
			method = http.MethodPost
		}
		if rec := w.send(method, path, millKey); rec.Code != 200 {
			t.Fatalf("status %d", rec.Code)
		}
	}
	w.steerer.Leave(timer.Now().Add(10 * time.Millisecond))
	for range 5 {
		for path, method := range map[string]string{"/look/1": "GET", "/sell/1": "POST"} {
			rec := w.send(method, path, millKey)
			if rec.Code != 503 || rec.Header().Get("Retry-After") != "0.050" {
				t.Fatalf("%s: status %d, Retry-After %q", path, rec.Code, rec.Header().Get("Retry-After"))
			}
		}
	}
	if n := len(target.requests()); n != 2 {
		t.Fatalf("%d requests were sent, want 2", n)
	}
}

// TestRequestsInFlightAreAnsweredAtTheEnd guards against requests that are cut off without an
// answer at the end of a planned stop; none of them is sent to a second target.
func TestRequestsInFlightAreAnsweredAtTheEnd(t *testing.T) {
	running, release := make(chan struct{}, 2), make(chan struct{})
	hang := func(*http.Request, int) string {
		running <- struct{}{}
		<-release
		return ""
	}
	first, second := startTarget(t, "i-1", hang), startTarget(t, "i-2", hang)
	defer close(release)
	w := newFixture(t, first, second)
	done := make(chan *httptest.ResponseRecorder, 2)
	go func() { done <- w.send("POST", "/sell/1", millKey) }()
	go func() { done <- w.send("GET", "/look/1", millKey) }()
	<-running
	<-running
	w.steerer.Stop()
	w.steerer.Abort()
	for range 2 {
		if rec := <-done; rec.Code != 502 {
			t.Fatalf("status %d, want 502", rec.Code)
		}
	}
	if n := len(first.requests()) + len(second.requests()); n != 2 {
		t.Fatalf("two requests were sent %d times", n)
	}
}
