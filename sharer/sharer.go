package sharer

import (
	"math"
	"sync"
	"time"

	"github.com/fescuethread/fescuethread/planner"
	"github.com/fescuethread/fescuethread/timer"
)

const (
	// demandHorizon is the period whose expected demand a holder's tokens should cover. With fewer
	// tokens, it requests some from others; it gives them only tokens beyond that demand.
	demandHorizon = 500 * time.Millisecond
	// lotHorizon is the period whose expected demand a host without a share requests at once.
	lotHorizon = 200 * time.Millisecond
	// minTokenRequestInterval is the minimum time between two requests of a holder that refill its
	// bucket.
	minTokenRequestInterval = 60 * time.Millisecond
	// demandTimeConstant is the time constant of the moving average of the demand.
	demandTimeConstant = time.Second
	// reserveFraction is the fraction of a bucket's capacity that a holder keeps when another one
	// refills its bucket.
	reserveFraction = 0.25
	// minShareBurst is the minimum burst of a share: with less, a host could not always serve a
	// request and give another host a token.
	minShareBurst = 2.5
	// maxExhausted is the longest time for which no holder is asked after none had a token.
	maxExhausted = 500 * time.Millisecond
	// maxRefillPeers is the number of other holders that are asked to refill a bucket, by turns.
	maxRefillPeers = 2
)

// Reason is the result of an admission check.
type Reason string

const (
	// ReasonAdmitted means that a token was spent, or that the customer has no limit.
	ReasonAdmitted Reason = "admitted"
	// ReasonRate means that this host has no token for the customer.
	ReasonRate Reason = "rate"
	// ReasonExhausted means that no host had a token for the customer a moment ago.
	ReasonExhausted Reason = "exhausted"
)

// Tolerance is how far a customer's requests in a window may exceed rate × Window + burst.
type Tolerance struct {
	// Window is the length of the window.
	Window time.Duration
	// ExcessFraction is the allowed excess as a fraction of rate × Window + burst.
	ExcessFraction float64
	// Slack is a number of requests, allowed in addition to ExcessFraction.
	Slack float64
}

// toleranceFraction is the fraction of the tolerance that is added to the hosts' bursts. The rest
// covers the time until a change of the limits has reached all hosts.
const toleranceFraction = 0.5

// extraBurst returns how far the bursts of all hosts together exceed the customer's burst. Without
// it an equal share of a small burst would be less than one request.
func (t Tolerance) extraBurst(rate, burst float64) float64 {
	return toleranceFraction * (t.Slack + t.ExcessFraction*(rate*t.Window.Seconds()+burst))
}

// totalBurst returns the burst of all holders together. Tokens in lots come on top of it: those of
// the last LotTTL.
func (t Tolerance) totalBurst(rate, burst float64) float64 {
	total := burst + t.extraBurst(rate, burst) - rate*LotTTL.Seconds()
	return max(total, 1)
}

// Sharer holds this host's token buckets; it is safe for concurrent use.
//
// A customer's rate and total burst are divided into equal shares among a few hosts, the holders.
// The other hosts request tokens from them when a request waits, and holders refill each other.
// The giver debits tokens before the receiver credits them, and a new process starts without any.
// So all hosts together never exceed the rate and the total burst, and a lost message only loses
// tokens.
type Sharer struct {
	self      Host
	tolerance Tolerance

	mu         sync.Mutex
	accrueFrom timer.Instant
	buckets    map[string]*bucket
}

// New returns a sharer without tokens; none accrue before AccrueFrom is called.
func New(self Host, t Tolerance) *Sharer {
	return &Sharer{
		self: self, tolerance: t, accrueFrom: math.MaxInt64, buckets: map[string]*bucket{},
	}
}

// AccrueFrom lets tokens accrue from an instant on. By then all other hosts have to count this
// host when they compute their shares; otherwise the shares add up to more than the rate.
func (s *Sharer) AccrueFrom(at timer.Instant) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.accrueFrom = at
	for _, b := range s.buckets {
		b.accruedAt = at
	}
}

