package isolator

import (
	"fmt"
	"testing"
	"time"

	"pgregory.net/rapid"

	"github.com/fescuethread/fescuethread/timer"
)

func request(customer, path string) Fingerprint {
	return NewFingerprint(customer, "saleroom", "POST", path, []byte("body"))
}

func start(t *testing.T, i *Isolator, now timer.Instant, f Fingerprint, target string) *Permit {
	t.Helper()
	p := i.Admit(now, f)
	if !i.Start(now, p, target) {
		t.Fatalf("verdict %q does not start", p.Verdict)
	}
	return p
}

func want(t *testing.T, i *Isolator, now timer.Instant, f Fingerprint, v Verdict) {
	t.Helper()
	p := i.Admit(now, f)
	i.End(now, p, OutcomeNotRun)
	if p.Verdict != v {
		t.Fatalf("verdict %q, want %q", p.Verdict, v)
	}
}

func crash(t *testing.T, i *Isolator, now timer.Instant, fingerprints ...Fingerprint) {
	t.Helper()
	var permits []*Permit
	for _, f := range fingerprints {
		permits = append(permits, start(t, i, now, f, "t"))
	}
	for _, p := range permits {
		i.End(now, p, OutcomeLost)
	}
}

func TestFingerprintKeepsPartsApart(t *testing.T) {
	a := NewFingerprint("a", "bc", "GET", "/", nil)
	for _, b := range []Fingerprint{
		NewFingerprint("ab", "c", "GET", "/", nil),
		NewFingerprint("a", "bc", "GET", "", []byte("/")),
		NewFingerprint("b", "bc", "GET", "/", nil),
	} {
		if a == b {
			t.Fatal("two requests share a fingerprint")
		}
	}
}

func TestCrashIsTellingOnlyAsAWhole(t *testing.T) {
	i := New()
	survivor := start(t, i, 0, request("a", "/survivor"), "t")
	crash(t, i, 0, request("a", "/single"))
	want(t, i, 0, request("a", "/single"), VerdictFree)
	i.Refused(0, "t")
	want(t, i, 0, request("a", "/single"), VerdictAlone)
	crash(t, i, 0, request("a", "/one"), request("b", "/two"))
	want(t, i, 0, request("a", "/one"), VerdictAlone)
	want(t, i, 0, request("b", "/two"), VerdictAlone)
	i.End(0, survivor, OutcomeAnswered)
	want(t, i, 0, request("a", "/survivor"), VerdictFree)
}

func TestSuspectsRunAloneAndAreClearedOrConvicted(t *testing.T) {
	i := New()
	poison, innocent := request("a", "/poison"), request("b", "/innocent")
	early := i.Admit(0, poison)
	crash(t, i, 0, poison, innocent)
	if i.Start(0, early, "t") {
		t.Fatal("a permit from before the crash starts")
	}
	p := start(t, i, 0, innocent, "t")
	want(t, i, 0, innocent, VerdictWait)
	i.End(0, p, OutcomeAnswered)
	want(t, i, 0, innocent, VerdictFree)
	crash(t, i, 0, poison)
	want(t, i, 0, poison, VerdictRefuse)
	want(t, i, 0, request("b", "/poison"), VerdictFree)
	i.Tick(timer.Instant(ConvictTerm))
	want(t, i, timer.Instant(ConvictTerm), poison, VerdictAlone)
	crash(t, i, timer.Instant(ConvictTerm), poison)
	want(t, i, timer.Instant(2*ConvictTerm), poison, VerdictRefuse)
}

func TestPeersSuspicionsCount(t *testing.T) {
	a, b := New(), New()
	f := request("a", "/poison")
	crash(t, a, 0, f)
	gossip(t, a, b, 0, 0)
	p := start(t, b, 1, f, "u")
	i := request("b", "/other")
	b.End(1, p, OutcomeAnswered)
	gossip(t, a, b, 2, 2)
	want(t, b, 2, f, VerdictFree)
	want(t, a, 2, f, VerdictAlone)
	crash(t, a, 2, f)
	gossip(t, a, b, 3, 3)
	want(t, b, 3, f, VerdictRefuse)
	want(t, b, 3, i, VerdictFree)
	if err := b.Merge(3, "a", [][]byte{{1, 2}}); err == nil {
		t.Fatal("a short suspicion is accepted")
	}
	if err := b.Merge(4, fmt.Sprintf("%p", a), nil); err != nil {
		t.Fatal(err)
	}
	want(t, b, 4, f, VerdictRefuse)
	b.Tick(timer.Instant(2 * ConvictTerm))
	want(t, b, timer.Instant(2*ConvictTerm), f, VerdictFree)
}

