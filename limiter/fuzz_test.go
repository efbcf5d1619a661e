package limiter

import (
	"testing"

	"google.golang.org/protobuf/proto"

	"github.com/fescuethread/fescuethread/messenger"
	"github.com/fescuethread/fescuethread/timer"
)

// FuzzLend gives a lender any request that decodes; it never lends more than its home share.
func FuzzLend(f *testing.F) {
	seed, err := proto.Marshal(&messenger.LoanRequest{
		Borrower: "b", Incarnation: 2, Sequence: 1,
		Wants: []*messenger.Loan{{Account: "c", Rate: 1, Burst: 1, Demand: 1 << 40}},
	})
	if err != nil {
		f.Fatal(err)
	}
	f.Add(seed)
	f.Fuzz(func(t *testing.T, data []byte) {
		var in messenger.LoanRequest
		if proto.Unmarshal(data, &in) != nil {
			return
		}
		now := timer.Instant(DefaultTerm)
		l, err := New(Config{
			Host: "a", Incarnation: 1, Exclusive: true, Now: func() timer.Instant { return now },
		})
		if err != nil {
			t.Fatal(err)
		}
		plan := Plan{Version: 1, Hosts: []string{"a", "b"}, Accounts: []Account{{"c", 100, 100}}}
		if err := l.Configure(plan); err != nil {
			t.Fatal(err)
		}
		now = now.Add(2 * DefaultTerm)
		if !l.Snapshot().Usable {
			t.Fatal("the home share is not usable")
		}
		reply, err := l.Lend(&in)
		if err != nil {
			return
		}
		for _, g := range reply.GetGrants() {
			if g.GetRate() > 100*scale || g.GetBurst() > 100*scale {
				t.Fatalf("lent %v", g)
			}
		}
	})
}
