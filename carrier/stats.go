package carrier

import (
	"fmt"
	"time"

	"github.com/VictoriaMetrics/metrics"
)

// stats counts what the carrier does.
type stats struct {
	lookups  *metrics.Counter
	duration *metrics.Histogram
}

func newStats() stats {
	return stats{
		lookups:  metrics.GetOrCreateCounter("fescuethread_lookups_total"),
		duration: metrics.GetOrCreateHistogram("fescuethread_request_seconds"),
	}
}

func (s stats) request(w Work, r Result, took time.Duration) {
	s.duration.Update(took.Seconds())
	name := fmt.Sprintf("fescuethread_requests_total{service=%q,outcome=%q,reason=%q}",
		w.Service, outcomeName(r.Outcome), r.Reason)
	metrics.GetOrCreateCounter(name).Inc()
}
