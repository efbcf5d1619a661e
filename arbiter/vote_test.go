package arbiter

import (
	"math/rand/v2"
	"testing"
	"time"

	"pgregory.net/rapid"
)

func drawSignals(t *rapid.T) []Signal {
	return rapid.SliceOfN(rapid.Custom(func(t *rapid.T) Signal {
		return Signal{
			Source:  Source(rapid.IntRange(0, int(sources)-1).Draw(t, "source")),
			Claim:   Claim(rapid.IntRange(0, int(claims)-1).Draw(t, "claim")),
			Age:     time.Duration(rapid.IntRange(0, 3).Draw(t, "age")) * time.Second,
			Bound:   time.Duration(rapid.IntRange(0, 3).Draw(t, "bound")) * time.Second,
			Doubted: rapid.Bool().Draw(t, "doubted"),
		}
	}), 0, 8).Draw(t, "signals")
}

func TestOrderDoesNotMatter(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		signals := drawSignals(t)
		a := Vote("x", signals)
		rng := rand.New(rand.NewPCG(rapid.Uint64().Draw(t, "seed"), 1))
		rng.Shuffle(len(signals), func(i, j int) { signals[i], signals[j] = signals[j], signals[i] })
		b := Vote("x", signals)
		if a.Claim != b.Claim || a.Rule != b.Rule || len(a.Overruled) != len(b.Overruled) || len(a.Absent) != len(b.Absent) {
			t.Fatalf("%+v, then %+v", a, b)
		}
	})
}

func TestHighestFreshSourceDecides(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		signals := drawSignals(t)
		v := Vote("x", signals)
		for _, s := range signals {
			if s.Counts() && (v.Rule == RuleNone || s.Source < v.Deciding.Source) {
				t.Fatalf("%+v counts, but %+v decides", s, v.Deciding)
			}
		}
		if v.Rule != RuleNone && !v.Deciding.Counts() || v.Rule == RuleNone && v.Claim != ClaimProbe {
			t.Fatalf("%+v", v)
		}
	})
}

func TestAbsentSignalsChangeNothing(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		signals := drawSignals(t)
		var fresh []Signal
		for _, s := range signals {
			if s.Counts() {
				fresh = append(fresh, s)
			}
		}
		a, b := Vote("x", signals), Vote("x", fresh)
		if a.Claim != b.Claim || a.Rule != b.Rule || a.Deciding != b.Deciding {
			t.Fatalf("%+v with absent signals, %+v without", a, b)
		}
	})
}
