package announcer

import (
	"testing"
	"time"

	"github.com/fescuethread/fescuethread/messenger"
	"github.com/fescuethread/fescuethread/timer"
)

func TestRosterTakesOnlyNewerBeatsOfMembers(t *testing.T) {
	r := NewRoster("self")
	joined, _ := r.Replace(1, []Member{{Name: "self"}, {Name: "a"}})
	if len(joined) != 1 || joined[0] != "a" {
		t.Fatal(joined)
	}
	if r.hear(5, &messenger.Beat{Host: "stranger", Sequence: 1}) {
		t.Fatal("a stranger was heard")
	}
	for _, tt := range []struct {
		incarnation, sequence uint64
		want                  bool
	}{{2, 5, true}, {2, 5, false}, {2, 4, false}, {1, 9, false}, {3, 1, true}} {
		b := &messenger.Beat{Host: "a", Incarnation: tt.incarnation, Sequence: tt.sequence}
		if got := r.hear(10, b); got != tt.want {
			t.Fatalf("%+v: %v", tt, got)
		}
	}
}

func TestPeerServesOnlyWhileItIsHeard(t *testing.T) {
	p := Peer{Heard: 100, Beat: &messenger.Beat{Ready: true}}
	late := timer.Instant(100).Add(LiveTerm + time.Millisecond)
	if !p.Serving(100, LiveTerm) || p.Serving(late, LiveTerm) {
		t.Fatal("the term is not kept")
	}
	p.Beat = &messenger.Beat{Ready: true, Leaving: true}
	if p.Serving(100, LiveTerm) {
		t.Fatal("a leaving host serves")
	}
}

func TestEchoDatesWhatAPeerTells(t *testing.T) {
	a := &Announcer{}
	for i := range 40 {
		a.number(timer.Instant(1000 + i))
	}
	if at := a.asked(40); at != 1039 {
		t.Fatal(at)
	}
	if at := a.asked(39); at != 1038 {
		t.Fatal(at)
	}
	for _, echo := range []uint64{0, 8, 41} {
		if at := a.asked(echo); at != 0 {
			t.Fatalf("echo %d is dated %d", echo, at)
		}
	}
}
