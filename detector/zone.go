package detector

import (
	"slices"
	"sort"
	"time"

	"github.com/fescuethread/fescuethread/messenger"
	"github.com/fescuethread/fescuethread/timer"
)

// maxSuspects bounds the fingerprints that a zone reports to the others.
const maxSuspects = 16

// zone is what is known of one availability zone.
type zone struct {
	name   string
	region string
	hosts  []string
	// heard is the instant at which a sequence of the zone last grew, by the own clock.
	heard timer.Instant
	known bool
	// relayed is the instant at which a summary of the zone was last passed on in the own zone.
	relayed timer.Instant
	// summary is the newest full heartbeat of one of the hosts, heard at summarised.
	summary    *messenger.Member
	summarised timer.Instant
	// picks and rotation count the digests made for the zone.
	picks    int
	rotation int
}

// reportTicks is the number of periods between two reports to the same zone.
func (t *Table) reportTicks() int {
	return max(1, (len(t.order)+zonesPerPeriod-1)/zonesPerPeriod)
}

// cadence is the longest time between news of a zone that loses no message.
func (t *Table) cadence() time.Duration {
	return time.Duration(t.reportTicks()+1) * Period
}

// reports returns the digests for those remote zones that this host speaks to.
func (t *Table) reports(now timer.Instant) []Message {
	speakers := t.speakers(now)
	place := slices.Index(speakers, t.cfg.Host)
	if place < 0 {
		return nil
	}
	var summary *messenger.Member
	var out []Message
	for i, name := range t.order {
		if !speaksTo(i, place, len(speakers)) || (t.turn+i)%t.reportTicks() != 0 {
			continue
		}
		if summary == nil {
			summary = t.summary(now)
		}
		z := t.zones[name]
		members := append([]*messenger.Member{summary}, t.notices(now, z)...)
		digest := &messenger.Digest{From: t.cfg.Host, Members: members}
		out = append(out, Message{To: t.pick(now, z), Digest: digest})
	}
	return out
}

// speaksTo spreads the remote zones over the speakers, two for each zone.
func speaksTo(zone, place, speakers int) bool {
	return place == zone%speakers || place == (zone+1)%speakers
}

// speakers lists the live hosts of the own zone by name.
func (t *Table) speakers(now timer.Instant) []string {
	return t.live(now, t.zones[t.cfg.Zone])
}

func (t *Table) live(now timer.Instant, z *zone) []string {
	var out []string
	for _, name := range z.hosts {
		if state := t.State(now, name); state == StateLive || state == StateJoining {
			out = append(out, name)
		}
	}
	return out
}

// pick chooses the receiver of a report in turn, mostly among hosts that aren't known to be gone.
func (t *Table) pick(now timer.Instant, z *zone) string {
	z.picks++
	candidates := t.present(now, z)
	if len(candidates) == 0 || z.picks%probeTicks == 0 {
		candidates = z.hosts
	}
	return candidates[(z.picks+t.salt)%len(candidates)]
}

func (t *Table) present(now timer.Instant, z *zone) []string {
	var out []string
	for _, name := range z.hosts {
		state := t.State(now, name)
		if state != StateDead && state != StateLeft {
			out = append(out, name)
		}
	}
	return out
}

// summary is the own heartbeat with contact, loads and suspects of the whole zone.
func (t *Table) summary(now timer.Instant) *messenger.Member {
	m := t.heartbeat(now)
	sum := newSum(m.Loads)
	for _, e := range t.mates() {
		state, _ := t.judge(now, e)
		if state != StateLive && state != StateJoining && state != StateLeaving {
			continue
		}
		report := e.current()
		sum.add(report.Loads)
		m.Contact = min(m.Contact, encodeContact(e.contactAge(now)))
		m.Suspects = union(m.Suspects, report.Suspects)
	}
	m.Loads = sum.loads()
	return m
}

