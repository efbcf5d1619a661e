package targeter

import (
	"encoding/json"
	"net/http"
	"time"
)

const maxControlBytes = 64 << 10

// Status is the JSON answer of the health endpoint.
type Status struct {
	Target string `json:"target"`
	State  string `json:"state"`
}

// Load is the JSON answer of the load endpoint.
type Load struct {
	Slots int    `json:"slots"`
	Busy  int    `json:"busy"`
	State string `json:"state"`
}

const (
	stateReady    = "ready"
	stateDraining = "draining"
	stateFailing  = "failing"
)

type wireBehavior struct {
	Fault       Fault  `json:"fault"`
	Count       int    `json:"count"`
	Delay       string `json:"delay"`
	AnswerBytes int    `json:"answerBytes"`
	RetryAfter  string `json:"retryAfter"`
	Health      Health `json:"health"`
	Draining    bool   `json:"draining"`
	Busy        int    `json:"busy"`
	Crash       string `json:"crash"`
}

func (t *Target) health(w http.ResponseWriter, _ *http.Request) {
	state := t.state()
	status := http.StatusOK
	if state != stateReady {
		status = http.StatusServiceUnavailable
	}
	sendJSON(w, status, Status{Target: t.cfg.Name, State: state})
}

func (t *Target) state() string {
	b := t.manners.get()
	switch {
	case b.Health != HealthTrue:
		return string(b.Health)
	case b.Draining:
		return stateDraining
	case b.Fault == FaultFail:
		return stateFailing
	default:
		return stateReady
	}
}

func (t *Target) load(w http.ResponseWriter, _ *http.Request) {
	busy := t.counter.running() + t.manners.get().Busy
	sendJSON(w, http.StatusOK, Load{Slots: t.cfg.Slots, Busy: busy, State: t.state()})
}

func (t *Target) getRuns(w http.ResponseWriter, _ *http.Request) {
	sendJSON(w, http.StatusOK, t.Runs())
}

func (t *Target) postControl(w http.ResponseWriter, r *http.Request) {
	var wire wireBehavior
	d := json.NewDecoder(http.MaxBytesReader(w, r.Body, maxControlBytes))
	d.DisallowUnknownFields()
	err := d.Decode(&wire)
	if err == nil {
		err = t.apply(wire)
	}
	if err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
	}
}

func (t *Target) apply(wire wireBehavior) error {
	delay, err := parseDuration(wire.Delay)
	if err != nil {
		return err
	}
	after, err := parseDuration(wire.RetryAfter)
	if err != nil {
		return err
	}
	return t.SetBehavior(Behavior{
		Fault:       wire.Fault,
		Count:       wire.Count,
		Delay:       delay,
		AnswerBytes: wire.AnswerBytes,
		RetryAfter:  after,
		Health:      wire.Health,
		Draining:    wire.Draining,
		Busy:        wire.Busy,
		Crash:       wire.Crash,
	})
}

func parseDuration(s string) (time.Duration, error) {
	if s == "" {
		return 0, nil
	}
	return time.ParseDuration(s)
}
