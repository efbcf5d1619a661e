package forwarder

import (
	"context"
	"encoding/base64"
	"io"
	"net/http"
	"net/http/httptest"
	"slices"
	"strconv"
	"strings"
	"testing"
	"time"

	"github.com/lesismal/nbio/logging"
	"github.com/pkg/errors"
	"go.uber.org/goleak"
	"pgregory.net/rapid"

	"github.com/fescuethread/fescuethread/exchanger"
)

func TestMain(m *testing.M) {
	logging.SetLevel(logging.LevelNone)
	goleak.VerifyTestMain(m)
}

func newForwarder(t *testing.T) *Forwarder {
	t.Helper()
	f, err := New(Config{})
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(f.Close)
	return f
}

func newTarget(t *testing.T, h http.HandlerFunc) Target {
	t.Helper()
	s := httptest.NewServer(h)
	t.Cleanup(s.Close)
	return Target{Name: "saleroom-1", Address: s.Listener.Addr().String(), Connections: 4}
}

func TestHeadersTowardsTheTarget(t *testing.T) {
	f := newForwarder(t)
	var got http.Header
	var body string
	target := newTarget(t, func(w http.ResponseWriter, r *http.Request) {
		got = r.Header.Clone()
		b, _ := io.ReadAll(r.Body)
		body = string(b)
		w.Header().Set("Fescuethread-Outcome", "not run")
		w.Header().Set("Fescuethread-Request", r.Header.Get("Fescuethread-Request"))
		w.Header().Set("X-Own", "kept")
		w.WriteHeader(http.StatusConflict)
		_, _ = io.WriteString(w, "taken")
	})
	ctx, cancel := context.WithTimeout(t.Context(), time.Minute)
	defer cancel()
	a, err := f.Do(ctx, target, &Request{
		ID: "r-1", Customer: "mill", Operation: "op-1", Method: "POST", Path: "/bids?lot=1",
		Header: http.Header{
			"Fescuethread-Key":      {"secret"},
			"fescuethread_customer": {"other"},
			"Fescuethread-Deadline": {"99999999"},
			"Connection":            {"X-Hop, keep-alive"},
			"X-Hop":                 {"1"},
			"Te":                    {"trailers"},
			"X-Kept":                {"1"},
		},
		Body: []byte("bid"),
	})
	if err != nil {
		t.Fatal(err)
	}
	if a.Status != 409 || string(a.Body) != "taken" || a.Header.Get("X-Own") != "kept" {
		t.Fatalf("answer %+v", a)
	}
	if a.Header.Get("Fescuethread-Outcome") != "" {
		t.Error("the target's field in the system's name reached the caller")
	}
	left, err := strconv.Atoi(got.Get(HeaderDeadline))
	if err != nil || left <= 0 || left > 60_000 {
		t.Errorf("deadline %q", got.Get(HeaderDeadline))
	}
	got.Del(HeaderDeadline)
	want := http.Header{
		"Fescuethread-Customer":  {"mill"},
		"Fescuethread-Operation": {"op-1"},
		"Fescuethread-Request":   {"r-1"},
		"X-Kept":                 {"1"},
		"Content-Length":         {"3"},
	}
	for name, values := range got {
		if !slices.Equal(values, want[name]) {
			t.Errorf("target received %s: %q", name, values)
		}
	}
	if len(got) != len(want) || body != "bid" {
		t.Errorf("target received %v with body %q", got, body)
	}
}

func TestNonIdempotentWorkGetsNewConnections(t *testing.T) {
	f := newForwarder(t)
	remotes := map[string]bool{}
	target := newTarget(t, func(_ http.ResponseWriter, r *http.Request) { remotes[r.RemoteAddr] = true })
	for _, idempotent := range []bool{true, true, false, false} {
		r := &Request{Method: "POST", Path: "/", Idempotent: idempotent}
		if _, err := f.Do(t.Context(), target, r); err != nil {
			t.Fatal(err)
		}
	}
	if len(remotes) != 3 {
		t.Fatalf("%d connections, want 3", len(remotes))
	}
}

func TestErrorsCarryWhatIsKnown(t *testing.T) {
	f := newForwarder(t)
	target := newTarget(t, func(http.ResponseWriter, *http.Request) { panic(http.ErrAbortHandler) })
	_, err := f.Do(t.Context(), target, &Request{Method: "POST", Path: "/"})
	if err == nil || NotRun(err) || !errors.Is(err, exchanger.ErrLost) {
		t.Fatalf("aborted: %v", err)
	}
	ctx, cancel := context.WithCancel(t.Context())
	cancel()
	if _, err := f.Do(ctx, target, &Request{Method: "POST", Path: "/"}); !NotRun(err) {
		t.Fatalf("cancelled before: %v", err)
	}
}

func TestForgottenTargetIsReachedAnew(t *testing.T) {
	f := newForwarder(t)
	target := newTarget(t, func(http.ResponseWriter, *http.Request) {})
	r := &Request{Method: "GET", Path: "/", Idempotent: true}
	for range 2 {
		if _, err := f.Do(t.Context(), target, r); err != nil {
			t.Fatal(err)
		}
		f.Forget(target.Name)
		if len(f.pools) != 0 {
			t.Fatal("the pool is kept")
		}
	}
}

func TestSanitizeLeavesNoKey(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		key := rapid.StringMatching(`[A-Za-z0-9+/=%&]{8,24}`).Draw(t, "key")
		plain := rapid.StringMatching(`[g-m]{0,7}`).Draw(t, "plain")
		escaped := strings.NewReplacer("%", "%25", "&", "%26", "+", "%2B").Replace(key)
		basic := base64.StdEncoding.EncodeToString([]byte("mill:" + key))
		h, q := Sanitize(http.Header{
			"Authorization": {"Bearer " + key, "Basic " + basic, plain},
			"X-Copy":        {plain + key},
			"X-Escaped":     {escaped},
			"X-Plain":       {plain},
		}, "a="+escaped+"&c="+basic+"&b="+plain, key)
		if len(h) != 2 || !slices.Equal(h["Authorization"], []string{plain}) {
			t.Fatalf("header %v", h)
		}
		if q != "b="+plain {
			t.Fatalf("query %q", q)
		}
	})
}
