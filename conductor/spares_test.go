package conductor

import (
	"fmt"
	"testing"
	"time"

	"github.com/fescuethread/fescuethread/sharer"
	"github.com/fescuethread/fescuethread/timer"
)

// A heartbeat reports the spare tokens of a few customers; successive heartbeats must cover all.
func TestHeartbeatsRotateThroughSpares(t *testing.T) {
	const customers = 85
	var spares []sharer.Spare
	for i := range customers {
		spares = append(spares, sharer.Spare{Customer: fmt.Sprint("c", i), Tokens: uint32(i)})
	}
	var sender, receiver spareTable
	now := timer.Instant(time.Hour)
	for range customers/maxSparesPerHeartbeat + 1 {
		batch := sender.nextBatch(spares)
		if len(batch) > maxSparesPerHeartbeat {
			t.Fatalf("%d customers in a heartbeat", len(batch))
		}
		receiver.record(now, "h", batch)
	}
	for _, s := range spares {
		if n := len(receiver.peersBySpare(now, s.Customer)); n != int(min(s.Tokens, 1)) {
			t.Fatalf("%d peers returned for %d spare tokens of %s", n, s.Tokens, s.Customer)
		}
	}
	if len(receiver.peersBySpare(now.Add(2*spareTTL), "c9")) != 0 {
		t.Fatal("an expired report is used")
	}
	receiver.deduct("h", "c9", 9)
	if len(receiver.peersBySpare(now, "c9")) != 0 {
		t.Fatal("requested tokens still count as spare")
	}
}
