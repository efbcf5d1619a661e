package identifier

import (
	"errors"
	"testing"
	"time"

	"pgregory.net/rapid"

	"github.com/fescuethread/fescuethread/timer"
)

const start = timer.Instant(1000 * time.Second)

var (
	owner  = Owner{Host: "h1", Incarnation: 7}
	heir   = Owner{Host: "h2", Incarnation: 9}
	booked = Work{Customer: "c1", Service: "rate-desk", Method: "POST"}
	body   = [32]byte{1}
)

func newRegistry(t rapid.TB, o Owner, change func(*Config)) *Registry {
	t.Helper()
	cfg := DefaultConfig(o)
	if change != nil {
		change(&cfg)
	}
	r, err := New(cfg)
	if err != nil {
		t.Fatal(err)
	}
	return r
}

func issue(t rapid.TB, r *Registry, now timer.Instant) string {
	t.Helper()
	token, err := r.Issue(now, booked)
	if err != nil {
		t.Fatal(err)
	}
	return token
}

func begin(t rapid.TB, r *Registry, now timer.Instant, token string, want Outcome) Claim {
	t.Helper()
	c, err := r.Begin(now, token, booked, body)
	if err != nil {
		t.Fatalf("begin: %v, want %v", err, want)
	}
	if c.Outcome != want {
		t.Fatalf("begin: %v, want %v", c.Outcome, want)
	}
	return c
}

func wantKind(t rapid.TB, err error, want Kind) {
	t.Helper()
	var e *Error
	if !errors.As(err, &e) || e.Kind != want {
		t.Fatalf("error %v, want kind %v", err, want)
	}
}

func TestAnswerIsReturnedAgain(t *testing.T) {
	r := newRegistry(t, owner, nil)
	token := issue(t, r, start)
	run := begin(t, r, start, token, OutcomeRun)
	joined := begin(t, r, start, token, OutcomeJoin)
	r.Finish(run, Answered([]byte("lot 7")))
	<-joined.Done
	if got := r.Resume(joined); got.Outcome != OutcomeDone || string(got.Answer) != "lot 7" {
		t.Fatalf("joined request got %v %q", got.Outcome, got.Answer)
	}
	begin(t, r, start.Add(time.Second), token, OutcomeDone)
}

func TestRefusedTokenNeverRuns(t *testing.T) {
	r := newRegistry(t, owner, nil)
	token := issue(t, r, start)
	run := begin(t, r, start, token, OutcomeRun)
	told := r.Finish(run, NotRun("full"))
	if told.Outcome != OutcomeRefused || told.Reason != "full" {
		t.Fatalf("told %v %q", told.Outcome, told.Reason)
	}
	begin(t, r, start, token, OutcomeRefused)
	again := begin(t, r, start, told.Renewed, OutcomeRun)
	begin(t, r, start, token, OutcomeJoin)
	r.Finish(again, Unknown())
	begin(t, r, start, token, OutcomeUnknown)
}

func TestRefuseClosesAnUnusedToken(t *testing.T) {
	r := newRegistry(t, owner, nil)
	token := issue(t, r, start)
	c, err := r.Refuse(start, token, booked, "rate")
	if err != nil || c.Outcome != OutcomeRefused {
		t.Fatalf("refuse: %v %v", c.Outcome, err)
	}
	begin(t, r, start, token, OutcomeRefused)
	begin(t, r, start, c.Renewed, OutcomeRun)
	if c, _ = r.Refuse(start, token, booked, "rate"); c.Outcome != OutcomeJoin {
		t.Fatalf("refused while a run is in flight: %v", c.Outcome)
	}
}

func TestVanishedRunnerLeavesAnUnknownOutcome(t *testing.T) {
	r := newRegistry(t, owner, nil)
	token := issue(t, r, start)
	run := begin(t, r, start, token, OutcomeRun)
	r.Sweep(start.Add(defaultRunTimeout))
	begin(t, r, start.Add(defaultRunTimeout), token, OutcomeUnknown)
	if told := r.Finish(run, NotRun("late")); told.Outcome != OutcomeUnknown {
		t.Fatalf("a late end changed the outcome to %v", told.Outcome)
	}
}

