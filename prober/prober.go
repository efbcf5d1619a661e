package prober

import (
	"context"
	"encoding/json"
	"net/http"
	"sync"
	"time"

	"github.com/fescuethread/fescuethread/forwarder"
	"github.com/fescuethread/fescuethread/registrar"
	"github.com/fescuethread/fescuethread/scheduler"
	"github.com/fescuethread/fescuethread/timer"
)

const (
	// Period is the time between two probes of a target.
	Period = 2 * time.Second
	// timeout is the longest wait for a probe's answer.
	timeout = time.Second
	// workers is the number of probes at once.
	workers = 4
	// ringSize is the number of targets that may wait for a probe.
	ringSize = 1024

	healthPath = "/health"
	loadPath   = "/load"
)

// Targets exchanges requests with targets.
type Targets interface {
	Do(
		ctx context.Context, t forwarder.Target, r *forwarder.Request,
	) (*forwarder.Answer, error)
}

// Source lists the targets to probe.
type Source interface {
	NearTargets() []registrar.Target
}

// Sink takes the reports.
type Sink interface {
	Report(zone, target string, r scheduler.Report)
}

// Ticker gives the ticks at which all targets are probed.
type Ticker interface {
	C() <-chan timer.Tick
	Close()
}

// Prober probes targets.
type Prober struct {
	targets Targets
	source  Source
	sink    Sink
	ticker  Ticker
	ring    chan registrar.Target
}

// New returns a prober.
func New(t Targets, source Source, sink Sink, ticker Ticker) *Prober {
	return &Prober{
		targets: t,
		source:  source,
		sink:    sink,
		ticker:  ticker,
		ring:    make(chan registrar.Target, ringSize),
	}
}

// Run probes until ctx ends.
func (p *Prober) Run(ctx context.Context) error {
	var wg sync.WaitGroup
	defer wg.Wait()
	defer p.ticker.Close()
	for range workers {
		wg.Add(1)
		go func() {
			defer wg.Done()
			p.work(ctx)
		}()
	}
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-p.ticker.C():
			p.enqueue()
		}
	}
}

// enqueue drops what does not fit into the ring; the next tick brings it again.
func (p *Prober) enqueue() {
	for _, t := range p.source.NearTargets() {
		select {
		case p.ring <- t:
		default:
			return
		}
	}
}

func (p *Prober) work(ctx context.Context) {
	for {
		select {
		case <-ctx.Done():
			return
		case t := <-p.ring:
			p.probe(ctx, t)
		}
	}
}

// load is a target's load endpoint's answer.
type load struct {
	Busy int `json:"busy"`
}

// status is a target's health endpoint's answer.
type status struct {
	State string `json:"state"`
}

// stateDraining is the state of a target that asks for no new work.
const stateDraining = "draining"

// probe reports nothing when the load endpoint cannot be read: no news is no report.
func (p *Prober) probe(ctx context.Context, t registrar.Target) {
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	health, err := p.get(ctx, t, healthPath)
	if err != nil {
		return
	}
	r := scheduler.Report{At: timer.Now(), Ready: health.Status == http.StatusOK}
	var s status
	if json.Unmarshal(health.Body, &s) == nil {
		r.Draining = s.State == stateDraining
	}
	if answer, err := p.get(ctx, t, loadPath); err == nil {
		var l load
		if json.Unmarshal(answer.Body, &l) == nil {
			r.Busy = l.Busy
		}
	}
	p.sink.Report(t.Zone, t.Name, r)
}

func (p *Prober) get(
	ctx context.Context, t registrar.Target, path string,
) (*forwarder.Answer, error) {
	return p.targets.Do(ctx, forwarder.Target{
		Name:        t.Name,
		Address:     t.Address,
		Connections: t.Connections,
	}, &forwarder.Request{
		ID:         "probe-" + t.Name,
		Method:     http.MethodGet,
		Path:       path,
		Idempotent: true,
	})
}
