package targeter

import (
	"fmt"
	"hash/crc32"
	"io"
	"net/http"
	"strconv"
	"sync"
	"time"

	"github.com/fescuethread/fescuethread/platform"
)

// Mode is how a target handles requests.
type Mode int

const (
	// ModeServe serves every request normally.
	ModeServe Mode = iota
	// ModeSlow takes slowFactor times as long, for every request.
	ModeSlow
	// ModeFail responds with 500 after processing.
	ModeFail
	// ModeDropResponse closes the connection after processing, without a response.
	ModeDropResponse
	// ModeTruncate closes the connection in the middle of the response body.
	ModeTruncate
	// ModeShed sheds the request with 503, without processing it.
	ModeShed
	// ModeHold sheds like ModeShed and asks for a pause of holdTime.
	ModeHold

	// ModeCount is the number of modes.
	ModeCount
)

const (
	// maxRunning is the number of requests that run concurrently, maxQueued the number that wait for
	// a slot.
	maxRunning = 4
	maxQueued  = 8
	// workTime is the processing time of a request, multiplied by slowFactor in ModeSlow.
	workTime   = 20 * time.Millisecond
	slowFactor = 20
	// holdTime is the pause that ModeHold asks for, in seconds.
	holdTime = "1"
	// faultInterval makes a mode apply to every third request only; ModeSlow applies to all.
	faultInterval = 3
)

const (
	// headerInstance is the target's ID, in responses to health checks.
	headerInstance = "X-Instance-Id"
	// headerColdRemaining is for how long the target stays cold, in milliseconds.
	headerColdRemaining = "X-Cold-Remaining"
)

// Run records the processing of a request by a target.
type Run struct {
	// ArrivedAt is the time of the request's arrival.
	ArrivedAt time.Time
	// Target, Service and Zone are those of the target that processed the request.
	Target, Service, Zone string
	// Method and Path are those of the request.
	Method, Path string
	// Checksum is a checksum of the body.
	Checksum uint32
	// Customer is the name of the customer in the request's header.
	Customer string
	// HasKey reports whether the request still carried the caller's API key.
	HasKey bool
}

// Config describes a target.
type Config struct {
	// ID is the instance ID, which only Restart keeps.
	ID string
	// Service is the service that the target runs.
	Service string
	// Zone is the availability zone.
	Zone string
	// HealthPath is the path of health checks; empty if there are none.
	HealthPath string
	// OnArrival, if not nil, is called for each request with its ID and time of arrival, also if the
	// request is rejected.
	OnArrival func(id string, at time.Time)
	// OnColdArrival, if not nil, is called for each request that arrives while the target is cold,
	// with the time of the target's start. Health checks and misdirected requests don't count.
	OnColdArrival func(target string, started, at time.Time)
	// OnRun, if not nil, is called for each request that is processed, with its ID.
	OnRun func(id string, r Run)
}

// Target is an HTTP handler that behaves like a target.
type Target struct {
	cfg Config
	// sem holds an element for each running request.
	sem chan struct{}

	mu        sync.Mutex
	started   time.Time
	coldUntil time.Time
	mode      Mode
	inFlight  int
	received  int
	draining  bool
	crashed   bool
}

// New returns a target that has just started and is not cold.
func New(cfg Config) *Target {
	return &Target{cfg: cfg, started: time.Now(), sem: make(chan struct{}, maxRunning)}
}

// ID returns the target's instance ID.
func (t *Target) ID() string {
	return t.cfg.ID
}

// Service returns the service that the target runs.
func (t *Target) Service() string {
	return t.cfg.Service
}

// Zone returns the target's availability zone.
func (t *Target) Zone() string {
	return t.cfg.Zone
}

// SetMode sets the mode for further requests.
func (t *Target) SetMode(m Mode) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.mode = m
}

// Drain marks the target as draining and reports whether it was serving and not draining.
func (t *Target) Drain() bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	wasServing := !t.crashed && !t.draining
	t.draining = t.draining || wasServing
	return wasServing
}

