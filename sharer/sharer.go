package sharer

import (
	"math"
	"sort"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/fescuethread/fescuethread/planner"
	"github.com/fescuethread/fescuethread/timer"
)

const (
	// demandHorizon is the period whose expected demand a host's tokens should cover. With fewer
	// tokens, the host requests some from others; it gives away only tokens beyond that demand.
	demandHorizon = 500 * time.Millisecond
	// minTokenRequestInterval is the minimum time between two requests for one customer's tokens.
	minTokenRequestInterval = 60 * time.Millisecond
	// demandTimeConstant is the time constant of the moving average of the demand.
	demandTimeConstant = time.Second
	// reserveFraction is the fraction of a bucket's capacity that a host never gives away.
	reserveFraction = 0.25
	// minShareBurst is the minimum burst of a share: with less, a host could not always serve a
	// request and give another host a token.
	minShareBurst = 2.5
	// noShareBurst is the burst of a host without a share.
	noShareBurst = 1
)

// Reason is the result of an admission check.
type Reason string

const (
	// ReasonAdmitted means that a token was spent, or that the customer has no limit.
	ReasonAdmitted Reason = "admitted"
	// ReasonRate means that this host has no token for the customer.
	ReasonRate Reason = "rate"
)

// Spare is the number of a customer's tokens that a host can give away.
type Spare struct {
	// Customer is the customer's name.
	Customer string
	// Tokens is the number of tokens; one token admits one request.
	Tokens uint32
}

// TokenRequest is a request to other hosts for a customer's tokens.
type TokenRequest struct {
	// Customer is the customer's name.
	Customer string
	// Tokens is the number of tokens; one token admits one request.
	Tokens uint32
}

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

// Sharer holds this host's token buckets; it is safe for concurrent use.
//
// A customer's rate and total burst, which is the burst plus extraBurst, are divided into equal
// shares: one per host, or fewer for a customer with a small burst. Hosts pass tokens to each
// other: the giver debits them before the receiver credits them, and a new process starts without
// tokens. So all hosts together never exceed the rate and the total burst, and a lost message only
// loses tokens.
type Sharer struct {
	host      string
	tolerance Tolerance

	mu         sync.Mutex
	accrueFrom timer.Instant
	buckets    map[string]*bucket
}

type bucket struct {
	// noShare is set if this host has no share of the customer's rate.
	noShare   bool
	rate      float64
	burst     float64
	tokens    float64
	accruedAt timer.Instant
	// demand is the moving average of the arrivals, in requests per second.
	demand      float64
	requestedAt timer.Instant
	arrivals    float64
	measuredAt  timer.Instant
}

// New returns a sharer without tokens; none accrue before AccrueFrom is called.
func New(host string, t Tolerance) *Sharer {
	return &Sharer{
		host: host, tolerance: t, accrueFrom: math.MaxInt64, buckets: map[string]*bucket{},
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

// Configure sets the customers' limits and the names of all hosts that share them. A bucket that
// exists keeps its tokens, up to the new burst.
func (s *Sharer) Configure(now timer.Instant, customers []planner.Customer, hosts []string) {
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
			b = &bucket{accruedAt: now, measuredAt: now}
		}
		s.accrue(now, b)
		burst := max(c.Burst, 1)
		s.assignShare(b, c.Name, c.Rate, burst+s.tolerance.extraBurst(c.Rate, burst), hosts)
		b.tokens = min(b.tokens, b.burst)
		buckets[c.Name] = b
	}
	s.buckets = buckets
}

// assignShare sets the bucket's share of a customer's rate and of the total burst. The hosts with
// the lowest rendezvous hashes have the shares. On a host without a share no tokens accrue; it
// gets them from other hosts when a request waits.
func (s *Sharer) assignShare(
	b *bucket, customer string, rate, totalBurst float64, hosts []string,
) {
	n := max(len(hosts), 1)
	shares := min(max(int(totalBurst/minShareBurst), 1), n)
	b.noShare = shares < n && s.rank(customer, hosts) >= shares
	if b.noShare {
		b.rate, b.burst = 0, noShareBurst
		return
	}
	b.rate = rate / float64(shares)
	b.burst = totalBurst / float64(shares)
}