func TestTokenIsBoundToItsUse(t *testing.T) {
	r := newRegistry(t, owner, nil)
	token := issue(t, r, start)
	_, err := r.Begin(start, token, Work{Customer: "c2", Service: "rate-desk", Method: "POST"}, body)
	wantKind(t, err, KindMismatch)
	begin(t, r, start, token, OutcomeRun)
	_, err = r.Begin(start, token, booked, [32]byte{2})
	wantKind(t, err, KindConflict)
	if (&Error{Kind: KindConflict}).NotRun() {
		t.Fatal("'not run' is said of an operation that was begun")
	}
	_, err = newRegistry(t, owner, nil).Begin(start, token, booked, body)
	wantKind(t, err, KindForged)
	_, err = newRegistry(t, heir, nil).Begin(start, token, booked, body)
	wantKind(t, err, KindForeign)
	_, err = r.Begin(start.Add(defaultLifetime), token, booked, body)
	wantKind(t, err, KindExpired)
}

func TestMemoryIsBounded(t *testing.T) {
	r := newRegistry(t, owner, func(cfg *Config) {
		cfg.MaxIdentities = 4
		cfg.MaxAnswerBytes = 10
	})
	first, second := issue(t, r, start), issue(t, r, start)
	_, err := r.Issue(start, booked)
	wantKind(t, err, KindFull)
	other := Work{Customer: "c2", Service: "rate-desk", Method: "POST"}
	third, err := r.Issue(start, other)
	if err != nil {
		t.Fatalf("a customer took the room of all: %v", err)
	}
	run, _ := r.Begin(start, third, other, body)
	r.Finish(run, Answered(make([]byte, 2)))
	r.Finish(begin(t, r, start, first, OutcomeRun), Answered(make([]byte, 6)))
	if c := r.Finish(begin(t, r, start, second, OutcomeRun), Answered(make([]byte, 6))); c.Answer == nil {
		t.Fatal("the runner's own answer is gone")
	}
	begin(t, r, start, first, OutcomeSpent)
	begin(t, r, start, second, OutcomeDone)
	if c, _ := r.Begin(start, third, other, body); c.Outcome != OutcomeDone {
		t.Fatalf("the answer of another customer was evicted: %v", c.Outcome)
	}
	late := start.Add(defaultLifetime + 2*defaultLifetime/calendarBuckets)
	issue(t, r, late)
	if got := r.Stats(); got != (Stats{Issued: 1}) {
		t.Fatalf("kept after expiry: %+v", got)
	}
}

func TestSuccessorAnswersForThePredecessor(t *testing.T) {
	from, to := newRegistry(t, owner, nil), newRegistry(t, heir, nil)
	unused, done, open := issue(t, from, start), issue(t, from, start), issue(t, from, start)
	from.Finish(begin(t, from, start, done, OutcomeRun), Answered([]byte("ok")))
	begin(t, from, start, open, OutcomeRun)
	from.Freeze()
	_, err := from.Begin(start, unused, booked, body)
	wantKind(t, err, KindFrozen)
	export, err := from.Export(start, heir)
	if err != nil {
		t.Fatal(err)
	}
	_, err = from.Begin(start, unused, booked, body)
	wantKind(t, err, KindMoved)
	_, err = from.Export(start, Owner{Host: "h3"})
	wantKind(t, err, KindMoved)
	later := timer.Instant(time.Second)
	adopt(t, to, later, export)
	run := begin(t, to, later, unused, OutcomeRun)
	adopt(t, to, later, export)
	to.Finish(run, Unknown())
	begin(t, to, later, unused, OutcomeUnknown)
	begin(t, to, later, done, OutcomeDone)
	begin(t, to, later, open, OutcomeUnknown)
	_, err = to.Begin(later.Add(defaultLifetime), unused, booked, body)
	wantKind(t, err, KindExpired)
	end := later.Add(3 * defaultLifetime)
	to.Sweep(end)
	adopt(t, to, end, export)
	_, err = to.Begin(end, unused, booked, body)
	wantKind(t, err, KindForeign)
}

