package conductor

import (
	"context"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/fescuethread/fescuethread/announcer"
	"github.com/fescuethread/fescuethread/logger"
	"github.com/fescuethread/fescuethread/messenger"
	"github.com/fescuethread/fescuethread/pacer"
	"github.com/fescuethread/fescuethread/selector"
	"github.com/fescuethread/fescuethread/sharer"
	"github.com/fescuethread/fescuethread/timer"
)

const (
	// tokenRequestInterval is how often the host checks which customers' tokens run low.
	tokenRequestInterval = 100 * time.Millisecond
	// registerRetryDelay is the delay between attempts to register.
	registerRetryDelay = 400 * time.Millisecond
	// registrationCheckInterval is how often the host checks whether it is still registered.
	registrationCheckInterval = time.Second
	// accrualMargin is how much longer than the verification TTL a newly registered host waits
	// before it accrues tokens. Until then, hosts whose list lacks it may use its share.
	accrualMargin = 200 * time.Millisecond
	// deadPeerTimeout is the time without a heartbeat after which a peer is unregistered, and
	// deadPeerCheckInterval is how often this is checked.
	deadPeerTimeout       = 20 * time.Second
	deadPeerCheckInterval = 4 * time.Second
	// sparseHops is the number of further hosts between two of a region in a large fleet: a carrier
	// on each side.
	sparseHops = 2
	// demandScale converts demand to the unit of heartbeats, a thousandth of a request.
	demandScale = 1000
)

// announce sends heartbeats until ctx ends.
func (h *Host) announce(ctx context.Context) error {
	ticks := h.timer.Subscribe(announcer.TickInterval)
	defer ticks.Close()
	return h.announcer.Announce(ctx, ticks)
}

// keepRegistered registers the host, and again whenever its entry disappears from the store.
func (h *Host) keepRegistered(ctx context.Context) error {
	for {
		created, err := h.store.Register(ctx, h.self, h.incarnation)
		if ctx.Err() != nil {
			return nil
		}
		if err != nil {
			h.log.Log(eventRegisterFailed, logger.F("cause", err.Error()))
			if !sleep(ctx, registerRetryDelay) {
				return nil
			}
			continue
		}
		h.markRegistered(created)
		if !h.awaitRemoval(ctx) {
			return nil
		}
	}
}

// markRegistered starts the accrual of tokens: at once if the host's entry already existed. If the
// entry was created, tokens accrue once no host can still admit requests by a list that lacks this
// one.
func (h *Host) markRegistered(created bool) {
	accrueAt := timer.Now()
	if created {
		accrueAt = accrueAt.Add(h.verificationTTL + accrualMargin)
	}
	h.sharer.AccrueFrom(accrueAt)
	h.registered.Store(true)
	h.log.Log(eventRegistered, logger.F("fresh", created),
		logger.F("opens_ms", accrueAt.Sub(timer.Now()).Milliseconds()))
}

// awaitRemoval waits until a host list read after the call lacks this host. It returns false if
// ctx ends first.
func (h *Host) awaitRemoval(ctx context.Context) bool {
	start := timer.Now()
	for {
		if !sleep(ctx, registrationCheckInterval) {
			return false
		}
		listed, readAt := h.roster.SelfListed()
		if !listed && readAt > start {
			return true
		}
	}
}

// runHousekeeping periodically rebalances requests, drops expired state and updates readiness.
func (h *Host) runHousekeeping(ctx context.Context) error {
	ticks := h.timer.Subscribe(selector.TickInterval)
	defer ticks.Close()
	verified := true
	for {
		select {
		case <-ctx.Done():
			return nil
		case t := <-ticks.C():
			h.selector.SetDemand(h.self.Name, h.selector.Demand(t.At))
			h.selector.Tick(t.At)
			h.follower.SetRank(h.rank(t.At), h.hops())
			h.follower.Sweep(t.At)
			h.sender.Sweep(t.At)
			h.isolator.Tick(t.At)
			h.updateReady(t.At)
			verified = h.logVerification(t.At, verified)
			if fields := h.descriptors.shortage(t.At); fields != nil {
				h.log.Log(eventDescriptorsShort, fields...)
			}
			if n := h.logWriter.Dropped(); n > 0 {
				linesDropped.Add(int(n))
				h.log.Log(eventLogDropped, logger.F("lines", n))
			}
		}
	}
}

// hops returns how many more heartbeats than one a verification may need to reach this host from
// the host that has read the store.
func (h *Host) hops() int {
	if h.roster.Sparse() {
		return sparseHops
	}
	return 0
}

// rank returns this host's position among the live hosts that aren't shutting down, in the order
// of the hashes of their names; in a large fleet, among those of its region. Hosts read the store
// in this order; rank 0 reads first.
func (h *Host) rank(now timer.Instant) int {
	selfHash := xxhash.Sum64String(h.self.Name)
	sparse := h.roster.Sparse()
	rank := 0
	for _, m := range h.roster.Members() {
		if sparse && m.Region != h.self.Region {
			continue
		}
		if xxhash.Sum64String(m.Name) < selfHash && h.roster.Reading(now, m.Name) {
			rank++
		}
	}
	return rank
}

