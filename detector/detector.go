package detector

import (
	"sync"

	"github.com/fescuethread/fescuethread/messenger"
	"github.com/fescuethread/fescuethread/timer"
)

// Detector is a Table that is safe for concurrent use.
type Detector struct {
	mu    sync.Mutex
	table *Table
}

// New returns a detector that knows only its own host.
func New(cfg Config) (*Detector, error) {
	table, err := NewTable(cfg)
	if err != nil {
		return nil, err
	}
	return &Detector{table: table}, nil
}

// Configure replaces the list of hosts.
func (d *Detector) Configure(now timer.Instant, hosts []HostInfo) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.table.Configure(now, hosts)
}

// Update calls change with the table, to set what the own heartbeat says.
func (d *Detector) Update(change func(t *Table)) {
	d.mu.Lock()
	defer d.mu.Unlock()
	change(d.table)
}

// Tick makes the next heartbeat and returns the digests to send.
func (d *Detector) Tick(now timer.Instant) []Message {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.table.Tick(now)
}

// Receive takes in a digest and returns the answer for its sender.
func (d *Detector) Receive(
	now timer.Instant, from string, digest *messenger.Digest,
) *messenger.Digest {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.table.Receive(now, from, digest)
}

// Listed takes in the platform's list of hosts.
func (d *Detector) Listed(now timer.Instant, hosts []ListedHost) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.table.Listed(now, hosts)
}

// Replaced reports whether a higher incarnation of the own host was heard of.
func (d *Detector) Replaced() bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.table.Replaced()
}

// State returns the conclusion on one host.
func (d *Detector) State(now timer.Instant, host string) State {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.table.State(now, host)
}

// Member returns the conclusion on one host and whether the host is in the inventory.
func (d *Detector) Member(now timer.Instant, host string) (MemberView, bool) {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.table.Member(now, host)
}

// Members returns the conclusions on all other hosts by name.
func (d *Detector) Members(now timer.Instant) []MemberView {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.table.Members(now)
}

// Zones returns the conclusions on all availability zones by name.
func (d *Detector) Zones(now timer.Instant) []ZoneView {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.table.Zones(now)
}

// Reachable returns how much of each other zone and of each region can be heard.
func (d *Detector) Reachable(now timer.Instant) Reach {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.table.Reachable(now)
}

// Readers returns the hosts of a zone that read the platform.
func (d *Detector) Readers(now timer.Instant, zone string) []string {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.table.Readers(now, zone)
}

// IsReader reports whether this host reads the platform for its zone.
func (d *Detector) IsReader(now timer.Instant) bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.table.IsReader(now)
}

// Highest returns the highest version of a document heard of and the present hosts that hold it.
func (d *Detector) Highest(now timer.Instant, document string) (uint64, []string) {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.table.Highest(now, document)
}

// Snapshot returns the whole table.
func (d *Detector) Snapshot(now timer.Instant) Snapshot {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.table.Snapshot(now)
}