// Accruing reports whether tokens accrue yet.
func (s *Sharer) Accruing(now timer.Instant) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return !now.Before(s.accrueFrom)
}

// Configure sets the customers' limits and the registered hosts. A bucket that exists keeps its
// tokens, up to the new burst.
func (s *Sharer) Configure(now timer.Instant, customers []planner.Customer, hosts []Host) {
	s.mu.Lock()
	defer s.mu.Unlock()
	buckets := make(map[string]*bucket, len(customers))
	for i := range customers {
		c := &customers[i]
		if c.Rate <= 0 {
			continue
		}
		b, ok := s.buckets[c.Name]
		if !ok {
			b = &bucket{accruedAt: now, measuredAt: now, answered: make(chan struct{})}
		}
		s.accrue(now, b)
		s.assignShare(b, c, hosts)
		b.tokens = min(b.tokens, b.burst)
		buckets[c.Name] = b
	}
	s.buckets = buckets
}

// assignShare sets the holders of a customer and this host's share of the rate and of the burst;
// without a share it is 0.
func (s *Sharer) assignShare(b *bucket, c *planner.Customer, hosts []Host) {
	total := s.tolerance.totalBurst(c.Rate, max(c.Burst, 1))
	list := holders(c.Name, hosts, max(int(total/minShareBurst), 1))
	b.peers = byDistance(s.self, list)
	b.holder = len(b.peers) < len(list) || len(list) == 0
	b.rate, b.burst = 0, 0
	if b.holder {
		shares := float64(max(len(list), 1))
		b.rate, b.burst = c.Rate/shares, total/shares
	}
}

// Admit counts a request of the customer and spends one token for it.
func (s *Sharer) Admit(now timer.Instant, customer string) Reason {
	s.mu.Lock()
	defer s.mu.Unlock()
	b, ok := s.buckets[customer]
	if !ok {
		return ReasonAdmitted
	}
	b.arrivals++
	return s.spend(now, b)
}

// AdmitWaiting spends one token for a request that Admit has refused; it doesn't count it again.
func (s *Sharer) AdmitWaiting(now timer.Instant, customer string) Reason {
	s.mu.Lock()
	defer s.mu.Unlock()
	b, ok := s.buckets[customer]
	if !ok {
		return ReasonAdmitted
	}
	return s.spend(now, b)
}

func (s *Sharer) spend(now timer.Instant, b *bucket) Reason {
	s.accrue(now, b)
	switch {
	case b.tokens >= 1:
		b.tokens--
	case b.lots.spend(now):
	case now.Before(b.exhaustedUntil):
		return ReasonExhausted
	default:
		return ReasonRate
	}
	return ReasonAdmitted
}

// MarkExhausted records that no holder had a token for the customer; for a moment Admit returns
// ReasonExhausted in place of ReasonRate.
func (s *Sharer) MarkExhausted(now timer.Instant, customer string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if b, ok := s.buckets[customer]; ok {
		b.exhaustedUntil = min(max(b.nextTokenAt, now.Add(b.wait())), now.Add(maxExhausted))
	}
}

// RetryAfter returns the time until a token of the customer is expected; 0 if that is unknown.
func (s *Sharer) RetryAfter(now timer.Instant, customer string) time.Duration {
	s.mu.Lock()
	defer s.mu.Unlock()
	b, ok := s.buckets[customer]
	if !ok {
		return 0
	}
	if b.holder {
		return b.wait()
	}
	return max(b.nextTokenAt.Sub(now), 0)
}

func (s *Sharer) accrue(now timer.Instant, b *bucket) {
	if now.Before(s.accrueFrom) {
		b.accruedAt = s.accrueFrom
		return
	}
	if now <= b.accruedAt {
		return
	}
	b.tokens = min(b.tokens+now.Sub(b.accruedAt).Seconds()*b.rate, b.burst)
	b.accruedAt = now
}
