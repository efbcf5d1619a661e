package conductor

import (
	"context"
	"net"
	"runtime/debug"
	"strconv"
	"sync"
	"sync/atomic"
	"time"

	"github.com/fescuethread/fescuethread/announcer"
	"github.com/fescuethread/fescuethread/connector"
	"github.com/fescuethread/fescuethread/exchanger"
	"github.com/fescuethread/fescuethread/follower"
	"github.com/fescuethread/fescuethread/isolator"
	"github.com/fescuethread/fescuethread/launcher"
	"github.com/fescuethread/fescuethread/limiter"
	"github.com/fescuethread/fescuethread/logger"
	"github.com/fescuethread/fescuethread/platform"
	"github.com/fescuethread/fescuethread/relayer"
	"github.com/fescuethread/fescuethread/selector"
	"github.com/fescuethread/fescuethread/server"
	"github.com/fescuethread/fescuethread/sharer"
	"github.com/fescuethread/fescuethread/spreader"
	"github.com/fescuethread/fescuethread/steerer"
	"github.com/fescuethread/fescuethread/timer"
)

const (
	// storeTimeout limits a call to the store; a watch may take its wait time in addition.
	storeTimeout = 1500 * time.Millisecond
	// revocationMargin is subtracted from the revocation bound: a request still has to reach its
	// target after the check of its key.
	revocationMargin = 300 * time.Millisecond
	// defaultRevocationTimeout is the time until a revoked key must fail, if the bounds set none.
	defaultRevocationTimeout = 5 * time.Second
	// defaultChangeTimeout is the longest time until a change in the store takes effect.
	defaultChangeTimeout = 4 * time.Second
	// retryBudgetFraction is the fraction of the configured retry budget that is used.
	retryBudgetFraction = 0.8
	// memoryLimitFraction is the Go runtime's memory limit as a fraction of host.memory; near the
	// limit the garbage collector runs more often.
	memoryLimitFraction = 0.7
	// maxAuxBodyBytes and maxAuxHeaderBytes limit the auxiliary servers: readiness, directory and
	// metrics.
	maxAuxBodyBytes   = 1 << 12
	maxAuxHeaderBytes = 1 << 14
	// maxAuxResponseBytes limits the response bytes that these servers buffer for a slow client.
	maxAuxResponseBytes = 4 << 20
	// maxResponseBytes limits the response bytes that are buffered for a slow caller.
	maxResponseBytes = 64 << 20
	// defaultMaxBodyBytes, defaultMaxHeaderBytes and defaultHeaderTimeout apply until the first
	// configuration is read, and where it sets no limit.
	defaultMaxBodyBytes   = 64 << 20
	defaultMaxHeaderBytes = 16 << 10
	defaultHeaderTimeout  = 5 * time.Second
	// defaultIdleTimeout is the idle timeout of clients' connections, as the users require it.
	// The configuration doesn't change it.
	defaultIdleTimeout = 15 * time.Second
	// idleMargin is how much longer than defaultIdleTimeout callers' connections may stay idle.
	idleMargin = 2 * time.Second
)

// Host is one host of the system.
type Host struct {
	settings    Settings
	self        announcer.Member
	incarnation uint64
	log         *logger.Logger
	logWriter   *logger.AsyncWriter
	kernel      *launcher.Kernel
	timer       *timer.Service
	cancel      context.CancelFunc
	store       *platform.Store
	client      *exchanger.Client
	exchanger   *exchanger.Exchanger
	roster      *announcer.Roster
	announcer   *announcer.Announcer
	follower    *follower.Follower
	peerPool    *connector.Pool
	peerServer  *connector.Server
	selector    *selector.Selector
	sharer      *sharer.Sharer
	isolator    *isolator.Isolator
	// descriptors are the uses of file descriptors.
	descriptors *descriptors
	// requests and responses bound the bytes of messages in transit.
	requests     *limiter.Limiter
	responses    *limiter.Limiter
	sender       *steerer.Sender
	steerer      *steerer.Steerer
	callerServer *server.Server
	auxServers   map[string]*server.Server

	registered atomic.Bool
	ready      atomic.Bool
	draining   atomic.Bool
	stop       chan struct{}
	stopOnce   sync.Once
	// verificationTTL is how long requests with API keys are served after the latest verification
	// of the configuration and the host list against the store.
	verificationTTL time.Duration
	transfers       transferLog
	bounds          atomic.Pointer[platform.Bounds]
}

// New builds a host and opens its listeners; an error is of KindStart.
func New(
	ctx context.Context, s Settings, l *logger.Logger, logWriter *logger.AsyncWriter,
) (*Host, error) {
	h := &Host{
		settings:    s,
		incarnation: uint64(time.Now().UnixNano()),
		log:         l.With(logger.F("self", s.Host.Name)),
		logWriter:   logWriter,
		kernel:      launcher.New(),
		timer:       timer.New(),
		auxServers:  map[string]*server.Server{},
		stop:        make(chan struct{}),
		self: announcer.Member{
			Name:          s.Host.Name,
			Zone:          s.Host.Zone,
			Region:        s.Zones[s.Host.Zone],
			CallerAddress: s.Listen.Callers,
			PeerAddress:   net.JoinHostPort(s.Host.Address, strconv.Itoa(s.Listen.Peer)),
			Capacity:      spreader.Capacity(s.Host.Processor, s.Host.Link),
		},
	}
	if s.Host.Memory > 0 {
		debug.SetMemoryLimit(int64(memoryLimitFraction * float64(s.Host.Memory<<20)))
	}
	h.bounds.Store(&s.Bounds)
	h.verificationTTL = s.Bounds.RevocationTimeout()
	if h.verificationTTL <= 0 {
		h.verificationTTL = defaultRevocationTimeout
	}
	h.verificationTTL -= revocationMargin
	for _, step := range []func(context.Context) error{
		h.buildComponents, h.listen, h.registerServices,
	} {
		if err := step(ctx); err != nil {
			return nil, &Error{Op: "build", Kind: KindStart, Err: err}
		}
	}
	return h, nil
}

