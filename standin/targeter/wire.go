package targeter

// Kind is the store's kind of objects that hold target entries.
const Kind = "servers"

// Spec is the specification of a target's entry, written when the target is started.
type Spec struct {
	// Address is the IP address and port.
	Address string `json:"address"`
	// StartMillis is the start time in Unix milliseconds.
	StartMillis int64 `json:"born"`
	// Info describes the target.
	Info Info `json:"info"`
}

// Info describes a target.
type Info struct {
	// Service is the service that the target runs.
	Service string `json:"service"`
	// Version is the version of the target's program.
	Version string `json:"version"`
	// Zone is the availability zone.
	Zone string `json:"zone"`
	// Slots is the maximum number of requests that run concurrently.
	Slots int `json:"slots"`
}

// Status is the status of a target's entry, kept up to date by the target.
type Status struct {
	// State is "ready" or "draining".
	State string `json:"state"`
	// Sequence increases with each change of the status.
	Sequence int `json:"seq"`
	// ColdRemainingMillis is the remaining warm-up time in milliseconds.
	ColdRemainingMillis int `json:"cold_left_ms"`
}

// Entry returns the target's entry in the store for an address.
func (t *Target) Entry(address string) (Spec, Status) {
	t.mu.Lock()
	defer t.mu.Unlock()
	s := Spec{Address: address, StartMillis: t.started.UnixMilli(), Info: Info{
		Service: t.cfg.Service, Version: "v1", Zone: t.cfg.Zone, Slots: maxRunning,
	}}
	status := Status{
		State: "ready", Sequence: 1, ColdRemainingMillis: int(t.coldRemaining().Milliseconds()),
	}
	if t.draining {
		status.State, status.Sequence = "draining", 2
	}
	return s, status
}