// removeDeadPeers unregisters the peers that haven't been live for long, so that other hosts use
// their shares of the rate limits. Only the first host of the fleet, or of a region in a large
// one, does this. A peer that still runs registers again.
func (h *Host) removeDeadPeers(ctx context.Context, now timer.Instant) {
	if h.rank(now) > 0 || !h.Ready() {
		return
	}
	for _, p := range h.roster.Peers() {
		if now.Sub(p.SeenAt) < deadPeerTimeout || !h.watchesOver(now, &p) {
			continue
		}
		err := h.store.Unregister(ctx, p.Name)
		cause := ""
		if err != nil {
			cause = err.Error()
		}
		h.log.Log(eventUnregistered, logger.F("peer", p.Name),
			logger.F("silent_ms", now.Sub(p.SeenAt).Milliseconds()), logger.F("cause", cause))
	}
}

// watchesOver reports whether this host's region unregisters the peer: in a large fleet those of
// the region itself, and those of a region without live hosts.
func (h *Host) watchesOver(now timer.Instant, p *announcer.Peer) bool {
	if !h.roster.Sparse() || p.Region == h.self.Region {
		return true
	}
	return !slices.ContainsFunc(h.roster.Members(), func(m announcer.Member) bool {
		return m.Region == p.Region && h.roster.Live(now, m.Name)
	})
}

// maintainRoster periodically removes dead peers until ctx ends.
func (h *Host) maintainRoster(ctx context.Context) error {
	for sleep(ctx, deadPeerCheckInterval) {
		h.removeDeadPeers(ctx, timer.Now())
	}
	return nil
}

// updateReady marks the host ready once it has read the store, is registered and accrues tokens.
// It stays ready in an outage of the store, since it still serves routes that need no API key.
func (h *Host) updateReady(now timer.Instant) {
	ready := h.follower.HasSynced() && h.registered.Load() && h.sharer.Accruing(now)
	if ready && !h.ready.Swap(true) {
		h.log.Log(eventReady, logger.F("plan", h.follower.Plan().Version()),
			logger.F("hosts", h.hostCount()))
	}
}

// logVerification logs when the API keys become unverified or verified again, and returns whether
// they are verified. Before the first verification they count as verified.
func (h *Host) logVerification(now timer.Instant, wasVerified bool) bool {
	verifiedAt := h.follower.VerifiedAt()
	verified := verifiedAt != 0 && now.Sub(verifiedAt) < h.verificationTTL
	if verified == wasVerified || verifiedAt == 0 {
		return verified || verifiedAt == 0
	}
	event := eventKeysUnverified
	if verified {
		event = eventKeysVerified
	}
	h.log.Log(event, logger.F("age_ms", now.Sub(verifiedAt).Milliseconds()),
		logger.F("bound_ms", h.verificationTTL.Milliseconds()))
	return verified
}

// requestTokens periodically requests tokens for the customers whose tokens run low.
func (h *Host) requestTokens(ctx context.Context) error {
	ticks := h.timer.Subscribe(tokenRequestInterval)
	defer ticks.Close()
	for {
		select {
		case <-ctx.Done():
			return nil
		case t := <-ticks.C():
			for _, req := range h.sharer.TokenRequests(t.At) {
				h.sendTokenRequests(t.At, req)
			}
		}
	}
}

// requestToken asks another host for a token that a caller's request waits for; it returns false
// if that host isn't live.
func (h *Host) requestToken(customer string, attempt int) bool {
	req, ok := h.sharer.TokenRequestFor(customer, attempt)
	return ok && h.sendTokenRequests(timer.Now(), req)
}

// sendTokenRequests divides a request among its live peers; it returns false if there is none.
func (h *Host) sendTokenRequests(now timer.Instant, req sharer.TokenRequest) bool {
	peers := make([]announcer.Peer, 0, len(req.Peers))
	for _, name := range req.Peers {
		if p, ok := h.roster.Find(name); ok && h.roster.Live(now, name) {
			peers = append(peers, p)
		}
	}
	for _, p := range peers {
		h.announcer.Send(p, &messenger.Datagram{Plea: &messenger.Plea{
			Host:     h.self.Name,
			Customer: req.Customer,
			Tokens:   (req.Tokens + uint32(len(peers)) - 1) / uint32(len(peers)),
			Wait:     req.Waiting,
			Sent:     int64(now),
		}})
	}
	return len(peers) > 0
}

// sleep waits for d. It returns false if ctx ends first.
func sleep(ctx context.Context, d time.Duration) bool {
	return (pacer.Clock{}).Sleep(ctx, d) == nil
}
