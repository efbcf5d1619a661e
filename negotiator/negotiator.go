package negotiator

import (
	"context"
	"sync"
	"time"

	"github.com/VictoriaMetrics/metrics"

	"github.com/fescuethread/fescuethread/limiter"
	"github.com/fescuethread/fescuethread/messenger"
	"github.com/fescuethread/fescuethread/timer"
)

const (
	// senders is the number of goroutines that exchange requests with lenders.
	senders = 4
	// ringSize is the number of requests that may wait for a sender.
	ringSize = 64
)

// Peers asks a host by name for loans.
type Peers interface {
	Borrow(
		ctx context.Context, host string, in *messenger.LoanRequest,
	) (*messenger.LoanReply, error)
}

// Limiter makes requests for loans and takes the replies.
type Limiter interface {
	// Wake tells when requests should be made before the next tick.
	Wake() <-chan struct{}
	// Requests returns what is to be sent.
	Requests() []limiter.Ask
	// Credit takes the reply of a host.
	Credit(host string, reply *messenger.LoanReply) error
}

// Ticker gives the ticks at which requests are made.
type Ticker interface {
	C() <-chan timer.Tick
	Close()
}

// Negotiator sends requests for loans.
type Negotiator struct {
	limiter Limiter
	peers   Peers
	ticker  Ticker
	timeout time.Duration
	ring    chan limiter.Ask
	asked   *metrics.Counter
	failed  *metrics.Counter
}

// New returns a negotiator; timeout is the longest wait for a reply.
func New(l Limiter, p Peers, t Ticker, timeout time.Duration) *Negotiator {
	return &Negotiator{
		limiter: l,
		peers:   p,
		ticker:  t,
		timeout: timeout,
		ring:    make(chan limiter.Ask, ringSize),
		asked:   metrics.GetOrCreateCounter("fescuethread_loan_requests_total"),
		failed:  metrics.GetOrCreateCounter("fescuethread_loan_failures_total"),
	}
}

// Run sends requests until ctx ends.
func (n *Negotiator) Run(ctx context.Context) error {
	var wg sync.WaitGroup
	defer wg.Wait()
	defer n.ticker.Close()
	for range senders {
		wg.Add(1)
		go func() {
			defer wg.Done()
			n.send(ctx)
		}()
	}
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-n.ticker.C():
		case <-n.limiter.Wake():
		}
		n.ask()
	}
}

// ask drops what does not fit into the ring; the limiter asks again on a later tick.
func (n *Negotiator) ask() {
	for _, a := range n.limiter.Requests() {
		select {
		case n.ring <- a:
		default:
			n.failed.Inc()
		}
	}
}

func (n *Negotiator) send(ctx context.Context) {
	for {
		select {
		case <-ctx.Done():
			return
		case a := <-n.ring:
			n.exchange(ctx, a)
		}
	}
}

func (n *Negotiator) exchange(ctx context.Context, a limiter.Ask) {
	ctx, cancel := context.WithTimeout(ctx, n.timeout)
	defer cancel()
	n.asked.Inc()
	reply, err := n.peers.Borrow(ctx, a.Peer, a.Request)
	if err != nil {
		n.failed.Inc()
		return
	}
	if err := n.limiter.Credit(a.Peer, reply); err != nil {
		n.failed.Inc()
	}
}
