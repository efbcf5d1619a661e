package limiter

import (
	"testing"
	"time"

	"github.com/fescuethread/fescuethread/messenger"
	"github.com/fescuethread/fescuethread/timer"
)

// settled returns the settlement of host0 of three with version 1 in force everywhere.
func settled(t *testing.T, versions ...uint64) *settlement {
	s := newSettlement("host0")
	s.confirm(1)
	for _, v := range versions {
		s.add(Plan{Version: v, Hosts: names(3), Accounts: []Account{{Name: "a", Rate: 3, Burst: 3}}})
		s.advance(0, true)
	}
	if versions[0] == 1 && s.settled != 1 {
		t.Fatal("the first plan did not settle")
	}
	return s
}

func TestPlanSettlesOnceAllHadIt(t *testing.T) {
	tests := []struct {
		name string
		tell func(s *settlement)
		now  timer.Instant
		want uint64
	}{
		{"all had it", func(s *settlement) { s.acknowledge("host1", 1, 2) }, 0, 2},
		{"one skipped it", func(s *settlement) { s.acknowledge("host1", 1, 3) }, 0, 1},
		{"one is older", func(s *settlement) { s.acknowledge("host1", 1, 1) }, 0, 1},
		{"one restarted", func(s *settlement) {
			s.acknowledge("host1", 1, 2)
			s.acknowledge("host1", 2, 1)
		}, 0, 1},
		{"late news of a former process", func(s *settlement) {
			s.acknowledge("host1", 2, 1)
			s.acknowledge("host1", 1, 2)
		}, 0, 1},
		{"one stopped, its loans run", func(s *settlement) { s.stop("host1", 10) }, 9, 1},
		{"one stopped, its loans lapsed", func(s *settlement) { s.stop("host1", 10) }, 10, 2},
		{"a peer knows", func(s *settlement) { s.assert(2) }, 0, 2},
		{"a peer knows of a later one", func(s *settlement) { s.assert(3) }, 0, 1},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			s := settled(t, 1, 2)
			s.acknowledge("host2", 1, 2)
			tt.tell(s)
			s.advance(tt.now, true)
			if s.settled != tt.want {
				t.Fatalf("version %d is settled, want %d", s.settled, tt.want)
			}
		})
	}
}

func TestPlanHistoryIsBounded(t *testing.T) {
	s := settled(t, 1)
	for v := uint64(2); v <= 3*maxPlans; v++ {
		limit := int64(30)
		if v == 5 {
			limit = 9
		}
		s.add(Plan{Version: v, Hosts: names(3), Accounts: []Account{{Name: "a", Rate: limit, Burst: limit}}})
		s.acknowledge("host1", 1, v)
		s.advance(0, true)
	}
	if len(s.plans) > maxPlans || len(s.reporters["host1"].held) > maxPlans {
		t.Fatalf("%d plans, %d reports", len(s.plans), len(s.reporters["host1"].held))
	}
	if home := s.home("a"); home.Burst != scale {
		t.Fatalf("home share %+v is not the least of all plans", home)
	}
	s.acknowledge("host2", 1, 3*maxPlans)
	s.advance(0, true)
	if home := s.home("a"); home.Burst != 10*scale {
		t.Fatalf("home share %+v after the newest plan settled", home)
	}
}

func TestPlanIsNotInForceBeforeItsLoansFit(t *testing.T) {
	s := settled(t, 1)
	s.add(Plan{Version: 2, Hosts: names(3)})
	s.advance(0, false)
	s.assert(2)
	if s.held != 1 || s.settled != 1 {
		t.Fatalf("version %d is in force, %d settled", s.held, s.settled)
	}
}

func TestFreshProcessProvesThatItIsCurrent(t *testing.T) {
	tests := []struct {
		name string
		tell func(s *settlement)
		want bool
	}{
		{"no news", func(*settlement) {}, false},
		{"the platform has the same", func(s *settlement) { s.confirm(2) }, true},
		{"the platform has a newer one", func(s *settlement) { s.confirm(3) }, false},
		{"all hosts know this process", func(s *settlement) { s.meet("host1", 2); s.meet("host2", 1) }, true},
		{"one host is ahead", func(s *settlement) { s.meet("host1", 3); s.meet("host2", 2) }, false},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			s := newSettlement("host0")
			s.add(Plan{Version: 2, Hosts: names(3)})
			tt.tell(s)
			s.advance(0, true)
			if s.confirmed != tt.want || (s.held == 2) != tt.want {
				t.Fatalf("confirmed %v, version %d in force", s.confirmed, s.held)
			}
		})
	}
}

func TestFreshProcessForgetsPlansThatItHasInPart(t *testing.T) {
	s := newSettlement("host0")
	for _, v := range []uint64{2, 4} {
		s.add(Plan{Version: v, Hosts: names(3), Accounts: []Account{{Name: "a", Rate: 3, Burst: 3}}})
	}
	s.confirm(4)
	s.advance(0, true)
	s.assert(2)
	if s.settled != 0 || !s.home("a").IsZero() {
		t.Fatalf("version %d is settled with home share %+v", s.settled, s.home("a"))
	}
	s.assert(4)
	if s.settled != 4 || s.home("a").IsZero() {
		t.Fatalf("version %d is settled with home share %+v", s.settled, s.home("a"))
	}
}

