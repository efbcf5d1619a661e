package assembler

import (
	"context"
	"io"
	"math/rand/v2"
	"net/http"
	"net/netip"
	"sync/atomic"
	"time"

	"github.com/apex/log"

	"github.com/fescuethread/fescuethread/carrier"
	"github.com/fescuethread/fescuethread/connector"
	"github.com/fescuethread/fescuethread/detector"
	"github.com/fescuethread/fescuethread/enforcer"
	"github.com/fescuethread/fescuethread/exchanger"
	"github.com/fescuethread/fescuethread/forwarder"
	"github.com/fescuethread/fescuethread/gossiper"
	"github.com/fescuethread/fescuethread/granter"
	"github.com/fescuethread/fescuethread/identifier"
	"github.com/fescuethread/fescuethread/isolator"
	"github.com/fescuethread/fescuethread/launcher"
	"github.com/fescuethread/fescuethread/limiter"
	"github.com/fescuethread/fescuethread/loader"
	"github.com/fescuethread/fescuethread/logger"
	"github.com/fescuethread/fescuethread/messenger"
	"github.com/fescuethread/fescuethread/negotiator"
	"github.com/fescuethread/fescuethread/pacer"
	"github.com/fescuethread/fescuethread/prober"
	"github.com/fescuethread/fescuethread/reporter"
	"github.com/fescuethread/fescuethread/retrier"
	"github.com/fescuethread/fescuethread/scheduler"
	"github.com/fescuethread/fescuethread/server"
	"github.com/fescuethread/fescuethread/storer"
	"github.com/fescuethread/fescuethread/surveyor"
	"github.com/fescuethread/fescuethread/timer"
	"github.com/fescuethread/fescuethread/watcher"
)

const (
	// idlePerPeer is the number of idle connections kept to each peer.
	idlePerPeer = 16
	// idleTargetAge is the age at which an idle connection to a target is closed.
	idleTargetAge = 15 * time.Second
	// adminBodyBytes, adminHeaderBytes, adminAnswerBytes and adminConnections bound the operators'
	// port.
	adminBodyBytes   = 1 << 16
	adminHeaderBytes = 1 << 14
	adminAnswerBytes = 8 << 20
	adminConnections = 64
	// serviceCallers is the name of the service that serves callers.
	serviceCallers = "callers"
	// housekeepingPeriod is the time between two sweeps over expired state.
	housekeepingPeriod = 100 * time.Millisecond
)

// Host is one entry host.
type Host struct {
	settings    loader.Settings
	incarnation uint64
	log         *logger.Logger
	kernel      *launcher.Kernel
	timer       *timer.Service
	cancel      context.CancelFunc
	phase       atomic.Int32
	state       atomic.Int32
	joined      atomic.Bool

	callers   *server.Server
	admin     *server.Server
	peerSide  *connector.Server
	pool      *connector.Pool
	peers     *peers
	detector  *detector.Detector
	gossiper  *gossiper.Gossiper
	limiter   *limiter.Limiter
	registry  *identifier.Registry
	granter   *granter.Granter
	holdings  *holdings
	surveyor  *surveyor.Surveyor
	carrier   *carrier.Carrier
	exchanger *exchanger.Exchanger
	client    *exchanger.Client
	forwarder *forwarder.Forwarder
	enforcer  *enforcer.Enforcer
	store     *storer.Client
	roll      *roll
	shelf     *watcher.Shelf
	reader    *watcher.Reader
	puller    *watcher.Puller
	stopper   *stopper
	isolator  *isolator.Isolator
	suspects  suspects
	retrier   *retrier.Retrier
	keys      *keyGuard
}

// NewLogger returns the logger that the settings describe.
func NewLogger(s loader.Log, w io.Writer) *logger.Logger {
	level, err := log.ParseLevel(s.Level)
	if err != nil {
		level = log.InfoLevel
	}
	return logger.New(w, logger.Format(s.Format), level)
}