func (t *Table) mates() []*entry {
	var out []*entry
	for _, name := range t.zones[t.cfg.Zone].hosts {
		if e := t.entries[name]; e != nil {
			out = append(out, e)
		}
	}
	return out
}

func union(a, b [][]byte) [][]byte {
	out := slices.Clone(a)
	for _, s := range b {
		known := slices.ContainsFunc(out, func(o []byte) bool { return slices.Equal(o, s) })
		if !known && len(out) < maxSuspects {
			out = append(out, s)
		}
	}
	return out
}

// loadKey names the targets of one service in one availability zone.
type loadKey struct {
	az      string
	service string
}

// sum adds up loads by service.
type sum struct {
	services map[loadKey]*messenger.Load
}

func newSum(loads []*messenger.Load) *sum {
	s := &sum{services: make(map[loadKey]*messenger.Load)}
	s.add(loads)
	return s
}

func (s *sum) add(loads []*messenger.Load) {
	for _, l := range loads {
		key := loadKey{az: l.Az, service: l.Service}
		total := s.services[key]
		if total == nil {
			total = &messenger.Load{Az: l.Az, Service: l.Service}
			s.services[key] = total
		}
		total.Slots += l.Slots
		total.Busy += l.Busy
		total.Queued += l.Queued
		total.Ready += l.Ready
		total.Took = max(total.Took, l.Took)
	}
}

func (s *sum) loads() []*messenger.Load {
	out := make([]*messenger.Load, 0, len(s.services))
	for _, l := range s.services {
		out = append(out, l)
	}
	sort.Slice(out, func(i, j int) bool { return lessLoad(out[i], out[j]) })
	return out
}

func lessLoad(a, b *messenger.Load) bool {
	if a.Az != b.Az {
		return a.Az < b.Az
	}
	return a.Service < b.Service
}

// notices tell a remote zone of the own zone's hosts: first what changed, then one in turn.
func (t *Table) notices(now timer.Instant, z *zone) []*messenger.Member {
	mates := t.mates()
	if len(mates) == 0 {
		return nil
	}
	var out []*messenger.Member
	z.rotation++
	for _, e := range rotate(t.news(now, mates), z.rotation) {
		out = append(out, t.notice(now, e))
	}
	next := mates[z.rotation%len(mates)]
	state, _ := t.judge(now, next)
	if state == StateLive || state == StateJoining || state == StateLeaving {
		out = append(out, notice(next.member))
	}
	return out
}

// news returns the mates that changed, newest change first.
func (t *Table) news(now timer.Instant, mates []*entry) []*entry {
	var out []*entry
	for _, e := range mates {
		state, _ := t.judge(now, e)
		if t.newsworthy(now, e, state) {
			out = append(out, e)
		}
	}
	sort.SliceStable(out, func(i, j int) bool { return out[i].changed > out[j].changed })
	return out
}

// rotate cuts news to what a digest holds: half for the newest, half for the rest in turn.
func rotate(news []*entry, turn int) []*entry {
	if len(news) <= noticesPerDigest {
		return news
	}
	const newest = noticesPerDigest / 2
	out := slices.Clone(news[:newest])
	rest := news[newest:]
	for i := range noticesPerDigest - newest {
		out = append(out, rest[(turn*newest+i)%len(rest)])
	}
	return out
}

func (t *Table) newsworthy(now timer.Instant, e *entry, state State) bool {
	switch state {
	case StateDead:
		return !now.Before(t.quiet)
	case StateLeaving:
		return true
	case StateLeft:
		return t.departed(now, e)
	case StateLive:
		return now.Sub(e.changed) < probeTicks*t.cadence()
	default:
		return false
	}
}

// notice tells of a mate; the state is left out while the zone doesn't hear it.
func (t *Table) notice(now timer.Instant, e *entry) *messenger.Member {
	m := notice(e.member)
	state, _ := t.judge(now, e)
	if state == StateDead {
		m.State = messenger.State_STATE_UNSPECIFIED
	}
	return m
}
