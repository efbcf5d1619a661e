package carrier

import (
	"encoding/json"
	"net/http"
	"net/http/httptest"
	"strconv"
	"strings"
	"testing"

	"pgregory.net/rapid"

	"github.com/fescuethread/fescuethread/identifier"
	"github.com/fescuethread/fescuethread/timer"
)

func (w *world) send(c *Carrier, method, operation string) *httptest.ResponseRecorder {
	r := httptest.NewRequest(method, "/v1/services/saleroom/bids?copy="+w.key, strings.NewReader("{}"))
	r.Header.Set(HeaderKey, w.key)
	if operation != "" {
		r.Header.Set(HeaderOperation, operation)
	}
	out := httptest.NewRecorder()
	c.ServeHTTP(out, r)
	return out
}

func issue(t interface{ Fatal(...any) }, c *Carrier) string {
	token, err := c.parts.Registry.Issue(timer.Now(), identifier.Work{
		Customer: "mill", Service: "saleroom", Method: "POST",
	})
	if err != nil {
		t.Fatal(err)
	}
	return token
}

func drawFates(t *rapid.T) []fate {
	return rapid.SliceOfN(rapid.Custom(func(t *rapid.T) fate {
		return fate(rapid.IntRange(0, int(fates)-1).Draw(t, "fate"))
	}), 0, 6).Draw(t, "fates")
}

// Whatever happens to the tries: 'not run' is said only when no try ran, and non-idempotent work
// runs at most once however often its caller sends it.
func TestOutcomesAreTrue(t *testing.T) {
	w, c := newWorld(t)
	rapid.Check(t, func(t *rapid.T) {
		w.fates, w.runs = drawFates(t), 0
		w.admits = rapid.Bool().Draw(t, "admits")
		w.refuse = rapid.Bool().Draw(t, "refuses slots")
		if !rapid.Bool().Draw(t, "non-idempotent") {
			out := w.send(c, "GET", "")
			if out.Header().Get(HeaderOutcome) == "not run" && w.runs > 0 {
				t.Fatalf("'not run' after %d runs: %s", w.runs, out.Body)
			}
			return
		}
		operation := issue(t, c)
		for range rapid.IntRange(1, 4).Draw(t, "copies") {
			out := w.send(c, "POST", operation)
			if out.Header().Get(HeaderOutcome) == "not run" && w.runs > 0 {
				t.Fatalf("'not run' after %d runs: %s", w.runs, out.Body)
			}
			if renewed := out.Header().Get(HeaderOperation); renewed != "" {
				operation = renewed
			}
		}
		if w.runs > 1 {
			t.Fatalf("non-idempotent work ran %d times", w.runs)
		}
	})
}

func TestRefusalsBeforeTheRun(t *testing.T) {
	w, c := newWorld(t)
	tests := []struct {
		name      string
		prepare   func()
		operation string
		status    int
		reason    Reason
		outcome   string
	}{
		{"stale keys", func() { w.stale = true }, "", 503, ReasonStale, "not run"},
		{"stale keys with an operation", func() { w.stale = true }, "token", 503, ReasonStale, "unknown"},
		{"no identity", func() {}, "", http.StatusPreconditionRequired, ReasonIdentity, "not run"},
		{"no configuration", func() { w.snap = nil }, "", 503, ReasonNotReady, "not run"},
	}
	for _, tt := range tests {
		w.stale = false
		tt.prepare()
		out := w.send(c, "POST", tt.operation)
		var body failure
		if err := json.Unmarshal(out.Body.Bytes(), &body); err != nil {
			t.Fatal(err)
		}
		if out.Code != tt.status || body.Reason != string(tt.reason) || body.Outcome != tt.outcome {
			t.Errorf("%s: got %d %+v", tt.name, out.Code, body)
		}
	}
}

// A host that has its whole allotment in flight waits for room; it refuses only when none comes.
func TestRequestsWaitForRoomInOtherZones(t *testing.T) {
	w, c := newWorld(t)
	w.fullLooks = roomLooks
	if out := w.send(c, "GET", ""); out.Code != http.StatusOK {
		t.Errorf("room on the last look: %d %s", out.Code, out.Body)
	}
	w.fullLooks = roomLooks + 1
	out := w.send(c, "GET", "")
	if out.Code != http.StatusServiceUnavailable || out.Header().Get(HeaderOutcome) != "not run" {
		t.Errorf("no room: %d %s", out.Code, out.Body)
	}
}

// A key in the path would reach the target, on keyed routes and on routes open to all.
func TestKeyInThePathIsRefused(t *testing.T) {
	w, c := newWorld(t)
	escaped := "%" + strconv.FormatInt(int64(w.key[0]), 16) + w.key[1:]
	for _, path := range []string{
		"saleroom/" + w.key, "woolshed/public/" + w.key, "woolshed/public/" + escaped,
	} {
		r := httptest.NewRequest("GET", "/v1/services/"+path, nil)
		r.Header.Set(HeaderKey, w.key)
		out := httptest.NewRecorder()
		c.ServeHTTP(out, r)
		if out.Code != http.StatusBadRequest || w.runs != 0 {
			t.Errorf("%s: %d, %d runs", path, out.Code, w.runs)
		}
	}
}
