package sharer

import (
	"time"

	"github.com/fescuethread/fescuethread/timer"
)

// TokenRequest is a request to other holders for a customer's tokens.
type TokenRequest struct {
	// Customer is the customer's name.
	Customer string
	// Tokens is the number of tokens; one token admits one request.
	Tokens uint32
	// Waiting means that a request of a caller waits for a token; otherwise a bucket is refilled.
	Waiting bool
	// Peers are the names of the hosts to ask; the tokens are divided among them.
	Peers []string
}

// Grant is a holder's answer to a request for tokens.
type Grant struct {
	// Tokens is the number of tokens, which may be 0.
	Tokens uint32
	// Wait is the time until the holder has a token, if Tokens is 0.
	Wait time.Duration
}

// TokenRequests updates the average demand and returns a request for each customer whose tokens
// on this holder don't cover the expected demand.
func (s *Sharer) TokenRequests(now timer.Instant) []TokenRequest {
	s.mu.Lock()
	defer s.mu.Unlock()
	var requests []TokenRequest
	for name, b := range s.buckets {
		s.accrue(now, b)
		b.updateDemand(now)
		if !b.holder || b.tokens >= min(b.demand*demandHorizon.Seconds(), b.burst) {
			continue
		}
		if req, ok := b.refill(now); ok {
			req.Customer = name
			requests = append(requests, req)
		}
	}
	return requests
}

// TokenRequestFor returns a request for the token that a caller's request waits for. The first
// attempt asks the nearest holder, each further one the next. ok is false if there is no limit or
// no other holder.
func (s *Sharer) TokenRequestFor(customer string, attempt int) (req TokenRequest, ok bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	b, ok := s.buckets[customer]
	if !ok || len(b.peers) == 0 {
		return TokenRequest{}, false
	}
	peer := b.peers[attempt%len(b.peers)]
	return TokenRequest{
		Customer: customer,
		Tokens:   1 + uint32(b.demand*lotHorizon.Seconds()),
		Waiting:  true,
		Peers:    []string{peer.Name},
	}, true
}

// Holders returns the number of other hosts that a request for tokens may go to.
func (s *Sharer) Holders(customer string) int {
	s.mu.Lock()
	defer s.mu.Unlock()
	if b, ok := s.buckets[customer]; ok {
		return len(b.peers)
	}
	return 0
}

// Answered returns a channel that is closed when another host answers a request for the
// customer's tokens; nil if there is no limit.
func (s *Sharer) Answered(customer string) <-chan struct{} {
	s.mu.Lock()
	defer s.mu.Unlock()
	if b, ok := s.buckets[customer]; ok {
		return b.answered
	}
	return nil
}

// Debit subtracts up to the wanted number of tokens for another host. A waiting request gets what
// there is; a refill gets only tokens beyond this host's expected demand and its reserve.
func (s *Sharer) Debit(now timer.Instant, req TokenRequest) Grant {
	s.mu.Lock()
	defer s.mu.Unlock()
	b, ok := s.buckets[req.Customer]
	if !ok {
		return Grant{}
	}
	s.accrue(now, b)
	available := b.spare()
	if req.Waiting {
		available = b.tokens
		b.arrivals++
	}
	n := min(req.Tokens, uint32(max(available, 0)))
	b.tokens -= float64(n)
	if n == 0 {
		return Grant{Wait: b.wait()}
	}
	return Grant{Tokens: n}
}

// Credit adds the tokens of a holder's answer to a request that was sent at requestedAt. Tokens
// beyond the burst are lost, as are all that arrive before tokens accrue.
func (s *Sharer) Credit(now, requestedAt timer.Instant, customer string, g Grant) {
	s.mu.Lock()
	defer s.mu.Unlock()
	b, ok := s.buckets[customer]
	if !ok || now.Before(s.accrueFrom) {
		return
	}
	s.accrue(now, b)
	if b.holder {
		b.tokens = min(b.tokens+float64(g.Tokens), b.burst)
	} else {
		b.lots.add(now, requestedAt, g.Tokens)
	}
	b.expect(now, g)
	close(b.answered)
	b.answered = make(chan struct{})
}
