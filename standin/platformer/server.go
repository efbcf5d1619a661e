package platformer

import (
	"context"
	"encoding/json"
	"io"
	"net/http"
	"strconv"
	"sync/atomic"
	"time"

	"github.com/fescuethread/fescuethread/storer"
)

// maxWait bounds how long a watch waits.
const maxWait = 5 * time.Minute

// Config holds a server's settings.
type Config struct {
	// Lag is the time until a change of a host shows in the list of hosts.
	Lag time.Duration
	// Now is the clock that Lag is measured on; nil stands for time.Now.
	Now func() time.Time
}

// Server is the platform's API as an HTTP handler.
type Server struct {
	mux     *http.ServeMux
	store   *store
	hosts   *hostList
	faults  *faultSet
	reads   atomic.Uint64
	writes  atomic.Uint64
	watches atomic.Uint64
}

// New returns a server with an empty store.
func New(cfg Config) *Server {
	now := cfg.Now
	if now == nil {
		now = time.Now
	}
	s := &Server{
		mux:    http.NewServeMux(),
		store:  newStore(),
		hosts:  newHostList(cfg.Lag, now),
		faults: newFaultSet(),
	}
	s.mux.Handle("GET "+storer.ObjectsPath, s.gate(s.list))
	s.mux.Handle("GET "+storer.ObjectsPath+"/{name...}", s.gate(s.get))
	s.mux.Handle("PUT "+storer.ObjectsPath+"/{name...}", s.gate(s.write(s.put)))
	s.mux.Handle("DELETE "+storer.ObjectsPath+"/{name...}", s.gate(s.write(s.remove)))
	s.mux.Handle("GET "+storer.HostsPath, s.gate(s.listHosts))
	s.mux.HandleFunc("PUT "+storer.HostsPath+"/{name}", s.putHost)
	s.mux.HandleFunc("POST /control/faults", s.postFaults)
	s.mux.HandleFunc("POST /control/land", func(http.ResponseWriter, *http.Request) { s.Land() })
	s.mux.HandleFunc("GET /control/calls", s.getCalls)
	return s
}

// ServeHTTP answers a request.
func (s *Server) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	s.mux.ServeHTTP(w, r)
}

// SetFaults replaces the faults in force.
func (s *Server) SetFaults(f Faults) {
	s.faults.set(f)
}

// Land lets the writes that were held by Faults.Late take effect.
func (s *Server) Land() {
	s.faults.land()
}

// SetHost puts a host into the list as live or leaving, or takes it off as gone.
func (s *Server) SetHost(name, state string) {
	s.hosts.set(name, state)
}

// Calls returns the number of calls so far; a waiting watch counts as one.
func (s *Server) Calls() Calls {
	return Calls{
		Reads:   s.reads.Load(),
		Writes:  s.writes.Load(),
		Watches: s.watches.Load(),
	}
}

// gate applies the faults that concern every call.
func (s *Server) gate(next http.HandlerFunc) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		s.faults.delay(r.Context())
		if down, _ := s.faults.down(); down {
			panic(http.ErrAbortHandler)
		}
		next(w, r)
	})
}

// write runs a write with the fate that the faults give it.
func (s *Server) write(do func(write) result) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		s.writes.Add(1)
		in, status := readWrite(w, r)
		if status != http.StatusOK {
			w.WriteHeader(status)
			return
		}
		switch s.faults.nextWrite() {
		case fateServe:
			do(in).send(w)
			return
		case fateLose:
			do(in)
		case fateLate:
			s.faults.hold(func() { do(in) })
		}
		panic(http.ErrAbortHandler)
	}
}

type write struct {
	storer.Write
	method string
}

type result struct {
	status  int
	version uint64
}

func (r result) send(w http.ResponseWriter) {
	if r.version > 0 {
		w.Header().Set("ETag", storer.FormatVersion(r.version))
	}
	w.WriteHeader(r.status)
}

func readWrite(w http.ResponseWriter, r *http.Request) (write, int) {
	in := write{method: r.Method}
	in.Name = r.PathValue("name")
	in.Change = r.Header.Get(storer.ChangeHeader)
	body, err := io.ReadAll(http.MaxBytesReader(w, r.Body, storer.MaxBodyBytes))
	if err != nil {
		return in, http.StatusRequestEntityTooLarge
	}
	in.Body = body
	if r.Header.Get("If-None-Match") == "*" {
		return in, http.StatusOK
	}
	tag := r.Header.Get("If-Match")
	if tag == "" {
		return in, http.StatusPreconditionRequired
	}
	in.Expected, err = storer.ParseVersion(tag)
	if err != nil || in.Expected == 0 {
		return in, http.StatusBadRequest
	}
	return in, http.StatusOK
}

func (s *Server) put(in write) result {
	o, ok := s.store.put(in.Write)
	if !ok {
		return result{status: http.StatusPreconditionFailed}
	}
	return result{status: http.StatusOK, version: o.Version}
}

func (s *Server) remove(in write) result {
	if !s.store.remove(in.Name, in.Expected) {
		return result{status: http.StatusPreconditionFailed}
	}
	return result{status: http.StatusNoContent}
}

func (s *Server) get(w http.ResponseWriter, r *http.Request) {
	s.reads.Add(1)
	o, ok := s.store.get(r.PathValue("name"))
	if !ok {
		w.WriteHeader(http.StatusNotFound)
		return
	}
	w.Header().Set("ETag", storer.FormatVersion(o.Version))
	w.Header().Set(storer.ChangeHeader, o.Change)
	_, _ = w.Write(o.Body)
}

func (s *Server) list(w http.ResponseWriter, r *http.Request) {
	q := r.URL.Query()
	prefix := q.Get("prefix")
	if !q.Has("after") {
		s.reads.Add(1)
		l, _ := s.store.list(prefix, 0)
		sendListing(w, l)
		return
	}
	s.watches.Add(1)
	after, err := strconv.ParseUint(q.Get("after"), 10, 64)
	wait, waitErr := time.ParseDuration(q.Get("wait"))
	if err != nil || waitErr != nil || wait < 0 || wait > maxWait {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	ctx, cancel := context.WithTimeout(r.Context(), wait)
	defer cancel()
	sendListing(w, s.watch(ctx, prefix, after))
}

func (s *Server) watch(ctx context.Context, prefix string, after uint64) storer.Listing {
	for {
		_, fell := s.faults.down()
		l, changed := s.store.list(prefix, after)
		if len(l.Objects) > 0 {
			return l
		}
		select {
		case <-ctx.Done():
			return l
		case <-fell:
			panic(http.ErrAbortHandler)
		case <-changed:
		}
	}
}

func (s *Server) listHosts(w http.ResponseWriter, _ *http.Request) {
	s.reads.Add(1)
	sendJSON(w, storer.WireHosts{Hosts: s.hosts.list()})
}

func sendListing(w http.ResponseWriter, l storer.Listing) {
	wire := storer.WireListing{
		Revision: l.Revision,
		Objects:  make([]storer.WireObject, 0, len(l.Objects)),
	}
	for _, o := range l.Objects {
		wire.Objects = append(wire.Objects, storer.WireObject(o))
	}
	sendJSON(w, wire)
}

func sendJSON(w http.ResponseWriter, v interface{}) {
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(v)
}
