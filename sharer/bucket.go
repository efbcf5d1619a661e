package sharer

import (
	"math"
	"time"

	"github.com/fescuethread/fescuethread/timer"
)

// bucket holds a customer's tokens on this host.
type bucket struct {
	// holder is set if this host has a share of the customer's rate.
	holder bool
	// peers are the other holders, from near to far.
	peers []Host
	// turn is the position among peers of the next refill.
	turn      int
	rate      float64
	burst     float64
	tokens    float64
	accruedAt timer.Instant
	// lots are the tokens of a host without a share.
	lots lots
	// demand is the moving average of the arrivals, in requests per second.
	demand      float64
	requestedAt timer.Instant
	arrivals    float64
	measuredAt  timer.Instant
	// nextTokenAt is when a holder expects to have a token, by the answers to the latest requests.
	nextTokenAt timer.Instant
	// exhaustedUntil is the time until which no holder is asked, because none had a token.
	exhaustedUntil timer.Instant
	// answered is closed and replaced at each answer of another host.
	answered chan struct{}
}

// wait returns the time until the next token accrues at a holder.
func (b *bucket) wait() time.Duration {
	if b.rate <= 0 {
		return 0
	}
	return time.Duration(max(1-b.tokens, 0) / b.rate * float64(time.Second))
}

// expect records when a holder will have a token: the earliest time of the latest answers.
func (b *bucket) expect(now timer.Instant, g Grant) {
	at := now.Add(g.Wait)
	if g.Tokens > 0 || b.nextTokenAt <= now || at < b.nextTokenAt {
		b.nextTokenAt = at
	}
}

// refill returns a request that fills a holder's bucket, to the next holders in turn. ok is false
// if the bucket is full, there is no other holder or the last request is too recent.
func (b *bucket) refill(now timer.Instant) (req TokenRequest, ok bool) {
	n := uint32(math.Ceil(b.burst - b.tokens))
	if n == 0 || len(b.peers) == 0 || now.Sub(b.requestedAt) < minTokenRequestInterval {
		return TokenRequest{}, false
	}
	b.requestedAt = now
	req.Tokens = n
	for range min(maxRefillPeers, len(b.peers)) {
		req.Peers = append(req.Peers, b.peers[b.turn%len(b.peers)].Name)
		b.turn++
	}
	return req, true
}

// spare returns the tokens that exceed both the expected demand and the reserve.
func (b *bucket) spare() float64 {
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