func adopt(t rapid.TB, r *Registry, now timer.Instant, export []byte) {
	t.Helper()
	if err := r.Adopt(now, export); err != nil {
		t.Fatal(err)
	}
}

func TestHandoverThatIsTooLargeClosesTheRest(t *testing.T) {
	from := newRegistry(t, owner, func(cfg *Config) { cfg.MaxHandoverBytes = 8192 })
	tokens := make([]string, 300)
	for i := range tokens {
		tokens[i] = issue(t, from, start)
		r := begin(t, from, start, tokens[i], OutcomeRun)
		from.Finish(r, Answered(make([]byte, 100)))
	}
	unused := issue(t, from, start)
	export, err := from.Export(start, heir)
	if err != nil || len(export) > 8192 {
		t.Fatalf("export of %d bytes: %v", len(export), err)
	}
	to := newRegistry(t, heir, nil)
	adopt(t, to, start, export)
	begin(t, to, start, unused, OutcomeUnknown)
	begin(t, to, start, tokens[0], OutcomeSpent)
	begin(t, to, start, tokens[299], OutcomeUnknown)
}

func TestLeavingSuccessorHandsEverythingOn(t *testing.T) {
	last := Owner{Host: "h3", Incarnation: 4}
	a, b, c := newRegistry(t, owner, nil), newRegistry(t, heir, nil), newRegistry(t, last, nil)
	token := issue(t, a, start)
	b.Freeze()
	first, err := a.Export(start, heir)
	if err != nil {
		t.Fatal(err)
	}
	adopt(t, b, start, first)
	_, err = b.Begin(start, token, booked, body)
	wantKind(t, err, KindFrozen)
	second, err := b.Export(start, last)
	if err != nil {
		t.Fatal(err)
	}
	adopt(t, b, start, first)
	late, err := newRegistry(t, Owner{Host: "h4", Incarnation: 1}, nil).Export(start, heir)
	if err != nil {
		t.Fatal(err)
	}
	wantKind(t, b.Adopt(start, late), KindMoved)
	adopt(t, c, start, second)
	begin(t, c, start, token, OutcomeRun)
	_, err = b.Begin(start, token, booked, body)
	wantKind(t, err, KindMoved)
}

func TestAnotherIncarnationAdoptsNothing(t *testing.T) {
	from := newRegistry(t, owner, nil)
	export, err := from.Export(start, heir)
	if err != nil {
		t.Fatal(err)
	}
	next := newRegistry(t, Owner{Host: heir.Host, Incarnation: heir.Incarnation + 1}, nil)
	wantKind(t, next.Adopt(start, export), KindMismatch)
}

func FuzzParse(f *testing.F) {
	r := newRegistry(f, owner, nil)
	f.Add(issue(f, r, start))
	f.Add("")
	f.Fuzz(func(t *testing.T, token string) {
		id, err := Parse(token)
		if err != nil {
			wantKind(t, err, KindMalformed)
			return
		}
		again, err := decode(encode(id))
		if err != nil || again != id {
			t.Fatalf("%+v encodes to %+v, %v", id, again, err)
		}
	})
}

func FuzzAdopt(f *testing.F) {
	from := newRegistry(f, owner, nil)
	from.Finish(begin(f, from, start, issue(f, from, start), OutcomeRun), Answered([]byte("ok")))
	export, err := from.Export(start, heir)
	if err != nil {
		f.Fatal(err)
	}
	f.Add(export)
	f.Fuzz(func(t *testing.T, handover []byte) {
		to := newRegistry(t, heir, nil)
		if err := to.Adopt(start, handover); err != nil {
			return
		}
		to.Sweep(start.Add(maxLeft))
		if got := to.Stats(); got.Records != 0 || got.Issued != 0 || got.AnswerBytes != 0 {
			t.Fatalf("kept after expiry: %+v", got)
		}
	})
}
