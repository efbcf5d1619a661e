package conductor

import (
	"context"
	"fmt"
	"sync/atomic"
	"time"

	"github.com/VictoriaMetrics/metrics"

	"github.com/fescuethread/fescuethread/follower"
	"github.com/fescuethread/fescuethread/limiter"
	"github.com/fescuethread/fescuethread/logger"
	"github.com/fescuethread/fescuethread/rationer"
	"github.com/fescuethread/fescuethread/selector"
	"github.com/fescuethread/fescuethread/timer"
)

// viewsSent and viewsReceived count the views of targets in heartbeats.
var (
	viewsSent     = metrics.GetOrCreateCounter("fescuethread_views_sent_total")
	viewsReceived = metrics.GetOrCreateCounter("fescuethread_views_received_total")
)

// noticesSent and noticesLearned count the notices of ended targets in heartbeats; those that were
// known already aren't learned.
var (
	noticesSent    = metrics.GetOrCreateCounter("fescuethread_notices_sent_total")
	noticesLearned = metrics.GetOrCreateCounter("fescuethread_notices_learned_total")
)

// lookupsAnswered and lookupsFailed count the directory's responses.
var (
	lookupsAnswered = metrics.GetOrCreateCounter(`fescuethread_lookups_total{result="answered"}`)
	lookupsFailed   = metrics.GetOrCreateCounter(`fescuethread_lookups_total{result="failed"}`)
)

// linesDropped counts the log lines that were dropped.
var linesDropped = metrics.GetOrCreateCounter("fescuethread_log_lines_dropped_total")

// requestsAborted counts the requests whose connection was closed without a response.
var requestsAborted = metrics.GetOrCreateCounter("fescuethread_requests_aborted_total")

// neverVerified is the age, in seconds, that is exported before the first verification.
const neverVerified = -1

// registerMetrics registers the host's gauges.
func (h *Host) registerMetrics() {
	metrics.GetOrCreateGauge("fescuethread_ready", func() float64 {
		if h.Ready() {
			return 1
		}
		return 0
	})
	metrics.GetOrCreateGauge("fescuethread_peers_live", func() float64 {
		now := timer.Now()
		live := 0
		for _, p := range h.roster.Peers() {
			if h.roster.Live(now, p.Name) {
				live++
			}
		}
		return float64(live)
	})
	for _, move := range selector.Moves() {
		metrics.GetOrCreateGauge(fmt.Sprintf("fescuethread_objects_total{move=%q}", move),
			func() float64 { return float64(h.selector.MoveCount(move)) })
	}
	metrics.GetOrCreateGauge("fescuethread_objects_placed", func() float64 {
		if h.selector.Placed() {
			return 1
		}
		return 0
	})
	exportDescriptors(h.descriptors)
	exportLimiter("requests", h.requests)
	exportLimiter("responses", h.responses)
	for _, subject := range follower.Subjects() {
		name := fmt.Sprintf("fescuethread_proof_age_seconds{reads=%q}", subject)
		metrics.GetOrCreateGauge(name, func() float64 { return h.verificationAge(subject) })
	}
}

// exportDescriptors registers the gauges of the descriptors.
func exportDescriptors(d *descriptors) {
	metrics.GetOrCreateGauge("fescuethread_descriptors_limit", func() float64 {
		return float64(d.limit)
	})
	for i, u := range d.rationer.Usages() {
		for name, value := range map[string]func(rationer.Usage) int{
			"fescuethread_descriptors":               func(u rationer.Usage) int { return u.Used },
			"fescuethread_descriptors_peak":          func(u rationer.Usage) int { return u.Peak },
			"fescuethread_descriptors_refused_total": func(u rationer.Usage) int { return u.Refused },
			"fescuethread_descriptors_yielded_total": func(u rationer.Usage) int { return u.Yielded },
		} {
			metrics.GetOrCreateGauge(fmt.Sprintf("%s{use=%q}", name, u.Name), func() float64 {
				return float64(value(d.rationer.Usages()[i]))
			})
		}
	}
}

// acceptErrorInterval is the shortest time between two lines about errors of a listener.
const acceptErrorInterval = time.Second

// logAcceptError returns a function that counts the errors of a listener and logs some of them.
func (h *Host) logAcceptError(listener string) func(error) {
	count := metrics.GetOrCreateCounter(
		fmt.Sprintf("fescuethread_accept_errors_total{listener=%q}", listener))
	var loggedAt atomic.Int64
	return func(err error) {
		count.Inc()
		now, last := timer.Now(), loggedAt.Load()
		if last != 0 && now.Sub(timer.Instant(last)) < acceptErrorInterval ||
			!loggedAt.CompareAndSwap(last, int64(now)) {
			return
		}
		fields := []logger.Field{logger.F("listener", listener), logger.F("cause", err.Error())}
		h.log.Log(eventAcceptFailed, append(fields, h.descriptors.fields()...)...)
	}
}

// exportLimiter registers the gauges of the bytes in transit that l bounds.
func exportLimiter(of string, l *limiter.Limiter) {
	for name, value := range map[string]func() int64{
		"fescuethread_transit_bytes":           l.UsedBytes,
		"fescuethread_transit_peak_bytes":      l.PeakBytes,
		"fescuethread_transit_limit_bytes":     l.MaxBytes,
		"fescuethread_transit_evictions_total": l.Evictions,
	} {
		metrics.GetOrCreateGauge(fmt.Sprintf("%s{of=%q}", name, of), func() float64 {
			return float64(value())
		})
	}
}

// verificationAge returns the seconds since the subject was verified against the store.
func (h *Host) verificationAge(subject follower.Subject) float64 {
	for _, s := range h.follower.Summaries() {
		if s.Subject == subject {
			return timer.Now().Sub(s.VerifiedAt).Seconds()
		}
	}
	return neverVerified
}

// instrumentedPeers counts and times reads from peers.
type instrumentedPeers struct {
	follower.Peers
}

// Fetch implements follower.Peers.
func (p instrumentedPeers) Fetch(
	ctx context.Context, peer string, subject follower.Subject, since uint64,
) (follower.Content, error) {
	start := time.Now()
	content, err := p.Peers.Fetch(ctx, peer, subject, since)
	result := "ok"
	if err != nil {
		result = "failed"
	}
	metrics.GetOrCreateCounter(fmt.Sprintf(
		"fescuethread_peer_reads_total{reads=%q,result=%q}", subject, result,
	)).Inc()
	metrics.GetOrCreateHistogram(fmt.Sprintf(
		"fescuethread_peer_read_seconds{reads=%q}", subject,
	)).Update(time.Since(start).Seconds())
	return content, err
}
