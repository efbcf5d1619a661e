package detector

import (
	"testing"

	"google.golang.org/protobuf/proto"

	"github.com/fescuethread/fescuethread/messenger"
	"github.com/fescuethread/fescuethread/timer"
)

// FuzzReceive gives the table any digest that decodes; the views must survive it.
func FuzzReceive(f *testing.F) {
	seed := &messenger.Digest{From: "a2", Members: []*messenger.Member{{
		Host: "a2", Az: "a", Incarnation: 2, Sequence: 3, State: messenger.State_STATE_LIVE,
		Loads: []*messenger.Load{{Service: "s", Slots: 9}},
	}, nil}}
	data, err := proto.Marshal(seed)
	if err != nil {
		f.Fatal(err)
	}
	f.Add(data)
	f.Fuzz(func(t *testing.T, data []byte) {
		var in messenger.Digest
		if proto.Unmarshal(data, &in) != nil {
			return
		}
		d, err := New(Config{Host: "a1", Zone: "a", Region: "r", Incarnation: 1, Start: 1})
		if err != nil {
			t.Fatal(err)
		}
		d.Configure(1, []HostInfo{{"a1", "a", "r"}, {"a2", "a", "r"}, {"b1", "b", "r"}})
		now := timer.Instant(Period)
		d.Receive(now, in.GetFrom(), &in)
		d.Tick(now)
		_ = d.Snapshot(now.Add(Period))
	})
}
