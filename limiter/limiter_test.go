package limiter

import (
	"testing"
	"time"

	"pgregory.net/rapid"
)

func wantUsed(t *testing.T, l *Limiter, want int64) {
	t.Helper()
	if got := l.UsedBytes(); got != want {
		t.Fatalf("%d bytes are used, want %d", got, want)
	}
}

// TestLargestAccountIsEvicted: many small messages keep their room while a message without end
// grows.
func TestLargestAccountIsEvicted(t *testing.T) {
	l := New(100)
	small := make([]*Account, 8)
	for i := range small {
		small[i] = l.Open(func() { t.Error("a small account was evicted") })
		if !small[i].Take(10) {
			t.Fatal("a small account found no room")
		}
	}
	evicted := make(chan struct{})
	endless := l.Open(func() { close(evicted) })
	if !endless.Take(20) {
		t.Fatal("no room")
	}
	if !small[0].Take(1) {
		t.Fatal("a small account found no room")
	}
	select {
	case <-evicted:
	case <-time.After(time.Minute):
		t.Fatal("the account was not told")
	}
	if endless.Take(1) {
		t.Fatal("an evicted account took bytes")
	}
	small[0].Release(1)
	wantUsed(t, l, 80)
	if l.Evictions() != 1 || l.PeakBytes() != 100 {
		t.Fatalf("%d evictions, peak %d", l.Evictions(), l.PeakBytes())
	}
}

// TestTakerOfTooMuchIsRefused: an account that exceeds the limit itself learns it from Take alone.
func TestTakerOfTooMuchIsRefused(t *testing.T) {
	l := New(100)
	a := l.Open(func() { t.Error("the taker was told twice") })
	if !a.Take(100) || a.Take(1) || a.Take(1) {
		t.Fatal("the limit was exceeded")
	}
	wantUsed(t, l, 0)
}

// TestPinnedAccountsStay: a message that is in use is not evicted; what comes later is refused.
func TestPinnedAccountsStay(t *testing.T) {
	l := New(100)
	pinned := l.Open(func() { t.Error("a pinned account was evicted") })
	if !pinned.Take(90) || !pinned.Pin() {
		t.Fatal("no room")
	}
	other := l.Open(nil)
	if other.Take(20) {
		t.Fatal("the limit was exceeded")
	}
	if pinned.Take(20) {
		t.Fatal("the limit was exceeded by a pinned account")
	}
	wantUsed(t, l, 90)
	pinned.Close()
	if pinned.Take(1) {
		t.Fatal("a closed account took bytes")
	}
	wantUsed(t, l, 0)
}

// TestSumIsKept: whatever the accounts do, the sum is that of their bytes and within the limit.
func TestSumIsKept(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		l := New(1000)
		accounts := make([]*Account, rapid.IntRange(1, 8).Draw(rt, "accounts"))
		for i := range accounts {
			accounts[i] = l.Open(nil)
		}
		for range rapid.IntRange(1, 60).Draw(rt, "steps") {
			i := rapid.IntRange(0, len(accounts)-1).Draw(rt, "account")
			n := rapid.IntRange(0, 600).Draw(rt, "bytes")
			switch rapid.SampledFrom([]string{"take", "release", "pin", "close"}).Draw(rt, "op") {
			case "take":
				accounts[i].Take(n)
			case "release":
				accounts[i].Release(n)
			case "pin":
				accounts[i].Pin()
			case "close":
				accounts[i].Close()
				accounts[i] = l.Open(nil)
			}
			sum := int64(0)
			for _, a := range accounts {
				sum += a.bytes
			}
			if l.UsedBytes() != sum || sum > 1000 {
				rt.Fatalf("used %d, sum %d", l.UsedBytes(), sum)
			}
		}
	})
}
