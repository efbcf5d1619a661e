package watcher

import (
	"context"
	"math/rand"
	"sync"
	"time"

	"github.com/pkg/errors"

	"github.com/fescuethread/fescuethread/logger"
	"github.com/fescuethread/fescuethread/pacer"
)

// heardSize is the number of reports that wait to be looked at.
const heardSize = 256

// Fetcher fetches a document at or above the wanted version from a peer.
type Fetcher interface {
	Fetch(ctx context.Context, host string, wanted Version) (Document, error)
}

// PullerConfig holds a puller's parts.
type PullerConfig struct {
	// Shelf is offered the documents.
	Shelf *Shelf
	// Fetcher asks a peer for a document.
	Fetcher Fetcher
	// Settle is how long reports are collected before the first fetch, so that a host that starts
	// takes the newest version that its peers have.
	Settle time.Duration
	// Pauser waits for Settle.
	Pauser pacer.Pauser
	// Timeout bounds each fetch.
	Timeout time.Duration
	// Rand picks among the peers.
	Rand *rand.Rand
	// Log receives the puller's events.
	Log *logger.Logger
}

// Puller takes documents from peers that report newer ones.
type Puller struct {
	cfg     PullerConfig
	heard   chan report
	fetched chan outcome
	pulls   map[string]*pull
	fetches sync.WaitGroup
	settled bool
}

// outcome is the end of one fetch.
type outcome struct {
	source report
	doc    Document
	err    error
}

// NewPuller returns a puller that has heard of nothing.
func NewPuller(cfg PullerConfig) *Puller {
	return &Puller{
		cfg:     cfg,
		heard:   make(chan report, heardSize),
		fetched: make(chan outcome),
		pulls:   make(map[string]*pull),
	}
}

// Hear takes the versions that a peer reports; a fetch that failed is tried again at the peer's
// next report.
func (p *Puller) Hear(host string, versions []Version) {
	for _, v := range versions {
		p.cfg.Shelf.Hear(v)
		if !p.cfg.Shelf.Wants(v) {
			continue
		}
		select {
		case p.heard <- report{host: host, version: v}:
		default:
		}
	}
}

// Run fetches documents until ctx ends, one fetch at a time for each document.
func (p *Puller) Run(ctx context.Context) error {
	defer p.fetches.Wait()
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	settled := p.settle(ctx)
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-settled:
			settled = nil
			p.settled = true
			p.startAll(ctx)
		case r := <-p.heard:
			p.pull(r.version.Name).add(r)
			p.start(ctx, r.version.Name)
		case o := <-p.fetched:
			p.finish(o)
			p.start(ctx, o.source.version.Name)
		}
	}
}

// settle returns a channel that is closed once fetches may begin.
func (p *Puller) settle(ctx context.Context) <-chan struct{} {
	settled := make(chan struct{})
	p.fetches.Go(func() {
		if p.cfg.Pauser.Pause(ctx, p.cfg.Settle) == nil {
			close(settled)
		}
	})
	return settled
}

func (p *Puller) startAll(ctx context.Context) {
	for name := range p.pulls {
		p.start(ctx, name)
	}
}

// start begins the document's next fetch if one is due.
func (p *Puller) start(ctx context.Context, name string) {
	if !p.settled {
		return
	}
	if source, ok := p.next(name); ok {
		p.fetches.Go(func() { p.fetch(ctx, source) })
	}
}

func (p *Puller) pull(name string) *pull {
	u, ok := p.pulls[name]
	if !ok {
		u = &pull{}
		p.pulls[name] = u
	}
	return u
}

// next picks the source of the document's next fetch.
func (p *Puller) next(name string) (report, bool) {
	u := p.pull(name)
	u.keep(p.cfg.Shelf.Wants)
	if u.inFlight || len(u.sources) == 0 {
		return report{}, false
	}
	u.inFlight = true
	return u.take(p.cfg.Rand), true
}

func (p *Puller) fetch(ctx context.Context, source report) {
	fetchCtx, cancel := context.WithTimeout(ctx, p.cfg.Timeout)
	defer cancel()
	doc, err := p.cfg.Fetcher.Fetch(fetchCtx, source.host, source.version)
	if err == nil {
		err = checkFetched(doc, source.version)
	}
	select {
	case p.fetched <- outcome{source: source, doc: doc, err: err}:
	case <-ctx.Done():
	}
}

func checkFetched(doc Document, wanted Version) error {
	if doc.Name != wanted.Name || doc.Version < wanted.Version {
		err := errors.Errorf("got %s %d for %s %d", doc.Name, doc.Version, wanted.Name, wanted.Version)
		return &Error{Op: "fetch " + wanted.Name, Kind: KindFetch, Err: err}
	}
	return nil
}

func (p *Puller) finish(o outcome) {
	p.pull(o.source.version.Name).inFlight = false
	host := logger.F("host", o.source.host)
	name := logger.F("document", o.source.version.Name)
	if o.err != nil {
		p.cfg.Log.Log(eventNotFetched, host, name, logger.F("cause", o.err.Error()))
		return
	}
	// The shelf logs a refusal, after which the version is no longer missing.
	if accepted, _ := p.cfg.Shelf.Offer(o.doc); accepted {
		p.cfg.Log.Log(eventFetched, host, name, logger.F("version", o.doc.Version))
	}
}
