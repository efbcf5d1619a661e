package platformer

import (
	"encoding/json"
	"io"
	"net/http"
	"strings"
	"time"

	"github.com/fescuethread/fescuethread/storer"
)

const maxControlBytes = 64 << 10

type wireFaults struct {
	Down  bool   `json:"down"`
	Delay string `json:"delay"`
	Lose  int    `json:"lose"`
	Drop  int    `json:"drop"`
	Late  int    `json:"late"`
}

func (s *Server) postFaults(w http.ResponseWriter, r *http.Request) {
	var wire wireFaults
	d := json.NewDecoder(http.MaxBytesReader(w, r.Body, maxControlBytes))
	d.DisallowUnknownFields()
	if err := d.Decode(&wire); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	f := Faults{Down: wire.Down, Lose: wire.Lose, Drop: wire.Drop, Late: wire.Late}
	if wire.Delay != "" {
		delay, err := time.ParseDuration(wire.Delay)
		if err != nil {
			http.Error(w, err.Error(), http.StatusBadRequest)
			return
		}
		f.Delay = delay
	}
	s.SetFaults(f)
}

func (s *Server) getCalls(w http.ResponseWriter, _ *http.Request) {
	sendJSON(w, s.Calls())
}

func (s *Server) putHost(w http.ResponseWriter, r *http.Request) {
	body, err := io.ReadAll(http.MaxBytesReader(w, r.Body, maxControlBytes))
	if err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	state := strings.TrimSpace(string(body))
	switch state {
	case string(storer.HostLive), string(storer.HostLeaving), hostGone:
		s.SetHost(r.PathValue("name"), state)
	default:
		http.Error(w, "the state is none of live, leaving, gone", http.StatusBadRequest)
	}
}