func (t *Target) isDraining() bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.draining
}

// admit returns the mode for a request, and whether a slot or a place in the queue is free for it.
func (t *Target) admit() (Mode, bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.received++
	m := ModeServe
	if t.mode == ModeSlow || t.received%faultInterval == 0 {
		m = t.mode
	}
	if t.inFlight >= maxRunning+maxQueued {
		return m, false
	}
	t.inFlight++
	return m, true
}

func (t *Target) release() {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.inFlight--
}

// load returns the value of platform.HeaderLoad: running requests, queued requests and slots.
func (t *Target) load() string {
	t.mu.Lock()
	defer t.mu.Unlock()
	return fmt.Sprintf("%d,%d,%d",
		min(t.inFlight, maxRunning), max(t.inFlight-maxRunning, 0), maxRunning)
}

// ServeHTTP handles a request.
func (t *Target) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	if r.URL.Path == t.cfg.HealthPath {
		t.serveHealth(w)
		return
	}
	body, err := io.ReadAll(r.Body)
	if err != nil {
		return
	}
	arrived := time.Now()
	id := r.Header.Get(platform.HeaderRequestID)
	if t.cfg.OnArrival != nil {
		t.cfg.OnArrival(id, arrived)
	}
	w.Header().Set(platform.HeaderRequestID, id)
	w.Header().Set(platform.HeaderLoad, t.load())
	if r.Header.Get(platform.HeaderExpectedTarget) != t.cfg.ID {
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	t.reportColdArrival(arrived)
	if t.isDraining() {
		w.Header().Set(platform.HeaderLeaving, "1")
	}
	m, admitted := t.admit()
	if !admitted || m == ModeShed || m == ModeHold {
		if admitted {
			t.release()
		}
		if m == ModeHold {
			w.Header().Set("Retry-After", holdTime)
		}
		w.Header().Set(platform.HeaderNotExecuted, "1")
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	defer t.release()
	t.sem <- struct{}{}
	defer func() { <-t.sem }()
	t.reportRun(id, arrived, r, body)
	if !simulateWork(r, m) {
		return
	}
	t.respond(w, id, m)
}

func (t *Target) reportRun(id string, arrived time.Time, r *http.Request, body []byte) {
	if t.cfg.OnRun == nil {
		return
	}
	t.cfg.OnRun(id, Run{
		ArrivedAt: arrived, Target: t.cfg.ID, Service: t.cfg.Service, Zone: t.cfg.Zone,
		Method: r.Method, Path: r.RequestURI, Checksum: crc32.ChecksumIEEE(body),
		Customer: r.Header.Get(platform.HeaderCustomer),
		HasKey:   r.Header.Get(platform.HeaderAPIKey) != "",
	})
}

// simulateWork waits for the processing time and reports whether the client is still connected.
func simulateWork(r *http.Request, m Mode) bool {
	d := workTime
	if m == ModeSlow {
		d *= slowFactor
	}
	select {
	case <-time.After(d):
		return true
	case <-r.Context().Done():
		return false
	}
}

func (t *Target) respond(w http.ResponseWriter, id string, m Mode) {
	body := ResponseBody(t.cfg.ID, id)
	if m == ModeDropResponse {
		panic(http.ErrAbortHandler)
	}
	w.Header().Set(platform.HeaderStamp, t.cfg.ID)
	w.Header().Set("Content-Length", strconv.Itoa(len(body)))
	if m == ModeFail {
		w.WriteHeader(http.StatusInternalServerError)
	}
	if m == ModeTruncate {
		_, _ = io.WriteString(w, body[:len(body)/2])
		panic(http.ErrAbortHandler)
	}
	_, _ = io.WriteString(w, body)
}

// ResponseBody returns the body of a target's response to a request.
func ResponseBody(target, id string) string {
	return fmt.Sprintf("answer of %s to %s\n", target, id)
}
