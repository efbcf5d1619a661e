package requester

import (
	"fmt"
	"strings"
)

// Report is what a run counted.
type Report struct {
	// Seconds is how long the run took.
	Seconds float64 `json:"seconds"`
	// Counts are the requests by kind, outcome, status and reason.
	Counts []Count `json:"counts"`
	// Latencies are those of answered requests, by kind.
	Latencies []Latency `json:"latencies"`
	// Resent counts requests that the HTTP client sent again on another connection.
	Resent int `json:"resent"`
	// Dropped counts requests of an open loop that found too many in flight.
	Dropped int `json:"dropped"`
}

// Count is a number of requests that ended alike.
type Count struct {
	// Kind is "get", "post", "issue" or "lookup".
	Kind string `json:"kind"`
	// Outcome is "answered", "not run", "unknown" or "unreachable".
	Outcome string `json:"outcome"`
	// Status is the HTTP status; 0 is none.
	Status int `json:"status"`
	// Reason is the cause of a failure.
	Reason string `json:"reason"`
	// Requests is their number.
	Requests int `json:"requests"`
}

func (c Count) before(o Count) bool {
	if c.Kind != o.Kind {
		return c.Kind < o.Kind
	}
	if c.Outcome != o.Outcome {
		return c.Outcome < o.Outcome
	}
	if c.Status != o.Status {
		return c.Status < o.Status
	}
	return c.Reason < o.Reason
}

// Latency is a summary of latencies, in microseconds.
type Latency struct {
	// Kind is "get", "post", "issue" or "lookup".
	Kind string `json:"kind"`
	// Count is the number of requests.
	Count int64 `json:"count"`
	// Mean is the mean.
	Mean float64 `json:"mean"`
	// P50 is the median.
	P50 int64 `json:"p50"`
	// P90 is the 90th percentile.
	P90 int64 `json:"p90"`
	// P99 is the 99th percentile.
	P99 int64 `json:"p99"`
	// P999 is the 99.9th percentile.
	P999 int64 `json:"p999"`
	// Max is the largest.
	Max int64 `json:"max"`
}

// Text returns the report as lines of words, for people and scripts.
func (r Report) Text() string {
	var b strings.Builder
	fmt.Fprintf(&b, "seconds %.2f\nresent %d\ndropped %d\n", r.Seconds, r.Resent, r.Dropped)
	for _, c := range r.Counts {
		fmt.Fprintf(&b, "count %s %s %d %d %s\n", c.Kind, strings.ReplaceAll(c.Outcome, " ", "-"),
			c.Status, c.Requests, c.Reason)
	}
	for _, l := range r.Latencies {
		fmt.Fprintf(&b, "latency %s count %d mean %.0f p50 %d p90 %d p99 %d p99.9 %d max %d\n",
			l.Kind, l.Count, l.Mean, l.P50, l.P90, l.P99, l.P999, l.Max)
	}
	return b.String()
}
