package gossiper

import (
	"context"
	"sync"
	"time"

	"github.com/pkg/errors"

	"github.com/fescuethread/fescuethread/detector"
	"github.com/fescuethread/fescuethread/logger"
	"github.com/fescuethread/fescuethread/messenger"
	"github.com/fescuethread/fescuethread/timer"
)

const (
	// senders is the number of goroutines that exchange digests with peers.
	senders = 8
	// ringSize is the number of digests that may wait for a sender.
	ringSize = 256
	// PauseBound is the time without a tick after which the process counts as paused.
	PauseBound = detector.SuspectAfter
)

// Peers exchanges digests with a host by name.
type Peers interface {
	Gossip(ctx context.Context, host string, in *messenger.Digest) (*messenger.Digest, error)
}

// Self gives what the own heartbeat says.
type Self interface {
	Describe(now timer.Instant, t *detector.Table)
}

// Follower learns of every round.
type Follower interface {
	// Paused tells that the process did not run since the instant before now.
	Paused(now timer.Instant)
	// Round tells that a round of heartbeats was made.
	Round(now timer.Instant)
}

// Ticker gives the ticks of the rounds.
type Ticker interface {
	C() <-chan timer.Tick
	Close()
}

// Config bounds the rounds.
type Config struct {
	// Timeout is the longest wait for a peer's answer.
	Timeout time.Duration
}

// Gossiper runs the rounds of heartbeats.
type Gossiper struct {
	cfg      Config
	detector *detector.Detector
	peers    Peers
	self     Self
	follower Follower
	ticker   Ticker
	log      *logger.Logger
	ring     chan detector.Message
	last     timer.Instant
	states   map[string]detector.State
}

// New returns a gossiper.
func New(
	cfg Config, d *detector.Detector, p Peers, s Self, f Follower, t Ticker, l *logger.Logger,
) *Gossiper {
	return &Gossiper{
		cfg:      cfg,
		detector: d,
		peers:    p,
		self:     s,
		follower: f,
		ticker:   t,
		log:      l,
		ring:     make(chan detector.Message, ringSize),
		states:   make(map[string]detector.State),
	}
}

// Run makes rounds until ctx ends; it fails once a newer process runs under this host's name.
func (g *Gossiper) Run(ctx context.Context) error {
	var wg sync.WaitGroup
	defer wg.Wait()
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	defer g.ticker.Close()
	for range senders {
		wg.Add(1)
		go func() {
			defer wg.Done()
			g.send(ctx)
		}()
	}
	return g.rounds(ctx)
}

func (g *Gossiper) rounds(ctx context.Context) error {
	for {
		select {
		case <-ctx.Done():
			return nil
		case tick := <-g.ticker.C():
			g.round(tick.At)
			if g.detector.Replaced() {
				g.log.Log(eventReplaced)
				cause := errors.New("a newer process runs under this host's name")
				return &Error{Op: "round", Kind: KindReplaced, Err: cause}
			}
		}
	}
}

func (g *Gossiper) round(now timer.Instant) {
	if g.last != 0 && now.Sub(g.last) > PauseBound {
		g.log.Log(eventPaused, logger.F("pause", now.Sub(g.last).Milliseconds()))
		g.follower.Paused(now)
	}
	g.last = now
	g.detector.Update(func(t *detector.Table) { g.self.Describe(now, t) })
	for _, m := range g.detector.Tick(now) {
		g.offer(m)
	}
	g.follower.Round(now)
	g.logChanges(now)
}

// Announce makes a round at once and waits until every peer has answered or timed out.
func (g *Gossiper) Announce(ctx context.Context) {
	now := timer.Now()
	g.detector.Update(func(t *detector.Table) { g.self.Describe(now, t) })
	var wg sync.WaitGroup
	for _, m := range g.detector.Tick(now) {
		wg.Add(1)
		go func() {
			defer wg.Done()
			g.exchange(ctx, m)
		}()
	}
	wg.Wait()
}

// offer drops the digest when the senders are behind; the next round brings a newer one.
func (g *Gossiper) offer(m detector.Message) {
	select {
	case g.ring <- m:
	default:
	}
}

func (g *Gossiper) send(ctx context.Context) {
	for {
		select {
		case <-ctx.Done():
			return
		case m := <-g.ring:
			g.exchange(ctx, m)
		}
	}
}

func (g *Gossiper) exchange(ctx context.Context, m detector.Message) {
	ctx, cancel := context.WithTimeout(ctx, g.cfg.Timeout)
	defer cancel()
	reply, err := g.peers.Gossip(ctx, m.To, m.Digest)
	if err != nil {
		return
	}
	g.detector.Receive(timer.Now(), m.To, reply)
}

func (g *Gossiper) logChanges(now timer.Instant) {
	for _, m := range g.detector.Members(now) {
		before := g.states[m.Host.Name]
		if before == m.State {
			continue
		}
		g.states[m.Host.Name] = m.State
		g.log.Log(eventChanged,
			logger.F("member", m.Host.Name),
			logger.F("before", before.String()),
			logger.F("state", m.State.String()),
			logger.F("rule", m.Reason),
			logger.F("age", m.Age.Milliseconds()),
		)
	}
}