// Run serves until a graceful shutdown is complete, a service fails or ctx ends.
func (h *Host) Run(ctx context.Context) error {
	ctx, h.cancel = context.WithCancel(ctx)
	defer h.cancel()
	h.log.Log(eventStarted, logger.F("zone", h.self.Zone), logger.F("callers", h.self.CallerAddress),
		logger.F("incarnation", h.incarnation), logger.F("descriptors", h.descriptors.limit))
	err := h.kernel.Run(ctx)
	h.sender.Close()
	h.peerPool.Close()
	h.client.Close()
	h.exchanger.Close()
	h.log.Log(eventStopped)
	return err
}

// Ready reports whether the host is ready for callers and not shutting down.
func (h *Host) Ready() bool {
	return h.ready.Load() && !h.draining.Load()
}

func (h *Host) buildComponents(context.Context) error {
	stats := steerer.NewStats()
	h.descriptors = newDescriptors(h.settings.Host.Files)
	h.requests = limiter.New(h.memoryPart(requestsFraction))
	h.responses = limiter.New(h.memoryPart(responsesFraction))
	e, err := exchanger.New(exchanger.Limits{Transit: h.responses})
	if err != nil {
		return err
	}
	h.exchanger = e.WithDialer(steerer.Dialer()).WithDescriptors(h.descriptors.store)
	h.client = exchanger.NewClient(h.exchanger)
	h.store = platform.NewStore(h.settings.Store.Address, h.client, storeTimeout, stats.CountCall)
	h.roster = announcer.NewRoster(h.self)
	h.selector = selector.New(selector.Config{
		Host:             h.self.Name,
		Zone:             h.self.Zone,
		Regions:          h.settings.Zones,
		ColdExcess:       h.settings.Bounds.ColdExcess,
		ColdSlack:        h.settings.Bounds.ColdSlack,
		MaxShiftFraction: h.settings.Bounds.ShiftMax,
		Placement:        h.settings.Placement.Mode,
		Pressure:         h.settings.Contracts.Pressure(),
	})
	h.sharer = sharer.New(sharer.Host{
		Name: h.self.Name, Zone: h.self.Zone, Region: h.self.Region,
	}, sharer.Tolerance{
		Window:         h.settings.Bounds.QuotaWindow(),
		ExcessFraction: h.settings.Bounds.QuotaExcess,
		Slack:          h.settings.Bounds.QuotaSlack,
	})
	h.isolator = isolator.New()
	h.peerPool = connector.NewPool(h.peerConfig())
	h.follower = follower.New(h.store,
		instrumentedPeers{relayer.New(h.peerPool, h.peerAddress)}, sink{h},
		changeTimeout(h.settings.Bounds), h.log)
	if h.sender, err = steerer.NewSender(h.responses, h.descriptors.targets); err != nil {
		return err
	}
	h.steerer = steerer.New(steerer.Config{
		MaxStaleness:   h.verificationTTL,
		LastRegistered: h.registrationVerifiedAt,
		RetryPercent:   int(retryBudgetFraction * 100 * h.settings.Bounds.RetryBudgetRatio),
		RetryBurst:     int(retryBudgetFraction * h.settings.Bounds.RetryBudgetSlack),
	}, steerer.Deps{
		Plans:        h.follower,
		Selector:     h.selector,
		Sharer:       h.sharer,
		RequestToken: h.requestToken,
		Announce:     h.announceSoon,
		Isolator:     h.isolator,
		Sender:       h.sender,
		Log:          h.log,
		Stats:        stats,
	})
	h.sender.OnIdleEnd(h.steerer.IdleEnded)
	h.descriptors.targets.OnYield(h.sender.CloseIdle)
	h.registerMetrics()
	h.announcer, err = announcer.Listen(h.self, h.incarnation, h.roster, peerHandler{h}, h.log)
	return err
}

// changeTimeout returns the time within which every change in the store must take effect: the
// shortest of the bounds that are set, and at most defaultChangeTimeout.
func changeTimeout(b platform.Bounds) time.Duration {
	timeout := defaultChangeTimeout
	for _, d := range []time.Duration{
		b.DrainTimeout(), b.ConfigApplyTimeout(), b.EvacuationTimeout(),
	} {
		if d > 0 && d < timeout {
			timeout = d
		}
	}
	return timeout
}

// peerConfig returns the configuration of connections between hosts.
func (h *Host) peerConfig() connector.Config {
	return connector.Config{
		Host:            h.self.Name,
		Incarnation:     h.incarnation,
		MaxMessageBytes: relayer.MaxMessageBytes,
		SourceIP:        h.settings.Host.Address,
		MaxIdlePerPeer:  1,
		Inbound:         h.descriptors.peers,
		Outbound:        h.descriptors.dials,
		OnAcceptError:   h.logAcceptError("peers"),
	}
}

// peerAddress returns the address on which a peer serves RPCs.
func (h *Host) peerAddress(name string) (string, bool) {
	p, ok := h.roster.Find(name)
	return p.PeerAddress, ok
}

// registrationVerifiedAt returns when the host list was last verified; it returns 0 if that never
// happened or the list lacks this host.
func (h *Host) registrationVerifiedAt() timer.Instant {
	if listed, _ := h.roster.SelfListed(); !listed {
		return 0
	}
	return h.follower.HostsVerifiedAt()
}
