package conductor

import (
	"sync"
	"time"

	"github.com/fescuethread/fescuethread/follower"
	"github.com/fescuethread/fescuethread/isolator"
	"github.com/fescuethread/fescuethread/messenger"
	"github.com/fescuethread/fescuethread/selector"
	"github.com/fescuethread/fescuethread/sharer"
	"github.com/fescuethread/fescuethread/timer"
)

// peerHandler builds this host's heartbeats and handles datagrams of peers for the announcer.
type peerHandler struct {
	host *Host
}

// Heartbeat returns the content of this host's next heartbeat.
func (p peerHandler) Heartbeat(now timer.Instant) *messenger.Beat {
	h := p.host
	b := &messenger.Beat{Ready: h.ready.Load(), Leaving: h.draining.Load()}
	for _, s := range h.follower.Summaries() {
		b.Proofs = append(b.Proofs, &messenger.Proof{
			Subject: uint32(s.Subject),
			Mark:    s.Hash,
			Age:     follower.AgeMillis(now, s.VerifiedAt),
		})
	}
	b.Works = encodeDemand(h.selector.Demand(now).Concurrency)
	for _, s := range p.suspects(now) {
		b.Suspects = append(b.Suspects, s.Encode(now))
	}
	for _, l := range h.selector.Leaving() {
		b.Leaves = append(b.Leaves, &messenger.Leave{Target: l.ID, Start: l.StartMillis})
	}
	b.Notices = encodeNotices(h.selector.TakeNotices(now, maxNotices))
	noticesSent.Add(len(b.GetNotices().GetTargets()))
	return b
}

// suspects returns the suspects to tell peers; in a large fleet they include quarantines of
// others.
func (p peerHandler) suspects(now timer.Instant) []isolator.Suspect {
	if p.host.roster.Sparse() {
		return p.host.isolator.KnownSuspects(now)
	}
	return p.host.isolator.Suspects(now)
}

// ZoneDemand returns the demand of all hosts of this host's availability zone.
func (p peerHandler) ZoneDemand(now timer.Instant) []*messenger.Work {
	return encodeDemand(p.host.selector.ZoneDemand(now, p.host.self.Zone))
}

// Views returns what this host has seen of at most n targets.
func (p peerHandler) Views(n int) *messenger.Views {
	views := p.host.selector.TakeViews(n)
	viewsSent.Add(len(views))
	return encodeViews(views)
}

func encodeDemand(concurrency map[string]float64) []*messenger.Work {
	var works []*messenger.Work
	for name, c := range concurrency {
		if n := uint32(c * demandScale); n > 0 {
			works = append(works, &messenger.Work{Service: name, Demand: n})
		}
	}
	return works
}

func decodeDemand(now timer.Instant, zone string, works []*messenger.Work) selector.Demand {
	d := selector.Demand{Zone: zone, UpdatedAt: now, Concurrency: map[string]float64{}}
	for _, w := range works {
		d.Concurrency[w.GetService()] = float64(w.GetDemand()) / demandScale
	}
	return d
}

// HandleDigest uses the demand of another availability zone.
func (p peerHandler) HandleDigest(now timer.Instant, zone string, d *messenger.Digest) {
	p.host.selector.SetDemand("zone "+zone, decodeDemand(now, zone, d.GetWorks()))
}

// HandleHeartbeat handles a peer's heartbeat; echoSentAt is when this host sent the heartbeat that
// the peer echoes, 0 if unknown.
func (p peerHandler) HandleHeartbeat(now, echoSentAt timer.Instant, b *messenger.Beat) {
	h := p.host
	p.handleSummaries(echoSentAt, b)
	peer, ok := h.roster.Find(b.GetHost())
	if !ok {
		return
	}
	if !h.roster.Sparse() || peer.Zone == h.self.Zone {
		// The demand of other zones comes in their digests.
		h.selector.SetDemand(b.GetHost(), decodeDemand(now, peer.Zone, b.GetWorks()))
	}
	for _, l := range b.GetLeaves() {
		h.selector.SetLeaving(selector.Leaving{ID: l.GetTarget(), StartMillis: l.GetStart()})
	}
	views := decodeViews(b.GetViews())
	viewsReceived.Add(len(views))
	h.selector.AddViews(now, views)
	p.handleNotices(now, b)
	if err := h.isolator.Merge(now, b.GetHost(), b.GetSuspects()); err != nil {
		h.log.Log(eventSuspectsInvalid)
	}
}

