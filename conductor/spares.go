package conductor

import (
	"sort"
	"sync"
	"time"

	"github.com/fescuethread/fescuethread/messenger"
	"github.com/fescuethread/fescuethread/sharer"
	"github.com/fescuethread/fescuethread/timer"
)

const (
	// maxSparesPerHeartbeat limits the customers per heartbeat; successive heartbeats rotate through
	// all customers.
	maxSparesPerHeartbeat = 16
	// spareTTL is how long a peer's report of spare tokens is used.
	spareTTL = 5 * time.Second
)

// spareTable holds the spare tokens that peers have reported, and the position in the rotation of
// this host's own reports.
type spareTable struct {
	mu     sync.Mutex
	cursor int
	byPeer map[string]map[string]spareEntry
}

type spareEntry struct {
	tokens     uint32
	receivedAt timer.Instant
}

// nextBatch returns the spare tokens to report in the next heartbeat; spares must be ordered by
// customer.
func (t *spareTable) nextBatch(spares []sharer.Spare) []*messenger.Spare {
	t.mu.Lock()
	defer t.mu.Unlock()
	n := min(len(spares), maxSparesPerHeartbeat)
	batch := make([]*messenger.Spare, 0, n)
	for range n {
		t.cursor = (t.cursor + 1) % len(spares)
		s := spares[t.cursor]
		batch = append(batch, &messenger.Spare{Customer: s.Customer, Tokens: s.Tokens})
	}
	return batch
}

// record stores the spare tokens that a peer reported.
func (t *spareTable) record(now timer.Instant, peer string, spares []*messenger.Spare) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.byPeer == nil {
		t.byPeer = map[string]map[string]spareEntry{}
	}
	if t.byPeer[peer] == nil {
		t.byPeer[peer] = map[string]spareEntry{}
	}
	for _, s := range spares {
		t.byPeer[peer][s.GetCustomer()] = spareEntry{tokens: s.GetTokens(), receivedAt: now}
	}
}

// peersBySpare returns the peers with spare tokens of a customer, those with the most first.
func (t *spareTable) peersBySpare(now timer.Instant, customer string) []string {
	t.mu.Lock()
	defer t.mu.Unlock()
	var names []string
	for peer, entries := range t.byPeer {
		if e := entries[customer]; e.tokens > 0 && now.Sub(e.receivedAt) <= spareTTL {
			names = append(names, peer)
		}
	}
	sort.Slice(names, func(i, j int) bool {
		a, b := t.byPeer[names[i]][customer], t.byPeer[names[j]][customer]
		if a.tokens != b.tokens {
			return a.tokens > b.tokens
		}
		return names[i] < names[j]
	})
	return names
}

// deduct subtracts tokens requested from a peer, so that the next request prefers another peer.
func (t *spareTable) deduct(peer, customer string, tokens uint32) {
	t.mu.Lock()
	defer t.mu.Unlock()
	e := t.byPeer[peer][customer]
	e.tokens -= min(e.tokens, tokens)
	t.byPeer[peer][customer] = e
}

// removePeer drops a peer's reports.
func (t *spareTable) removePeer(peer string) {
	t.mu.Lock()
	defer t.mu.Unlock()
	delete(t.byPeer, peer)
}
