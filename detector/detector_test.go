package detector

import (
	"slices"
	"testing"

	"github.com/fescuethread/fescuethread/messenger"
	"github.com/fescuethread/fescuethread/timer"
)

// Hosts that have just started read the platform: while all of a zone were joining, nobody did, and
// their contacts with the platform grew old.
func TestJoiningHostsReadThePlatform(t *testing.T) {
	d, err := New(Config{Host: "a1", Zone: "a", Region: "r", Incarnation: 1, Start: timer.Instant(1)})
	if err != nil {
		t.Fatal(err)
	}
	d.Configure(1, []HostInfo{{"a1", "a", "r"}, {"a2", "a", "r"}})
	d.Update(func(t *Table) { t.SetState(messenger.State_STATE_JOINING) })
	if !slices.Contains(d.Readers(1, "a"), "a1") || !d.IsReader(1) {
		t.Fatalf("readers %v", d.Readers(1, "a"))
	}
}
