package announcer

import (
	"sort"
	"sync"
	"time"

	"github.com/fescuethread/fescuethread/messenger"
	"github.com/fescuethread/fescuethread/timer"
)

// Member is a host that has registered itself in the store.
type Member struct {
	// Name identifies the host.
	Name string
	// Zone is its availability zone.
	Zone string
	// Region is the region of Zone.
	Region string
	// CallerAddress is the IP address and port on which it serves callers.
	CallerAddress string
	// PeerAddress is the IP address and port on which it serves other hosts, over UDP and TCP.
	PeerAddress string
	// Capacity is the number of requests per second that it can carry; 0 means unknown.
	Capacity uint32
}

// Peer is another member with its latest heartbeat.
type Peer struct {
	Member
	// HeartbeatAt is when the latest heartbeat arrived; 0 before the first one.
	HeartbeatAt timer.Instant
	// Heartbeat is the latest heartbeat; nil before the first one.
	Heartbeat *messenger.Beat
	// SeenAt is when the host was last known to be live, by a heartbeat or a digest, or when it was
	// first listed.
	SeenAt timer.Instant
}

// Live reports whether a heartbeat has arrived within the timeout.
func (p *Peer) Live(now timer.Instant, timeout time.Duration) bool {
	return p.Heartbeat != nil && now.Sub(p.HeartbeatAt) <= timeout
}

// Serving reports whether the peer is live, ready and not shutting down.
func (p *Peer) Serving(now timer.Instant, timeout time.Duration) bool {
	return p.Live(now, timeout) && p.Heartbeat.GetReady() && !p.Heartbeat.GetLeaving()
}

// Roster holds the registered hosts; it is safe for concurrent use.
type Roster struct {
	self     string
	selfZone string

	mu      sync.Mutex
	members []Member
	peers   map[string]*Peer
	// byZone groups the members by the hash of their zone's name.
	byZone map[uint32]*zoneMembers
	// zones holds what digests tell of other availability zones.
	zones      map[string]*zoneState
	readAt     timer.Instant
	selfListed bool
}

// NewRoster returns a roster without members for the host self.
func NewRoster(self Member) *Roster {
	return &Roster{
		self: self.Name, selfZone: self.Zone, peers: map[string]*Peer{}, zones: map[string]*zoneState{},
	}
}

// Replace sets the members to those listed in the store and sorts the slice; the read of the list
// began at readAt. It returns the names of the other hosts that joined and left.
func (r *Roster) Replace(readAt timer.Instant, members []Member) (joined, left []string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	listed := map[string]bool{}
	r.selfListed = false
	for _, m := range members {
		listed[m.Name] = true
		if m.Name == r.self {
			r.selfListed = true
			continue
		}
		if p, ok := r.peers[m.Name]; ok {
			p.Member = m
			continue
		}
		r.peers[m.Name] = &Peer{Member: m, SeenAt: readAt}
		joined = append(joined, m.Name)
	}
	for name := range r.peers {
		if !listed[name] {
			delete(r.peers, name)
			left = append(left, name)
		}
	}
	sort.Slice(members, func(i, j int) bool { return members[i].Name < members[j].Name })
	r.members = members
	r.byZone = groupByZone(members)
	r.readAt = max(r.readAt, readAt)
	return joined, left
}

// Members returns all registered hosts, sorted by name; the slice must not be changed.
func (r *Roster) Members() []Member {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.members
}

// SelfListed reports whether this host is in the latest list, and when the read of the list began.
func (r *Roster) SelfListed() (bool, timer.Instant) {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.selfListed, r.readAt
}

// Peers returns the other members, sorted by name.
func (r *Roster) Peers() []Peer {
	r.mu.Lock()
	defer r.mu.Unlock()
	peers := make([]Peer, 0, len(r.peers))
	for _, p := range r.peers {
		peers = append(peers, *p)
	}
	sort.Slice(peers, func(i, j int) bool { return peers[i].Name < peers[j].Name })
	return peers
}

// Find returns the peer with the name.
func (r *Roster) Find(name string) (Peer, bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	p, ok := r.peers[name]
	if !ok {
		return Peer{}, false
	}
	return *p, true
}

// Live reports whether a peer is live: its heartbeat has arrived within the timeout, or a digest
// of its zone says so.
func (r *Roster) Live(now timer.Instant, name string) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	p, ok := r.peers[name]
	return ok && (p.Live(now, HeartbeatTimeout) || r.inDigest(now, p).live[name])
}

// Serving reports whether a peer is live, ready and not shutting down.
func (r *Roster) Serving(now timer.Instant, name string) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	p, ok := r.peers[name]
	if !ok {
		return false
	}
	if p.Live(now, HeartbeatTimeout) {
		return p.Serving(now, HeartbeatTimeout)
	}
	return r.inDigest(now, p).serving[name]
}

// Reading reports whether a peer is live and not shutting down, so that it reads the store.
func (r *Roster) Reading(now timer.Instant, name string) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	p, ok := r.peers[name]
	if !ok {
		return false
	}
	if p.Live(now, HeartbeatTimeout) {
		return !p.Heartbeat.GetLeaving()
	}
	return r.inDigest(now, p).serving[name]
}

// echoes returns the sequence of the latest heartbeat of each recipient; 0 if none has arrived.
func (r *Roster) echoes(recipients []recipient) []uint64 {
	r.mu.Lock()
	defer r.mu.Unlock()
	sequences := make([]uint64, len(recipients))
	for i, to := range recipients {
		if p, ok := r.peers[to.Name]; ok {
			sequences[i] = p.Heartbeat.GetSequence()
		}
	}
	return sequences
}

// inDigest returns what a recent digest says of the peer's zone, or an empty state.
func (r *Roster) inDigest(now timer.Instant, p *Peer) *zoneState {
	if z := r.zones[p.Zone]; z != nil && now.Sub(z.knownAt) <= digestTimeout {
		return z
	}
	return &zoneState{}
}

// Sparse reports whether not all hosts exchange heartbeats with each other.
func (r *Roster) Sparse() bool {
	return (&topology{members: r.Members()}).sparse()
}

// record keeps a member's heartbeat if it is newer than the last one, and reports whether it is.
func (r *Roster) record(now timer.Instant, b *messenger.Beat) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	p, ok := r.peers[b.GetHost()]
	if !ok || !p.accepts(now, b) {
		return false
	}
	p.Heartbeat = b
	p.HeartbeatAt = now
	p.SeenAt = max(p.SeenAt, now)
	return true
}

// accepts reports whether the heartbeat is newer than the peer's last one. A lower incarnation is
// accepted once the last process is no longer live: a process that starts after the system clock
// was set back has a lower incarnation than the one before it.
func (p *Peer) accepts(now timer.Instant, b *messenger.Beat) bool {
	switch {
	case p.Heartbeat == nil || b.GetIncarnation() > p.Heartbeat.GetIncarnation():
		return true
	case b.GetIncarnation() == p.Heartbeat.GetIncarnation():
		return b.GetSequence() > p.Heartbeat.GetSequence()
	default:
		return !p.Live(now, HeartbeatTimeout)
	}
}