// New builds a host and opens its listeners.
func New(ctx context.Context, s loader.Settings, l *logger.Logger) (*Host, error) {
	h := &Host{
		settings:    s,
		incarnation: uint64(time.Now().UnixMilli()),
		log:         l.With(logger.F("self", s.Host.Name)),
		kernel:      launcher.New(),
		timer:       timer.New(),
	}
	h.setState(messenger.State_STATE_LIVE)
	steps := []func(context.Context) error{
		h.bind, h.buildState, h.buildClients, h.buildConfiguration, h.buildCarrier, h.listen, h.register,
	}
	for _, step := range steps {
		if err := step(ctx); err != nil {
			return nil, &Error{Op: "build", Kind: KindStart, Err: err}
		}
	}
	return h, nil
}

// Run serves until the host has left or ctx ends.
func (h *Host) Run(ctx context.Context) error {
	ctx, h.cancel = context.WithCancel(ctx)
	defer h.cancel()
	h.log.Log(eventStarted,
		logger.F("zone", h.settings.Host.Zone),
		logger.F("incarnation", h.incarnation),
		logger.F("caller", h.callers.Address()),
		logger.F("peer", h.peerSide.Address()),
		logger.F("admin", h.admin.Address()),
	)
	err := h.kernel.Run(ctx)
	h.close()
	h.log.Log(eventStopped)
	return err
}

// Stop begins a graceful stop; Run returns once the host has left.
func (h *Host) Stop() {
	h.stopper.ask()
}

func (h *Host) close() {
	h.pool.Close()
	h.forwarder.Close()
	h.client.Close()
	h.exchanger.Close()
}

func (h *Host) setState(s messenger.State) {
	h.state.Store(int32(s))
}

// inFlight counts what a graceful stop waits for.
func (h *Host) inFlight() int {
	return h.carrier.InFlight() + h.granter.Busy()
}

func (h *Host) owner() identifier.Owner {
	return identifier.Owner{Host: h.settings.Host.Name, Incarnation: h.incarnation}
}

// bind takes the address for peers first: holding it shows that earlier processes of this host
// have ended.
func (h *Host) bind(ctx context.Context) (err error) {
	s := h.settings
	h.peerSide, err = connector.Listen(ctx, s.Listen.Peer, connector.Config{
		Host:         s.Host.Name,
		Incarnation:  h.incarnation,
		MessageBytes: int(s.Peers.Message),
	})
	return err
}

func (h *Host) buildState(context.Context) (err error) {
	s := h.settings
	h.detector, err = detector.New(detector.Config{
		Host:        s.Host.Name,
		Zone:        s.Host.Zone,
		Incarnation: h.incarnation,
		Start:       timer.Now(),
	})
	if err != nil {
		return err
	}
	h.limiter, err = limiter.New(limiter.Config{
		Host:        s.Host.Name,
		Incarnation: h.incarnation,
		Exclusive:   true,
		Now:         timer.Now,
	})
	if err != nil {
		return err
	}
	registry := identifier.DefaultConfig(h.owner())
	registry.Lifetime = s.Work.Lifetime.Std()
	registry.MaxIdentities = s.Work.Identities
	registry.MaxAnswerBytes = int(s.Work.Answers)
	h.registry, err = identifier.New(registry)
	return err
}

func (h *Host) buildClients(context.Context) (err error) {
	s := h.settings
	cfg := connector.Config{
		Host:         s.Host.Name,
		Incarnation:  h.incarnation,
		MessageBytes: int(s.Peers.Message),
		Source:       sourceOf(s.Listen.Peer),
		IdlePerPeer:  idlePerPeer,
	}
	h.pool = connector.NewPool(cfg)
	bounds := exchanger.Bounds{BodyBytes: int(s.Callers.Answer)}
	h.exchanger, err = exchanger.New(bounds)
	if err != nil {
		return err
	}
	h.client = exchanger.NewClient(h.exchanger)
	h.forwarder, err = forwarder.New(forwarder.Config{Bounds: bounds, IdleAge: idleTargetAge})
	return err
}

// sourceOf returns the IP number of the peer address, so that peers see this host's connections
// come from the address that they know; a host that listens on all addresses lets the system
// choose.
func sourceOf(address string) string {
	a, err := netip.ParseAddrPort(address)
	if err != nil || a.Addr().IsUnspecified() {
		return ""
	}
	return a.Addr().String()
}