type fataler interface{ Fatal(...any) }

func gossip(t fataler, from, to *Isolator, sent, received timer.Instant) {
	var encoded [][]byte
	for _, s := range from.Suspicions(sent) {
		encoded = append(encoded, s.Encode(sent))
	}
	if err := to.Merge(received, fmt.Sprintf("%p", from), encoded); err != nil {
		t.Fatal(err)
	}
}

func TestOneCustomerCannotFillTheList(t *testing.T) {
	i := New()
	crash(t, i, 0, request("b", "/kept"))
	for n := range 2 * MaxSuspicions {
		crash(t, i, timer.Instant(n), request("a", fmt.Sprint("/", n)))
	}
	if n := len(i.Suspicions(0)); n != MaxCustomerSuspicions+1 {
		t.Fatalf("%d suspicions", n)
	}
	want(t, i, 0, request("b", "/kept"), VerdictAlone)
}

// fleet is several hosts, each with a target of its own; a run of the poison crashes its target.
type fleet struct {
	hosts   []*Isolator
	running [][]*Permit
	crashes []int
}

const poison = 0

// send runs a request on a host, alone if it has to, and reports whether it ran.
func (f *fleet) send(now timer.Instant, host int, fp, bad Fingerprint) {
	h := f.hosts[host]
	p := h.Admit(now, fp)
	if p.Verdict == VerdictAlone {
		f.finish(now, host, OutcomeAnswered)
	}
	if !h.Start(now, p, "t") {
		h.End(now, p, OutcomeNotRun)
		return
	}
	f.running[host] = append(f.running[host], p)
	switch {
	case fp == bad:
		f.crashes[host]++
		f.finish(now, host, OutcomeLost)
	case p.Verdict == VerdictAlone:
		f.finish(now, host, OutcomeAnswered)
	}
}

func (f *fleet) finish(now timer.Instant, host int, o Outcome) {
	for _, p := range f.running[host] {
		f.hosts[host].End(now, p, o)
	}
	f.running[host] = nil
}

func (f *fleet) gossip(t *rapid.T, now timer.Instant, from, to int) {
	gossip(t, f.hosts[from], f.hosts[to], now, now)
}

// A poison request whose caller sends it again, one after the other, crashes at most ConvictAfter
// targets when each crash is heard of before the next try, and at most ConvictAfter for each host
// however late gossip is; innocent requests are never convicted.
func TestCrashesAreBounded(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		n := rapid.IntRange(1, 5).Draw(t, "hosts")
		prompt := rapid.Bool().Draw(t, "prompt")
		f := &fleet{running: make([][]*Permit, n), crashes: make([]int, n)}
		for range n {
			f.hosts = append(f.hosts, New())
		}
		prints := []Fingerprint{request("a", "/poison"), request("a", "/1"), request("b", "/poison"), request("c", "/2")}
		for step := range rapid.IntRange(1, 100).Draw(t, "steps") {
			now := timer.Instant(step) * timer.Instant(time.Second)
			host := rapid.IntRange(0, n-1).Draw(t, "host")
			switch rapid.IntRange(0, 4).Draw(t, "step") {
			case 0:
				f.gossip(t, now, host, rapid.IntRange(0, n-1).Draw(t, "to"))
			case 1:
				f.finish(now, host, OutcomeAnswered)
			default:
				f.send(now, host, prints[rapid.IntRange(0, 3).Draw(t, "request")], prints[poison])
			}
			for to := 0; prompt && to < n; to++ {
				f.gossip(t, now, host, to)
			}
			f.check(t, now, prints, prompt)
		}
	})
}

func (f *fleet) check(t *rapid.T, now timer.Instant, prints []Fingerprint, prompt bool) {
	total := 0
	for host, crashes := range f.crashes {
		total += crashes
		if crashes > ConvictAfter {
			t.Fatalf("host %d: %d crashes", host, crashes)
		}
		for _, s := range f.hosts[host].Suspicions(now) {
			if s.Convicted() && s.Fingerprint != prints[poison] {
				t.Fatalf("host %d convicted an innocent request", host)
			}
		}
	}
	if prompt && total > ConvictAfter {
		t.Fatalf("%d crashes with prompt gossip", total)
	}
}