// lendingFleet returns a fleet of two and a request of host0 for what host1 can lend.
func lendingFleet(t *testing.T) (*world, *messenger.LoanRequest) {
	w := fleet(t, 2, Account{Name: "a", Rate: 100, Burst: 100})
	w.settleDown(time.Second)
	return w, &messenger.LoanRequest{
		Borrower: "host0", Incarnation: 7, Sequence: 9, Version: 1,
		Wants: []*messenger.Loan{{Account: "a", Demand: 1 << 20, Average: 1}},
	}
}

func TestLenderTakesRequestsInOrderOnly(t *testing.T) {
	w, req := lendingFleet(t)
	lender := w.procs[1].limiter
	for i, change := range []func(){
		func() {},
		func() { req.Sequence = 9 },
		func() { req.Sequence = 8 },
		func() { req.Incarnation, req.Sequence = 6, 10 },
	} {
		change()
		if _, err := lender.Lend(req); (err == nil) != (i == 0) {
			t.Fatalf("request %d: %v", i, err)
		}
	}
}

func TestLenderTrustsItsOwnRecordOfLoans(t *testing.T) {
	w, req := lendingFleet(t)
	for w.admit(w.procs[1], "a", 1).Admitted {
	}
	req.Wants[0] = &messenger.Loan{Account: "a", Rate: 40000, Burst: 40000, Tokens: 40000}
	reply, err := w.procs[1].limiter.Lend(req)
	if err != nil || reply.Grants[0].Burst != 0 {
		t.Fatalf("%v, %v", reply, err)
	}
	a := w.procs[1].limiter.Snapshot().Accounts[0]
	if a.Tokens >= scale || !a.Lent.IsZero() {
		t.Fatalf("the lender holds %+v", a)
	}
}

func TestLenderTakesBackNoMoreTokensThanBurst(t *testing.T) {
	w, req := lendingFleet(t)
	lender := w.procs[1]
	reply, err := lender.limiter.Lend(req)
	if err != nil || reply.Grants[0].Burst == 0 {
		t.Fatalf("%v, %v", reply, err)
	}
	for w.admit(lender, "a", 1).Admitted {
	}
	req.Sequence++
	req.Wants = reply.Grants
	req.Wants[0].Demand = 1 << 20
	req.Wants[0].Tokens = 40000
	if _, err := lender.limiter.Lend(req); err != nil {
		t.Fatal(err)
	}
	if a := lender.limiter.Snapshot().Accounts[0]; a.Tokens >= scale {
		t.Fatalf("the lender holds %+v", a)
	}
}

func TestLoanEndsOneTermAfterItsRequest(t *testing.T) {
	w := fleet(t, 2, Account{Name: "a", Rate: 100, Burst: 100})
	w.settleDown(time.Second)
	p := w.procs[0]
	for w.admit(p, "a", 1).Admitted {
	}
	sent := p.limiter.cfg.Now()
	w.tick(p)
	w.advance(400 * time.Millisecond)
	w.flush()
	a := p.limiter.accounts["a"]
	if want := sent.Add(DefaultTerm); a.lapse != want {
		t.Fatalf("the loan lapses at %d, want %d", a.lapse, want)
	}
}

func TestFastClockEarnsNoMore(t *testing.T) {
	b := bucket{share: Share{Rate: 10 * scale, Burst: 2 * scale}, driftPPM: testDriftPPM}
	earned := int64(0)
	for i := range 100 {
		b.advance(timer.Instant(int64(i+1) * nano / 10 * (1_000_000 + testDriftPPM) / 1_000_000))
		earned += b.tokens
		b.tokens = 0
	}
	if earned > 100*scale || earned < 99*scale {
		t.Fatalf("earned %d thousandths in 10 s at 10 a second", earned)
	}
}

func TestLentTokensLeaveTheLender(t *testing.T) {
	w, req := lendingFleet(t)
	lender := w.procs[1].limiter
	before := lender.Snapshot().Accounts[0].Tokens
	reply, err := lender.Lend(req)
	if err != nil {
		t.Fatal(err)
	}
	if after := lender.Snapshot().Accounts[0].Tokens; after+int64(reply.Grants[0].Tokens) != before {
		t.Fatalf("%d tokens became %d and %d", before, after, reply.Grants[0].Tokens)
	}
}

func TestReturnedTokensLeaveTheBorrower(t *testing.T) {
	w := fleet(t, 2, Account{Name: "a", Rate: 100, Burst: 100})
	borrower := w.procs[0]
	w.settleDown(2 * time.Second)
	for w.admit(borrower, "a", 1).Admitted {
	}
	w.round()
	w.settleDown(2 * time.Second)
	w.admit(borrower, "a", 60)
	before := borrower.limiter.Snapshot().Accounts[0].Tokens
	borrower.limiter.Release()
	var asks []Ask
	for len(asks) == 0 {
		w.advance(DefaultTick)
		asks = borrower.limiter.Requests()
	}
	back := int64(asks[0].Request.Wants[0].Tokens)
	if after := borrower.limiter.Snapshot().Accounts[0].Tokens; back == 0 || after+back > before+20*scale {
		t.Fatalf("%d tokens became %d and %d", before, after, back)
	}
}
