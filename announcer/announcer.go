package announcer

import (
	"context"
	"math/rand/v2"
	"net"
	"sync"
	"time"

	"google.golang.org/protobuf/proto"

	"github.com/fescuethread/fescuethread/logger"
	"github.com/fescuethread/fescuethread/messenger"
	"github.com/fescuethread/fescuethread/timer"
)

const (
	// HeartbeatInterval is the interval between heartbeats.
	HeartbeatInterval = 400 * time.Millisecond
	// sparseInterval is that interval in a large fleet, where each heartbeat also carries digests.
	sparseInterval = 500 * time.Millisecond
	// TickInterval is the interval at which Announce checks whether a heartbeat is due.
	TickInterval = 100 * time.Millisecond
	// HeartbeatTimeout is how long a host counts as live after a heartbeat; several may be lost.
	HeartbeatTimeout = 5 * HeartbeatInterval
	// maxDatagramBytes is the maximum size of a received datagram.
	maxDatagramBytes = 16 << 10
	// sentAtSize is the number of sent heartbeats whose send times are kept. Peers echo the sequence
	// of the latest heartbeat that they received; its send time is the earliest time at which the
	// peer can have sent the echo.
	sentAtSize = 32
	// maxControlBytes is what heartbeats may send in a second. Views of targets fill what the rest of
	// the heartbeats leaves of it.
	maxControlBytes = 14_000
	// viewBytes is the size of a view of one target, viewsOverhead that of its message.
	viewBytes     = 10
	viewsOverhead = 16
	// maxViews is the maximum number of views in a heartbeat.
	maxViews = 64
	// datagramOverhead is the size of the IP and UDP headers.
	datagramOverhead = 28
	// minHeartbeatInterval is the minimum time between a heartbeat and an early one.
	minHeartbeatInterval = 100 * time.Millisecond
)

// Handler provides the content of heartbeats and handles received messages.
type Handler interface {
	// Heartbeat returns this host's heartbeat without host, incarnation, sequence and digests.
	Heartbeat(now timer.Instant) *messenger.Beat
	// Views returns what this host has seen of at most n targets; nil if there is nothing.
	Views(n int) *messenger.Views
	// ZoneDemand returns the demand of all hosts of this host's availability zone.
	ZoneDemand(now timer.Instant) []*messenger.Work
	// HandleDigest handles a digest of another availability zone that is newer than the last one.
	HandleDigest(now timer.Instant, zone string, d *messenger.Digest)
	// HandleHeartbeat handles a heartbeat of a peer that is newer than the last one. echoSentAt is
	// when this host sent the heartbeat that b echoes, so the peer sent b later; 0 if unknown.
	HandleHeartbeat(now, echoSentAt timer.Instant, b *messenger.Beat)
	// HandleTokenRequest handles a peer's request for tokens.
	HandleTokenRequest(now timer.Instant, p *messenger.Plea)
	// HandleTokenTransfer handles tokens that a peer transfers to this host.
	HandleTokenTransfer(now timer.Instant, g *messenger.Gift)
}

// Announcer sends and receives heartbeats and other datagrams.
type Announcer struct {
	self        Member
	incarnation uint64
	roster      *Roster
	handler     Handler
	log         *logger.Logger
	conn        *net.UDPConn
	live        map[string]bool
	wake        chan struct{}

	mu       sync.Mutex
	sequence uint64
	// sentAt is a ring buffer of the heartbeats' send times, indexed by sequence.
	sentAt     [sentAtSize]timer.Instant
	lastSentAt timer.Instant
}

// Listen returns an announcer that receives datagrams on the host's peer address. incarnation is
// the start time of the process; it tells the process's heartbeats from those of earlier ones.
func Listen(
	self Member, incarnation uint64, roster *Roster, handler Handler, l *logger.Logger,
) (*Announcer, error) {
	addr, err := net.ResolveUDPAddr("udp4", self.PeerAddress)
	if err != nil {
		return nil, &Error{Op: "listen " + self.PeerAddress, Kind: KindListen, Err: err}
	}
	conn, err := net.ListenUDP("udp4", addr)
	if err != nil {
		return nil, &Error{Op: "listen " + self.PeerAddress, Kind: KindListen, Err: err}
	}
	return &Announcer{
		self:        self,
		incarnation: incarnation,
		roster:      roster,
		handler:     handler,
		log:         l,
		conn:        conn,
		live:        map[string]bool{},
		wake:        make(chan struct{}, 1),
		// Starts at random, so that a peer's echo of an earlier process's heartbeat isn't taken for
		// one of this process.
		sequence: uint64(rand.Uint32()),
	}, nil
}

