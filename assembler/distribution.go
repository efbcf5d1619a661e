package assembler

import (
	"context"
	"math/rand"
	"time"

	"golang.org/x/sync/errgroup"

	"github.com/fescuethread/fescuethread/detector"
	"github.com/fescuethread/fescuethread/drainer"
	"github.com/fescuethread/fescuethread/enforcer"
	"github.com/fescuethread/fescuethread/logger"
	"github.com/fescuethread/fescuethread/messenger"
	"github.com/fescuethread/fescuethread/pacer"
	"github.com/fescuethread/fescuethread/storer"
	"github.com/fescuethread/fescuethread/timer"
	"github.com/fescuethread/fescuethread/watcher"
)

const (
	// firstBackoff and longestBackoff bound the delays between failed calls to the platform.
	firstBackoff   = 200 * time.Millisecond
	longestBackoff = 5 * time.Second
	// settle is the time for which a starting host collects reports before its first fetch.
	settle = 500 * time.Millisecond
	// listPeriod is the time between two readings of the platform's list of hosts.
	listPeriod = 5 * time.Second
)

// documents lists the documents that a host needs.
func documents() []string {
	return []string{enforcer.DocumentInventory, enforcer.DocumentKeys, drainer.Document}
}

// buildDistribution builds what brings documents from the platform and from peers.
func (h *Host) buildDistribution() {
	s := h.settings
	random := func() *rand.Rand { return rand.New(rand.NewSource(int64(h.incarnation))) }
	h.store = storer.New("http://"+s.Platform.Address, h.client, s.Platform.Timeout.Std())
	h.roll = newRoll()
	h.shelf = watcher.NewShelf(enforcer.Checker{}, h.log)
	h.reader = watcher.NewReader(watcher.ReaderConfig{
		Platform: h.store,
		Elector:  h,
		Shelf:    h.shelf,
		Wait:     s.Platform.Watch.Std(),
		Backoff:  pacer.New(firstBackoff, longestBackoff, random(), pacer.Clock{}),
		Pauser:   pacer.Clock{},
		Now:      timer.Now,
		Log:      h.log,
	})
	h.puller = watcher.NewPuller(watcher.PullerConfig{
		Shelf:   h.shelf,
		Fetcher: h.peers,
		Settle:  settle,
		Pauser:  pacer.Clock{},
		Timeout: s.Peers.Timeout.Std(),
		Rand:    random(),
		Log:     h.log,
	})
}

// Elected reports whether this host reads the platform for its availability zone.
func (h *Host) Elected() bool {
	return h.detector.IsReader(timer.Now())
}

// runConfiguration puts documents in force and fetches newer ones, until ctx ends.
func (h *Host) runConfiguration(ctx context.Context) error {
	g, ctx := errgroup.WithContext(ctx)
	g.Go(func() error { return h.enforcer.Run(ctx, h.shelf) })
	g.Go(func() error { return h.puller.Run(ctx) })
	g.Go(func() error { return h.reader.Run(ctx) })
	g.Go(func() error { return h.runSeeds(ctx) })
	g.Go(func() error { return h.runList(ctx) })
	return g.Wait()
}

// pull hears which documents the members hold, so that newer ones are fetched from them.
func (h *Host) pull(members []detector.MemberView) {
	for _, m := range members {
		if m.State != detector.StateLive && m.State != detector.StateLeaving {
			continue
		}
		h.puller.Hear(m.Host.Name, toVersions(m.Documents))
	}
}

func toVersions(in []*messenger.DocumentVersion) []watcher.Version {
	out := make([]watcher.Version, 0, len(in))
	for _, d := range in {
		if d.GetName() == versionOfLimits {
			continue
		}
		out = append(out, watcher.Version{Name: d.GetName(), Version: d.GetVersion()})
	}
	return out
}

// runSeeds asks the seeds for documents until this host has them, because a host that starts in an
// outage of the platform knows no members yet.
func (h *Host) runSeeds(ctx context.Context) error {
	ticker := h.timer.Subscribe(h.settings.Peers.Beat.Std())
	defer ticker.Close()
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-ticker.C():
			if h.enforcer.Snapshot() != nil {
				return nil
			}
			h.askSeeds()
		}
	}
}

func (h *Host) askSeeds() {
	for _, seed := range h.settings.Peers.Seeds {
		if seed == h.settings.Listen.Peer {
			continue
		}
		for _, name := range documents() {
			h.puller.Hear(seed, []watcher.Version{{Name: name, Version: 1}})
		}
	}
}

// runList reads the platform's list of hosts while this host is a reader.
func (h *Host) runList(ctx context.Context) error {
	ticker := h.timer.Subscribe(listPeriod)
	defer ticker.Close()
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-ticker.C():
			h.readList(ctx)
		}
	}
}

func (h *Host) readList(ctx context.Context) {
	if !h.Elected() {
		return
	}
	listed, err := h.store.Hosts(ctx)
	if err != nil {
		h.log.Log(eventListFailed, logger.F("cause", err.Error()))
		return
	}
	h.detector.Listed(timer.Now(), h.roll.read(listed))
}
