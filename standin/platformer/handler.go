package platformer

import (
	"encoding/json"
	"io"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"time"
)

// Mode is how a Handler treats requests.
type Mode int

const (
	// ModeServe serves requests normally.
	ModeServe Mode = iota
	// ModeUnavailable responds with 503 to every request.
	ModeUnavailable
	// ModeRateLimit responds with 429 to every request.
	ModeRateLimit
	// ModeSlow delays every request by slowDelay.
	ModeSlow
	// ModeDropResponse executes a write, but closes its connection without a response.
	ModeDropResponse
	// ModeDelayWrite closes the connection of a write without a response and executes the write after
	// lateWriteDelay.
	ModeDelayWrite

	// ModeCount is the number of modes.
	ModeCount
)

const (
	// slowDelay is the delay of requests in ModeSlow.
	slowDelay = 400 * time.Millisecond
	// lateWriteDelay is the delay of writes in ModeDelayWrite.
	lateWriteDelay = time.Second
)

// PathObjects is the path prefix of all objects.
const PathObjects = "/v1/objects/"

// Handler serves a store over HTTP. Each client gets one of its own, so that faults can be
// injected for single clients.
type Handler struct {
	// Edit, if not nil, changes each object that the client writes before it is stored. It must be
	// set before the first request.
	Edit func(kind string, o *Object)

	store *Store

	// late counts the writes that are still to be executed.
	late sync.WaitGroup

	mu   sync.Mutex
	mode Mode
}

// NewHandler returns a handler in ModeServe.
func NewHandler(s *Store) *Handler {
	return &Handler{store: s}
}

// SetMode sets the mode for further requests.
func (h *Handler) SetMode(m Mode) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.mode = m
}

// AwaitWrites waits until the delayed writes have been executed.
func (h *Handler) AwaitWrites() {
	// A write may have been counted by a goroutine that this one only knows by its closed connection.
	h.mu.Lock()
	late := &h.late
	h.mu.Unlock()
	late.Wait()
}

func (h *Handler) addLate() {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.late.Add(1)
}

func (h *Handler) currentMode() Mode {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.mode
}

// ServeHTTP handles a request.
func (h *Handler) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	body, err := io.ReadAll(r.Body)
	if err != nil {
		return
	}
	mode := h.currentMode()
	switch mode {
	case ModeUnavailable:
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	case ModeRateLimit:
		w.WriteHeader(http.StatusTooManyRequests)
		return
	case ModeSlow:
		<-time.After(slowDelay)
	}
	kind, name, _ := strings.Cut(strings.TrimPrefix(r.URL.Path, PathObjects), "/")
	if r.Method == http.MethodGet {
		h.handleRead(w, r, kind, name)
		return
	}
	if mode == ModeDelayWrite {
		h.addLate()
		time.AfterFunc(lateWriteDelay, func() {
			defer h.late.Done()
			h.execute(r, kind, name, body)
		})
		panic(http.ErrAbortHandler)
	}
	status, o := h.execute(r, kind, name, body)
	if mode == ModeDropResponse {
		panic(http.ErrAbortHandler)
	}
	writeResponse(w, status, o)
}

// execute executes a write and returns the status and object of the response.
func (h *Handler) execute(r *http.Request, kind, name string, body []byte) (int, Object) {
	var o Object
	if r.Method != http.MethodDelete {
		if err := json.Unmarshal(body, &o); err != nil {
			return http.StatusBadRequest, o
		}
	}
	if q := r.URL.Query(); q.Has("revision") {
		revision, err := strconv.ParseUint(q.Get("revision"), 10, 64)
		if err != nil {
			return http.StatusBadRequest, o
		}
		o.Meta.Revision = revision
	}
	if name != "" {
		o.Meta.Name = name
	}
	if h.Edit != nil {
		h.Edit(kind, &o)
	}
	return h.store.execute(r.Method, kind, o)
}

func (h *Handler) handleRead(w http.ResponseWriter, r *http.Request, kind, name string) {
	q := r.URL.Query()
	switch {
	case name != "":
		status, o := h.store.get(kind, name)
		writeResponse(w, status, o)
	case q.Has("watch"):
		after, err := strconv.ParseUint(q.Get("watch"), 10, 64)
		if err != nil {
			w.WriteHeader(http.StatusBadRequest)
			return
		}
		wait, err := strconv.Atoi(q.Get("wait_ms"))
		if err != nil {
			w.WriteHeader(http.StatusBadRequest)
			return
		}
		status, e := h.store.watch(r, kind, after, time.Duration(wait)*time.Millisecond)
		writeResponse(w, status, e)
	default:
		writeResponse(w, http.StatusOK, h.store.list(kind))
	}
}

func writeResponse(w http.ResponseWriter, status int, v interface{}) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	// The client may have disconnected.
	_, _ = w.Write(encode(v))
}