// Announce sends heartbeats until ctx ends, and logs which peers are live. The ticks' period must
// be TickInterval.
func (a *Announcer) Announce(ctx context.Context, ticks *timer.Subscription) error {
	var due timer.Instant
	// soon says that a heartbeat is to be sent at the next tick.
	soon := false
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-a.wake:
			soon = !a.SendHeartbeatEarly(timer.Now())
		case t := <-ticks.C():
			switch {
			case t.At >= due:
				due = max(due, t.At.Add(-TickInterval)).Add(a.interval())
			case !soon:
				continue
			}
			soon = false
			a.SendHeartbeat(t.At)
			a.logLiveness(t.At)
		}
	}
}

// interval returns the interval between two heartbeats.
func (a *Announcer) interval() time.Duration {
	if a.roster.Sparse() {
		return sparseInterval
	}
	return HeartbeatInterval
}

// SendHeartbeat sends a heartbeat now.
func (a *Announcer) SendHeartbeat(now timer.Instant) {
	a.sendHeartbeat(now, timer.Now, a.sendBeat)
}

// sendHeartbeat passes a heartbeat for each recipient to send, which must not keep it. The echoes
// are read before the content is built: the other way round, a pause in between would make the
// content look newer than it is.
func (a *Announcer) sendHeartbeat(
	now timer.Instant, clock func() timer.Instant, send func(to Member, b *messenger.Beat),
) {
	sequence := a.nextSequence(now)
	t := topology{
		self: a.self, members: a.roster.Members(),
		live: func(name string) bool { return a.roster.Live(now, name) },
	}
	recipients := t.recipients(sequence)
	echoes := a.roster.echoes(recipients)
	builtAt := clock()
	b := a.handler.Heartbeat(builtAt)
	b.Host = a.self.Name
	b.Incarnation = a.incarnation
	b.Sequence = sequence
	digests := a.digests(builtAt, &t, b, sequence)
	views := a.handler.Views(a.viewRoom(recipients, b, digests))
	for i, to := range recipients {
		b.Echo = echoes[i]
		b.Digests = digests[to.link]
		b.Views = nil
		if a.sharesViews(to) {
			b.Views = views
		}
		send(to.Member, b)
	}
}

func (a *Announcer) sendBeat(to Member, b *messenger.Beat) {
	if data, ok := a.encode(&messenger.Datagram{Beat: b}); ok {
		a.send(to.PeerAddress, data)
	}
}

// SendHeartbeatEarly sends a heartbeat before the next tick, unless one was just sent. It reports
// whether it did.
func (a *Announcer) SendHeartbeatEarly(now timer.Instant) bool {
	a.mu.Lock()
	recent := now.Sub(a.lastSentAt) < minHeartbeatInterval
	if !recent {
		a.lastSentAt = now
	}
	a.mu.Unlock()
	if !recent {
		a.SendHeartbeat(now)
	}
	return !recent
}

// Wake makes Announce send a heartbeat at once, or at the next tick if one was just sent.
func (a *Announcer) Wake() {
	select {
	case a.wake <- struct{}{}:
	default:
	}
}

// nextSequence returns the sequence number of a heartbeat that is sent now.
func (a *Announcer) nextSequence(now timer.Instant) uint64 {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.sequence++
	a.sentAt[a.sequence%sentAtSize] = now
	a.lastSentAt = now
	return a.sequence
}

// echoSentAt returns when the heartbeat that a peer echoes was sent; 0 if unknown.
func (a *Announcer) echoSentAt(echo uint64) timer.Instant {
	a.mu.Lock()
	defer a.mu.Unlock()
	if echo == 0 || echo > a.sequence || a.sequence-echo >= sentAtSize {
		return 0
	}
	return a.sentAt[echo%sentAtSize]
}

// Send sends a datagram to a peer; failures are logged only.
func (a *Announcer) Send(p Peer, d *messenger.Datagram) {
	if data, ok := a.encode(d); ok {
		a.send(p.PeerAddress, data)
	}
}

func (a *Announcer) encode(d *messenger.Datagram) ([]byte, bool) {
	data, err := proto.Marshal(d)
	if err != nil {
		a.log.Log(eventSendFailed, logger.F("cause", err.Error()))
		return nil, false
	}
	return data, true
}

// send writes a datagram; lost datagrams are not sent again. The next heartbeat replaces a lost
// one, and lost tokens are never spent.
func (a *Announcer) send(address string, data []byte) {
	addr, err := net.ResolveUDPAddr("udp4", address)
	if err == nil {
		_, err = a.conn.WriteToUDP(data, addr)
	}
	if err != nil {
		a.log.Log(eventSendFailed, logger.F("peer", address), logger.F("cause", err.Error()))
	}
}

// logLiveness logs each peer that has become live or is lost.
func (a *Announcer) logLiveness(now timer.Instant) {
	for _, p := range a.roster.Peers() {
		live := a.roster.Live(now, p.Name)
		if live == a.live[p.Name] {
			continue
		}
		a.live[p.Name] = live
		event := eventPeerLost
		if live {
			event = eventPeerLive
		}
		a.log.Log(event, logger.F("peer", p.Name), logger.F("zone", p.Zone),
			logger.F("silent_ms", now.Sub(p.SeenAt).Milliseconds()))
	}
}