func (h *Host) buildConfiguration(context.Context) error {
	h.enforcer = enforcer.New(h, h.settings.Callers.Lifetime.Std(), h.log)
	h.peers = &peers{pool: h.pool, enforcer: h.enforcer}
	h.buildDistribution()
	return nil
}

func (h *Host) buildCarrier(context.Context) error {
	s := h.settings
	h.isolator = isolator.New()
	h.suspects = suspects{isolator: h.isolator}
	h.granter = granter.New(scheduler.Config{}, h.isolator, timer.Now)
	h.holdings = newHoldings(s.Host.Name, s.Host.Zone, h.granter, h.log)
	h.surveyor = surveyor.New(
		s.Host.Name, s.Host.Zone, h.enforcer, h.granter, h.detector, h.limiter,
	)
	h.retrier = retrier.New(retrier.Config{Random: rand.Float64})
	h.keys = newKeyGuard(h)
	h.carrier = carrier.New(carrier.Config{
		Host:        s.Host.Name,
		Zone:        s.Host.Zone,
		Incarnation: h.incarnation,
		Timeout:     s.Callers.Timeout.Std(),
	}, carrier.Parts{
		Configuration: h.enforcer,
		Freshness:     h.keys,
		Limiter:       h.limiter,
		Router:        h.surveyor,
		Slots:         h.granter,
		Targets:       h.forwarder,
		Peers:         h.pool,
		Members:       &members{owner: h.owner(), registry: h.registry, detector: h.detector},
		Budget:        h.retrier,
		Suspects:      h.suspects,
		Pauser:        pacer.Clock{},
		Registry:      h.registry,
		Log:           h.log,
		Now:           timer.Now,
	})
	return nil
}

func (h *Host) listen(ctx context.Context) (err error) {
	s := h.settings
	h.callers, err = server.Listen(ctx, server.Config{
		Address:     s.Listen.Caller,
		BodyBytes:   int(s.Callers.Body),
		HeaderBytes: int(s.Callers.Header),
		AnswerBytes: 2 * int(s.Callers.Answer),
		Connections: s.Callers.Connections,
		Idle:        s.Callers.Idle.Std(),
	}, h.carrier)
	if err != nil {
		return err
	}
	h.admin, err = server.Listen(ctx, server.Config{
		Address:     s.Listen.Admin,
		BodyBytes:   adminBodyBytes,
		HeaderBytes: adminHeaderBytes,
		AnswerBytes: adminAnswerBytes,
		Connections: adminConnections,
		Idle:        s.Callers.Idle.Std(),
	}, http.Handler(reporter.New(h)))
	return err
}

func (h *Host) buildGossip() *gossiper.Gossiper {
	cfg := gossiper.Config{Timeout: h.settings.Peers.Timeout.Std()}
	ticker := h.timer.Subscribe(h.settings.Peers.Beat.Std())
	return gossiper.New(cfg, h.detector, h.peers, h, h, ticker, h.log)
}

// serviceFunc is a service made of one function.
type serviceFunc func(ctx context.Context) error

// Run runs the function.
func (f serviceFunc) Run(ctx context.Context) error {
	return f(ctx)
}

func (h *Host) register(context.Context) error {
	h.gossiper = h.buildGossip()
	h.stopper = newStopper(h, h.timer.Subscribe(stopPeriod))
	loans := h.timer.Subscribe(limiter.DefaultTick)
	probes := h.timer.Subscribe(prober.Period)
	services := []struct {
		name    string
		service launcher.Service
	}{
		{"timer", h.timer},
		{serviceCallers, h.callers},
		{"admin", h.admin},
		{"peers", serviceFunc(func(ctx context.Context) error {
			return h.peerSide.Serve(ctx, &peerHandler{host: h})
		})},
		{"configuration", serviceFunc(h.runConfiguration)},
		{"gossip", h.gossiper},
		{"loans", negotiator.New(h.limiter, h.peers, loans, h.settings.Peers.Timeout.Std())},
		{"probes", prober.New(h.forwarder, h, h.granter, probes)},
		{"housekeeping", serviceFunc(h.runHousekeeping)},
		{"stop", h.stopper},
	}
	for _, s := range services {
		if err := h.kernel.Register(s.name, s.service); err != nil {
			return err
		}
	}
	return nil
}
