package targeter

import (
	"bytes"
	"context"
	"encoding/json"
	"io"
	"net/http"
	"strconv"
	"strings"
	"time"

	"github.com/pkg/errors"
)

const (
	// RequestHeader holds the correlation identifier of a request and its answer.
	RequestHeader = "Fescuethread-Request"
	// OperationHeader holds the identity of a non-idempotent operation.
	OperationHeader = "Fescuethread-Operation"
	// DeadlineHeader holds the time left, in milliseconds.
	DeadlineHeader = "Fescuethread-Deadline"

	maxBodyBytes   = 64 << 20
	maxAnswerBytes = 256 << 20
)

// Config holds a target's settings.
type Config struct {
	// Name is the target's name in its answers.
	Name string
	// Slots is the number of requests that run at once; further ones wait for a slot.
	Slots int
	// Latency is the time that a run takes.
	Latency time.Duration
	// Cold is the number of first runs that take ColdLatency instead.
	Cold int
	// ColdLatency is the time that a cold run takes.
	ColdLatency time.Duration
	// Shed refuses requests above Slots with 503 in place of letting them wait.
	Shed bool
	// Crash ends the target; nil closes the connection only.
	Crash func()
}

// Target is a target as an HTTP handler.
type Target struct {
	cfg     Config
	mux     *http.ServeMux
	slots   chan struct{}
	manners manners
	counter *counter
}

// New returns a target without load.
func New(cfg Config) *Target {
	if cfg.Slots < 1 {
		cfg.Slots = 1
	}
	t := &Target{
		cfg:     cfg,
		mux:     http.NewServeMux(),
		slots:   make(chan struct{}, cfg.Slots),
		counter: newCounter(),
	}
	t.mux.HandleFunc("GET /health", t.health)
	t.mux.HandleFunc("GET /load", t.load)
	t.mux.HandleFunc("POST /control", t.postControl)
	t.mux.HandleFunc("GET /control/runs", t.getRuns)
	t.mux.HandleFunc("/", t.serve)
	return t
}

// ServeHTTP answers a request.
func (t *Target) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	t.mux.ServeHTTP(w, r)
}

// SetBehavior replaces the behaviour for the requests to come.
func (t *Target) SetBehavior(b Behavior) error {
	if err := b.check(); err != nil {
		return err
	}
	t.manners.set(b)
	return nil
}

// Runs returns what the target has done so far.
func (t *Target) Runs() Runs {
	return t.counter.snapshot()
}

func (t *Target) serve(w http.ResponseWriter, r *http.Request) {
	b := t.manners.next()
	if b.Draining {
		t.counter.add(drainingRuns)
	}
	body, err := io.ReadAll(http.MaxBytesReader(w, r.Body, maxBodyBytes))
	if err != nil {
		http.Error(w, err.Error(), http.StatusRequestEntityTooLarge)
		return
	}
	if left, ok := deadline(r.Header); ok && b.Fault != FaultLate {
		ctx, cancel := context.WithTimeout(r.Context(), left)
		defer cancel()
		r = r.WithContext(ctx)
	}
	if b.Fault == FaultShed || !t.acquire(r.Context()) {
		t.shed(w, b.RetryAfter)
		return
	}
	defer t.release()
	run := t.counter.start(r.Header.Get(OperationHeader))
	defer t.counter.end()
	t.run(w, r, task{behavior: b, body: body, run: run})
}

// task is one run of a request.
type task struct {
	behavior Behavior
	body     []byte
	run      int
}

func (t *Target) run(w http.ResponseWriter, r *http.Request, k task) {
	if k.behavior.Crash != "" && bytes.Contains(k.body, []byte(k.behavior.Crash)) {
		t.crash()
	}
	if err := pause(r.Context(), t.latency(k)); err != nil {
		t.giveUp(w, r, err)
		return
	}
	t.answer(w, r, k)
}

func (t *Target) crash() {
	if t.cfg.Crash != nil {
		t.cfg.Crash()
	}
	panic(http.ErrAbortHandler)
}

func (t *Target) latency(k task) time.Duration {
	switch {
	case k.behavior.Fault == FaultLate:
		return k.behavior.Delay
	case k.run <= t.cfg.Cold:
		return t.cfg.ColdLatency
	default:
		return t.cfg.Latency
	}
}

// giveUp ends a run at its deadline or because the caller cancelled it.
func (t *Target) giveUp(w http.ResponseWriter, r *http.Request, err error) {
	if !errors.Is(err, context.DeadlineExceeded) {
		t.counter.add(cancelledRuns)
		panic(http.ErrAbortHandler)
	}
	t.counter.add(expiredRuns)
	w.Header().Set(RequestHeader, r.Header.Get(RequestHeader))
	http.Error(w, "the deadline has passed", http.StatusGatewayTimeout)
}

// acquire takes a slot; it returns false if the target sheds or ctx ends.
func (t *Target) acquire(ctx context.Context) bool {
	select {
	case t.slots <- struct{}{}:
		return true
	default:
	}
	if t.cfg.Shed {
		return false
	}
	select {
	case t.slots <- struct{}{}:
		return true
	case <-ctx.Done():
		return false
	}
}

func (t *Target) release() {
	<-t.slots
}

func (t *Target) shed(w http.ResponseWriter, after time.Duration) {
	t.counter.add(shedRuns)
	seconds := max(1, int(after/time.Second))
	w.Header().Set("Retry-After", strconv.Itoa(seconds))
	http.Error(w, "shed", http.StatusServiceUnavailable)
}

func deadline(h http.Header) (time.Duration, bool) {
	ms, err := strconv.ParseInt(strings.TrimSpace(h.Get(DeadlineHeader)), 10, 64)
	if err != nil {
		return 0, false
	}
	return time.Duration(ms) * time.Millisecond, true
}

func pause(ctx context.Context, d time.Duration) error {
	if d <= 0 {
		return ctx.Err()
	}
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-ctx.Done():
		return ctx.Err()
	case <-timer.C:
		return nil
	}
}

func sendJSON(w http.ResponseWriter, status int, v interface{}) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(v)
}
