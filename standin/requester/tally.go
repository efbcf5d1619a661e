package requester

import (
	"sort"
	"sync"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
)

const (
	// maxLatency is the largest latency that a histogram tells apart.
	maxLatency = 10 * time.Minute
	// digits is the number of significant digits of a histogram.
	digits = 3
)

// kind is what was sent.
type kind string

const (
	kindLookup kind = "lookup"
	kindGet    kind = "get"
	kindPost   kind = "post"
	kindIssue  kind = "issue"
)

// outcome is what a caller learned of one request.
type outcome struct {
	outcome string
	reason  string
	status  int
	resent  bool
}

// ok reports whether the request got a target's or the system's whole answer.
func (o outcome) ok() bool {
	return o.outcome == outcomeAnswered && o.status < 400
}

const (
	outcomeAnswered    = "answered"
	outcomeUnreachable = "unreachable"
)

// tally counts outcomes and keeps latencies by kind.
type tally struct {
	mu      sync.Mutex
	start   time.Time
	latency map[kind]*hdrhistogram.Histogram
	counts  map[Count]int
	resent  int
	dropped int
}

func newTally(start time.Time) *tally {
	return &tally{
		start:   start,
		latency: make(map[kind]*hdrhistogram.Histogram),
		counts:  make(map[Count]int),
	}
}

// add counts one request; the latency of a failed one is not kept.
func (t *tally) add(k kind, o outcome, took time.Duration) {
	t.mu.Lock()
	defer t.mu.Unlock()
	c := Count{Kind: string(k), Outcome: o.outcome, Reason: o.reason, Status: o.status}
	t.counts[c]++
	if o.resent {
		t.resent++
	}
	if !o.ok() {
		return
	}
	h, ok := t.latency[k]
	if !ok {
		h = hdrhistogram.New(1, maxLatency.Microseconds(), digits)
		t.latency[k] = h
	}
	_ = h.RecordValue(min(took, maxLatency).Microseconds())
}

// drop counts a request that could not be sent because too many were in flight.
func (t *tally) drop() {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.dropped++
}

// report returns what was counted until now.
func (t *tally) report(now time.Time) Report {
	t.mu.Lock()
	defer t.mu.Unlock()
	r := Report{Seconds: now.Sub(t.start).Seconds(), Resent: t.resent, Dropped: t.dropped}
	for c, n := range t.counts {
		c.Requests = n
		r.Counts = append(r.Counts, c)
	}
	sort.Slice(r.Counts, func(i, j int) bool { return r.Counts[i].before(r.Counts[j]) })
	for k, h := range t.latency {
		r.Latencies = append(r.Latencies, latencyOf(k, h))
	}
	sort.Slice(r.Latencies, func(i, j int) bool {
		return r.Latencies[i].Kind < r.Latencies[j].Kind
	})
	return r
}

func latencyOf(k kind, h *hdrhistogram.Histogram) Latency {
	return Latency{
		Kind:  string(k),
		Count: h.TotalCount(),
		Mean:  h.Mean(),
		P50:   h.ValueAtQuantile(50),
		P90:   h.ValueAtQuantile(90),
		P99:   h.ValueAtQuantile(99),
		P999:  h.ValueAtQuantile(99.9),
		Max:   h.Max(),
	}
}
