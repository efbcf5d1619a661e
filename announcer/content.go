package announcer

import (
	"google.golang.org/protobuf/proto"

	"github.com/fescuethread/fescuethread/messenger"
	"github.com/fescuethread/fescuethread/timer"
)

// sharesViews reports whether a recipient gets views of targets: those near this host, whose
// callers' requests reach the same targets.
func (a *Announcer) sharesViews(to recipient) bool {
	return to.link == linkMesh && to.Region == a.self.Region
}

// viewRoom returns for how many targets the heartbeats have room.
func (a *Announcer) viewRoom(
	recipients []recipient, b *messenger.Beat, digests map[link][]*messenger.Digest,
) int {
	sizes := map[link]int{}
	rest, viewers := 0, 0
	for _, to := range recipients {
		if _, ok := sizes[to.link]; !ok {
			b.Digests = digests[to.link]
			sizes[to.link] = proto.Size(b) + datagramOverhead
		}
		rest += sizes[to.link]
		if a.sharesViews(to) {
			viewers++
		}
	}
	if viewers == 0 {
		return 0
	}
	room := int(maxControlBytes*a.interval().Seconds()) - rest - viewers*viewsOverhead
	return min(max(room/(viewers*viewBytes), 0), maxViews)
}

// digests returns the digests to send over each kind of link.
func (a *Announcer) digests(
	now timer.Instant, t *topology, b *messenger.Beat, round uint64,
) map[link][]*messenger.Digest {
	if !t.sparse() {
		return nil
	}
	own := a.roster.ownDigest(now, a.self, b.GetReady() && !b.GetLeaving())
	own.Works = a.handler.ZoneDemand(now)
	lists := map[link][]*messenger.Digest{}
	for _, l := range []link{linkMesh, linkZone, linkRegion} {
		lists[l] = a.roster.relayedDigests(now, a.self, l, round)
		if l != linkMesh {
			lists[l] = append(lists[l], own)
		}
	}
	return lists
}
