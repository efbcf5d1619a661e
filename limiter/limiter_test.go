package limiter

import (
	"math/rand"
	"testing"
	"time"
)

func fleet(t testing.TB, n int, accounts ...Account) *world {
	w := newWorld(t)
	w.publish(Plan{Hosts: names(n), Accounts: accounts})
	r := rand.New(rand.NewSource(1))
	for _, h := range names(n) {
		w.learn(w.start(h, drift(r), true))
	}
	w.settleDown(4 * time.Second)
	return w
}

func TestEvenDemandIsAdmittedFromHomeShares(t *testing.T) {
	w := fleet(t, 7, Account{Name: "a", Rate: 70, Burst: 70})
	w.settleDown(2 * time.Second)
	for _, p := range w.procs {
		for i := range 10 {
			if d := w.admit(p, "a", 1); !d.Admitted {
				t.Fatalf("request %d at %s was refused: %v", i, p.host, d.Reason)
			}
		}
	}
}

func TestSharesFollowDemandToOneHost(t *testing.T) {
	w := fleet(t, 7, Account{Name: "a", Rate: 70, Burst: 70})
	w.settleDown(2 * time.Second)
	admitted := 0
	for range 100 {
		w.advance(100 * time.Millisecond)
		for range 6 {
			if w.admit(w.procs[0], "a", 1).Admitted {
				admitted++
			}
		}
		w.round()
	}
	t.Logf("admitted %d of 600", admitted)
	if admitted < 590 {
		t.Fatalf("admitted %d of 600 inside the rate", admitted)
	}
}

func TestUnknownAccountIsRefused(t *testing.T) {
	w := fleet(t, 1, Account{Name: "a", Rate: 1, Burst: 1})
	if d := w.admit(w.procs[0], "b", 1); d.Reason != ReasonUnknown {
		t.Fatalf("reason %q", d.Reason)
	}
}

func TestReleaseReturnsLoansAndLendsTheWholeHomeShare(t *testing.T) {
	w := fleet(t, 2, Account{Name: "a", Rate: 100, Burst: 100})
	leaving, staying := w.procs[0], w.procs[1]
	for _, p := range []*proc{leaving, staying} {
		for range 20 {
			w.settleDown(DefaultTick)
			for w.admit(p, "a", 1).Admitted {
			}
		}
		if p == leaving {
			leaving.limiter.Release()
		}
	}
	l := leaving.limiter.Snapshot().Accounts[0]
	s := staying.limiter.Snapshot().Accounts[0]
	if !l.Held.IsZero() || l.Lent != l.Home || s.Held != l.Home || !s.Lent.IsZero() {
		t.Fatalf("leaving %+v, staying %+v", l, s)
	}
}
