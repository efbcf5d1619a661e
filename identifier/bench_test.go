package identifier

import (
	"fmt"
	"runtime"
	"testing"
)

func BenchmarkIssue(b *testing.B) {
	r := newRegistry(b, owner, func(cfg *Config) {
		cfg.MaxIdentities = 1 << 30
	})
	b.ReportAllocs()
	for b.Loop() {
		issue(b, r, start)
	}
}

func BenchmarkBeginFinish(b *testing.B) {
	r := newRegistry(b, owner, func(cfg *Config) {
		cfg.MaxIdentities = 1 << 30
	})
	tokens := make([]string, 1<<17)
	for i := range tokens {
		tokens[i] = issue(b, r, start)
	}
	answer := make([]byte, 100)
	b.ReportAllocs()
	for i := 0; b.Loop(); i++ {
		if i%len(tokens) == 0 {
			clear(r.state.own.records)
		}
		r.Finish(begin(b, r, start, tokens[i%len(tokens)], OutcomeRun), Answered(answer))
	}
}

func BenchmarkRecord(b *testing.B) {
	for _, n := range []int{1000, 10000, 60000} {
		b.Run(fmt.Sprintf("records=%d", n), func(b *testing.B) {
			var heap, size float64
			for b.Loop() {
				heap, size = fill(b, n)
			}
			b.ReportMetric(heap/float64(n), "heap-B/record")
			b.ReportMetric(size/float64(n), "handover-B/record")
		})
	}
}

// fill returns the bytes that n records without answers take in memory and in a handover.
func fill(b *testing.B, n int) (heap, size float64) {
	r := newRegistry(b, owner, func(cfg *Config) {
		cfg.MaxIdentities, cfg.MaxHandoverBytes = 2*n, 1<<30
	})
	var before, after runtime.MemStats
	runtime.GC()
	runtime.GC()
	runtime.ReadMemStats(&before)
	for range n {
		r.Finish(begin(b, r, start, issue(b, r, start), OutcomeRun), Unknown())
	}
	runtime.GC()
	runtime.ReadMemStats(&after)
	body, err := r.Export(start, heir)
	if err != nil {
		b.Fatal(err)
	}
	return float64(after.HeapAlloc) - float64(before.HeapAlloc), float64(len(body))
}
