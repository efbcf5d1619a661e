package assembler

import (
	"slices"
	"testing"

	"github.com/fescuethread/fescuethread/storer"
)

func TestRollTellsGoneFromNotYetListed(t *testing.T) {
	r := newRoll()
	r.read([]storer.Host{{Name: "a", State: storer.HostLive}, {Name: "b", State: storer.HostLive}})
	r.read([]storer.Host{{Name: "a", State: storer.HostLive}})
	if gone := r.goneHosts(); !slices.Equal(gone, []string{"b"}) {
		t.Fatalf("gone %v", gone)
	}
	r.read([]storer.Host{{Name: "a", State: storer.HostLive}, {Name: "b", State: storer.HostLive}})
	if gone := r.goneHosts(); len(gone) != 0 {
		t.Fatalf("gone %v after b returned", gone)
	}
}