// handleSummaries handles the peer's summaries of the store. The age of a summary is relative to
// when the peer sent the heartbeat. Counting back from echoSentAt, which is earlier, never makes a
// summary look newer than it is.
func (p peerHandler) handleSummaries(echoSentAt timer.Instant, b *messenger.Beat) {
	if echoSentAt == 0 {
		return
	}
	for _, summary := range b.GetProofs() {
		p.host.follower.HandleSummary(b.GetHost(), follower.Summary{
			Subject:    follower.Subject(summary.GetSubject()),
			Hash:       summary.GetMark(),
			VerifiedAt: echoSentAt.Add(-time.Duration(summary.GetAge()) * time.Millisecond),
		})
	}
}

// HandleTokenRequest handles a peer's request for tokens: it debits them, then sends them to the
// peer. A peer with a waiting request gets an answer also if there are none.
func (p peerHandler) HandleTokenRequest(now timer.Instant, req *messenger.Plea) {
	h := p.host
	peer, ok := h.roster.Find(req.GetHost())
	if !ok {
		return
	}
	g := h.sharer.Debit(now, sharer.TokenRequest{
		Customer: req.GetCustomer(), Tokens: req.GetTokens(), Waiting: req.GetWait(),
	})
	if g.Tokens == 0 && !req.GetWait() {
		return
	}
	h.announcer.Send(peer, &messenger.Datagram{Gift: &messenger.Gift{
		Host:        h.self.Name,
		Customer:    req.GetCustomer(),
		Tokens:      g.Tokens,
		Number:      h.transfers.nextNumber(),
		Incarnation: h.incarnation,
		Sent:        req.GetSent(),
		Wait:        uint32(g.Wait.Milliseconds()),
	}})
}

// HandleTokenTransfer credits tokens that a peer sent; duplicates are ignored.
func (p peerHandler) HandleTokenTransfer(now timer.Instant, g *messenger.Gift) {
	if !p.host.transfers.accept(g) {
		return
	}
	p.host.sharer.Credit(now, timer.Instant(g.GetSent()), g.GetCustomer(), sharer.Grant{
		Tokens: g.GetTokens(), Wait: time.Duration(g.GetWait()) * time.Millisecond,
	})
}

// maxProcesses limits the processes per host whose latest transfer is kept. A duplicate datagram
// arrives long before a host has restarted this often.
const maxProcesses = 4

// transferLog numbers the token transfers that this host sends. For received ones it keeps the
// latest number per host and process, so that duplicate and reordered datagrams are ignored.
type transferLog struct {
	mu     sync.Mutex
	sent   uint64
	latest map[string][]lastTransfer
}

// lastTransfer is the latest transfer received from one process.
type lastTransfer struct {
	incarnation uint64
	number      uint64
}

func (l *transferLog) nextNumber() uint64 {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.sent++
	return l.sent
}

// accept records a received transfer and reports whether it is newer than the latest one of its
// sender's process.
func (l *transferLog) accept(g *messenger.Gift) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	transfers := l.latest[g.GetHost()]
	for i := range transfers {
		if transfers[i].incarnation != g.GetIncarnation() {
			continue
		}
		if g.GetNumber() <= transfers[i].number {
			return false
		}
		transfers[i].number = g.GetNumber()
		return true
	}
	if l.latest == nil {
		l.latest = map[string][]lastTransfer{}
	}
	transfers = append(transfers, lastTransfer{
		incarnation: g.GetIncarnation(), number: g.GetNumber(),
	})
	l.latest[g.GetHost()] = transfers[max(len(transfers)-maxProcesses, 0):]
	return true
}
