package announcer

import (
	"io"
	"testing"
	"time"

	"github.com/apex/log"
	"google.golang.org/protobuf/proto"

	"github.com/fescuethread/fescuethread/logger"
	"github.com/fescuethread/fescuethread/messenger"
	"github.com/fescuethread/fescuethread/timer"
)

func TestRosterAcceptsOnlyNewerHeartbeatsOfMembers(t *testing.T) {
	r := NewRoster(Member{Name: "self"})
	joined, _ := r.Replace(1, []Member{{Name: "self"}, {Name: "a"}})
	if len(joined) != 1 || joined[0] != "a" {
		t.Fatal(joined)
	}
	if r.record(5, &messenger.Beat{Host: "unregistered", Sequence: 1}) {
		t.Fatal("a heartbeat of an unregistered host was accepted")
	}
	for _, tt := range []struct {
		incarnation, sequence uint64
		want                  bool
	}{{2, 5, true}, {2, 5, false}, {2, 4, false}, {1, 9, false}, {3, 1, true}} {
		b := &messenger.Beat{Host: "a", Incarnation: tt.incarnation, Sequence: tt.sequence}
		if got := r.record(10, b); got != tt.want {
			t.Fatalf("%+v: %v", tt, got)
		}
	}
}

// TestLowerIncarnationIsAcceptedAfterTimeout: a process that starts after the system clock was set
// back has a lower incarnation than the one before it, and must still become live.
func TestLowerIncarnationIsAcceptedAfterTimeout(t *testing.T) {
	r := NewRoster(Member{Name: "self"})
	r.Replace(1, []Member{{Name: "a"}})
	r.record(10, &messenger.Beat{Host: "a", Incarnation: 9, Sequence: 70})
	next := &messenger.Beat{Host: "a", Incarnation: 8, Sequence: 1}
	if r.record(timer.Instant(10).Add(HeartbeatTimeout), next) {
		t.Fatal("a lower incarnation was accepted while the last process is live")
	}
	if !r.record(timer.Instant(11).Add(HeartbeatTimeout), next) {
		t.Fatal("the lower incarnation was not accepted after the timeout")
	}
}

func TestPeerServesOnlyWhileLive(t *testing.T) {
	p := Peer{HeartbeatAt: 100, Heartbeat: &messenger.Beat{Ready: true}}
	late := timer.Instant(100).Add(HeartbeatTimeout + time.Millisecond)
	if !p.Serving(100, HeartbeatTimeout) || p.Serving(late, HeartbeatTimeout) {
		t.Fatal("the peer is not serving, or still is after the timeout")
	}
	p.Heartbeat = &messenger.Beat{Ready: true, Leaving: true}
	if p.Serving(100, HeartbeatTimeout) {
		t.Fatal("a host that shuts down is serving")
	}
}

// TestEchoSentAt: only a heartbeat that was sent and is still in the ring buffer has a send time.
func TestEchoSentAt(t *testing.T) {
	const first = 1 << 20
	a := &Announcer{sequence: first}
	for i := range 40 {
		a.nextSequence(timer.Instant(1000 + i))
	}
	if at := a.echoSentAt(first + 40); at != 1039 {
		t.Fatal(at)
	}
	if at := a.echoSentAt(first + 39); at != 1038 {
		t.Fatal(at)
	}
	for _, echo := range []uint64{0, first + 8, first + 41} {
		if at := a.echoSentAt(echo); at != 0 {
			t.Fatalf("echo %d: sent at %d, want 0", echo, at)
		}
	}
}

// TestEchoOfEarlierProcessIsUnknown: a peer that has received no heartbeat of the new process yet
// echoes one of the old process. The peer's heartbeat may have been delayed for long, so the new
// process must not take that echo for one of its own, which would date the heartbeat too late.
func TestEchoOfEarlierProcessIsUnknown(t *testing.T) {
	self := Member{Name: "a", PeerAddress: "127.0.0.1:0"}
	old, next := listen(t, self), listen(t, self)
	var echo uint64
	for i := range sentAtSize {
		echo = old.nextSequence(timer.Instant(1 + i))
		next.nextSequence(timer.Instant(1000 + i))
		if at := next.echoSentAt(echo); at != 0 {
			t.Fatalf("echo of heartbeat %d of an earlier process: sent at %d, want 0", i, at)
		}
	}
}

func listen(t *testing.T, self Member) *Announcer {
	t.Helper()
	a, err := Listen(self, 1, NewRoster(self), nil, nil)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = a.conn.Close() })
	return a
}

// panicHandler panics at each token transfer.
type panicHandler struct {
	simHandler
}

func (*panicHandler) HandleTokenTransfer(timer.Instant, *messenger.Gift) { panic("unexpected") }

// TestDatagramsAreSurvived: neither malformed datagrams nor an unexpected error in the handling of
// one end the process.
func TestDatagramsAreSurvived(t *testing.T) {
	a := &Announcer{
		roster: NewRoster(Member{Name: "a"}), handler: &panicHandler{},
		log: logger.New(io.Discard, logger.FormatJSON, log.FatalLevel),
	}
	for _, d := range []*messenger.Datagram{
		{}, {Gift: &messenger.Gift{}}, {Plea: &messenger.Plea{}}, {Beat: &messenger.Beat{}},
		{Beat: &messenger.Beat{Digests: []*messenger.Digest{{Live: []byte("x")}}}},
	} {
		data, err := proto.Marshal(d)
		if err != nil {
			t.Fatal(err)
		}
		for n := range len(data) + 1 {
			a.handle(data[:n])
		}
	}
}
