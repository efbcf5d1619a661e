package enforcer

import (
	"context"
	"slices"
	"sync"
	"time"

	"github.com/pkg/errors"

	"github.com/fescuethread/fescuethread/authenticator"
	"github.com/fescuethread/fescuethread/carrier"
	"github.com/fescuethread/fescuethread/drainer"
	"github.com/fescuethread/fescuethread/locator"
	"github.com/fescuethread/fescuethread/logger"
	"github.com/fescuethread/fescuethread/messenger"
	"github.com/fescuethread/fescuethread/registrar"
	"github.com/fescuethread/fescuethread/watcher"
)

const (
	// DocumentInventory is the name of the inventory.
	DocumentInventory = "config/inventory"
	// DocumentKeys is the name of the list of granted keys.
	DocumentKeys = "config/keys"
)

// Follower takes every configuration that comes in force.
type Follower interface {
	// Follow is called with the configuration before requests see it.
	Follow(c Configuration) error
}

// Configuration is everything that the operators laid down; it is immutable.
type Configuration struct {
	// Inventory is the checked inventory.
	Inventory *registrar.Inventory
	// Version is the inventory's version.
	Version uint64
	// Keys holds the granted keys.
	Keys *authenticator.Ring
	// KeysVersion is the version of the list of keys.
	KeysVersion uint64
	// Drains are the planned drains.
	Drains drainer.Plan
	// DrainsVersion is the version of the planned drains.
	DrainsVersion uint64
}

// Enforcer holds the configuration in force.
type Enforcer struct {
	follower Follower
	lifetime time.Duration
	log      *logger.Logger

	mu       sync.Mutex
	current  Configuration
	snapshot *carrier.Snapshot
	table    *locator.Table
}

// New returns an enforcer without a configuration; lifetime is that of look-up answers.
func New(f Follower, lifetime time.Duration, l *logger.Logger) *Enforcer {
	return &Enforcer{follower: f, lifetime: lifetime, log: l}
}

// Checker refuses documents that could not be put in force.
type Checker struct{}

// Check refuses a document that could not be put in force.
func (Checker) Check(d watcher.Document) error {
	_, err := Configuration{}.with(d)
	return err
}

// Subscriber gives the versions of a document that were accepted.
type Subscriber interface {
	Subscribe(name string) *watcher.Subscription
}

// Run puts accepted documents in force until ctx ends.
func (e *Enforcer) Run(ctx context.Context, s Subscriber) error {
	inventory := s.Subscribe(DocumentInventory)
	defer inventory.Close()
	keys := s.Subscribe(DocumentKeys)
	defer keys.Close()
	drains := s.Subscribe(drainer.Document)
	defer drains.Close()
	for {
		select {
		case <-ctx.Done():
			return nil
		case d := <-inventory.C():
			e.enforce(d)
		case d := <-keys.C():
			e.enforce(d)
		case d := <-drains.C():
			e.enforce(d)
		}
	}
}

func (e *Enforcer) enforce(d watcher.Document) {
	err := e.apply(d)
	fields := []logger.Field{logger.F("document", d.Name), logger.F("version", d.Version)}
	if err != nil {
		e.log.Log(eventFailed, append(fields, logger.F("cause", err.Error()))...)
		return
	}
	e.log.Log(eventInForce, fields...)
}

func (e *Enforcer) apply(d watcher.Document) error {
	next, err := e.Configuration().with(d)
	if err != nil {
		return err
	}
	if err := e.follower.Follow(next); err != nil {
		return &Error{Op: "follow " + d.Name, Kind: KindDocument, Err: err}
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	e.current = next
	if d.Name == DocumentInventory {
		e.table = locator.New(next.Inventory).WithLifetime(e.lifetime)
	}
	e.snapshot = toSnapshot(next, e.table)
	return nil
}

// toSnapshot returns nil until there are an inventory and a list of keys.
func toSnapshot(c Configuration, t *locator.Table) *carrier.Snapshot {
	if c.Inventory == nil || c.Keys == nil {
		return nil
	}
	return &carrier.Snapshot{
		Inventory: c.Inventory,
		Version:   c.Version,
		Table:     t,
		Ring:      c.Keys,
	}
}

// Configuration returns the configuration in force.
func (e *Enforcer) Configuration() Configuration {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.current
}

// Snapshot returns what requests are served by, or nil before there is a configuration.
func (e *Enforcer) Snapshot() *carrier.Snapshot {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.snapshot
}

// Inventory returns the inventory in force, or nil.
func (e *Enforcer) Inventory() *registrar.Inventory {
	return e.Configuration().Inventory
}

// DrainsZone reports whether a zone takes no new work.
func (e *Enforcer) DrainsZone(zone string) bool {
	c := e.Configuration()
	return c.Inventory != nil && c.Drains.Zone(c.Inventory, zone)
}

// Versions returns the versions in force, for heartbeats.
func (e *Enforcer) Versions() []*messenger.DocumentVersion {
	c := e.Configuration()
	all := []*messenger.DocumentVersion{
		{Name: DocumentInventory, Version: c.Version},
		{Name: DocumentKeys, Version: c.KeysVersion},
		{Name: drainer.Document, Version: c.DrainsVersion},
	}
	return slices.DeleteFunc(all, func(v *messenger.DocumentVersion) bool { return v.Version == 0 })
}

// with returns the configuration with a document put in.
func (c Configuration) with(d watcher.Document) (Configuration, error) {
	var err error
	switch d.Name {
	case DocumentInventory:
		c.Inventory, err = registrar.Parse(d.Name, d.Body)
		c.Version = d.Version
	case DocumentKeys:
		c.Keys, err = parseKeys(d)
		c.KeysVersion = d.Version
	case drainer.Document:
		c.Drains, err = drainer.Parse(d.Body)
		c.DrainsVersion = d.Version
	default:
		err = errors.Errorf("no part of this program reads %q", d.Name)
	}
	if err != nil {
		return c, &Error{Op: "check " + d.Name, Kind: KindDocument, Err: err}
	}
	return c, nil
}

func parseKeys(d watcher.Document) (*authenticator.Ring, error) {
	keys, err := authenticator.ParseDocument(d.Body)
	if err != nil {
		return nil, err
	}
	return authenticator.NewRing(keys, d.Version), nil
}