// rank returns the number of hosts with a lower rendezvous hash for the customer than this one.
func (s *Sharer) rank(customer string, hosts []string) int {
	ownHash := xxhash.Sum64String(customer + "\x00" + s.host)
	rank := 0
	for _, name := range hosts {
		if name != s.host && xxhash.Sum64String(customer+"\x00"+name) < ownHash {
			rank++
		}
	}
	return rank
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
	if b.tokens < 1 {
		return ReasonRate
	}
	b.tokens--
	return ReasonAdmitted
}

// RetryAfter returns the time from the last refusal until the customer's next token accrues; 0 if
// no tokens accrue on this host.
func (s *Sharer) RetryAfter(customer string) time.Duration {
	s.mu.Lock()
	defer s.mu.Unlock()
	b, ok := s.buckets[customer]
	if !ok || b.rate <= 0 {
		return 0
	}
	return time.Duration(max(1-b.tokens, 0) / b.rate * float64(time.Second))
}

// Spares lists the tokens that this host can give away for each customer with a limit, sorted by
// customer.
func (s *Sharer) Spares(now timer.Instant) []Spare {
	s.mu.Lock()
	defer s.mu.Unlock()
	spares := make([]Spare, 0, len(s.buckets))
	for name, b := range s.buckets {
		s.accrue(now, b)
		spares = append(spares, Spare{Customer: name, Tokens: uint32(b.spare())})
	}
	sort.Slice(spares, func(i, j int) bool { return spares[i].Customer < spares[j].Customer })
	return spares
}

// TokenRequests updates the average demand and returns a request for each customer whose tokens
// don't cover the expected demand.
func (s *Sharer) TokenRequests(now timer.Instant) []TokenRequest {
	s.mu.Lock()
	defer s.mu.Unlock()
	var requests []TokenRequest
	for name, b := range s.buckets {
		s.accrue(now, b)
		b.updateDemand(now)
		if b.noShare || b.tokens >= min(b.demand*demandHorizon.Seconds(), b.burst) {
			continue
		}
		if n, ok := b.request(now); ok {
			requests = append(requests, TokenRequest{Customer: name, Tokens: n})
		}
	}
	return requests
}

// TokenRequestFor returns a request for the customer's tokens. It reports false if there is no
// limit, the bucket is full or the last request is too recent.
func (s *Sharer) TokenRequestFor(now timer.Instant, customer string) (TokenRequest, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	b, ok := s.buckets[customer]
	if !ok {
		return TokenRequest{}, false
	}
	s.accrue(now, b)
	n, ok := b.request(now)
	return TokenRequest{Customer: customer, Tokens: n}, ok
}

// Debit subtracts up to the wanted number of tokens for another host and returns how many.
func (s *Sharer) Debit(now timer.Instant, customer string, wanted uint32) uint32 {
	s.mu.Lock()
	defer s.mu.Unlock()
	b, ok := s.buckets[customer]
	if !ok {
		return 0
	}
	s.accrue(now, b)
	n := min(wanted, uint32(b.spare()))
	b.tokens -= float64(n)
	return n
}

// Credit adds tokens that another host has debited. Tokens beyond the burst are lost, as are
// all that arrive before tokens accrue.
func (s *Sharer) Credit(now timer.Instant, customer string, tokens uint32) {
	s.mu.Lock()
	defer s.mu.Unlock()
	b, ok := s.buckets[customer]
	if !ok || now.Before(s.accrueFrom) {
		return
	}
	s.accrue(now, b)
	b.tokens = min(b.tokens+float64(tokens), b.burst)
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

// request returns the number of tokens to request from other hosts.
func (b *bucket) request(now timer.Instant) (uint32, bool) {
	n := uint32(math.Ceil(b.burst - b.tokens))
	if n == 0 || now.Sub(b.requestedAt) < minTokenRequestInterval {
		return 0, false
	}
	b.requestedAt = now
	return n, true
}

// spare returns the tokens that exceed both the expected demand and the reserve.
func (b *bucket) spare() float64 {
	if b.noShare {
		return 0
	}
	return max(b.tokens-max(b.demand*demandHorizon.Seconds(), reserveFraction*b.burst), 0)
}

// updateDemand adds the arrivals since the last update to the moving average of the demand.
func (b *bucket) updateDemand(now timer.Instant) {
	elapsed := now.Sub(b.measuredAt)
	if elapsed <= 0 {
		return
	}
	weight := 1 - math.Exp(-elapsed.Seconds()/demandTimeConstant.Seconds())
	b.demand += weight * (b.arrivals/elapsed.Seconds() - b.demand)
	b.arrivals = 0
	b.measuredAt = now
}
