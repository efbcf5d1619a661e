package selector

import (
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/fescuethread/fescuethread/timer"
)

const (
	// reportFreshFraction is the fraction of its TTL for which a target's load report counts in full.
	reportFreshFraction = 0.2
	// minReportTTL and maxReportTTL limit that TTL, which is the average latency of the service: by
	// then, most of the requests in the report have ended.
	minReportTTL = 500 * time.Millisecond
	maxReportTTL = 4 * time.Second
	// failureWeight is the weight of the newest outcome in a target's failure rate, which is a moving
	// average.
	failureWeight = 0.15
	// maxFailureRate is the failure rate above which a target gets only probes.
	maxFailureRate = 0.3
	// probeInterval is the minimum interval between two probes of a target.
	probeInterval = 400 * time.Millisecond
	// urgentProbeInterval is that interval for probes with urgent requests.
	urgentProbeInterval = time.Second
	// minEjectionTime and maxEjectionTime limit the time for which a target is ejected; it doubles
	// with each ejection in a row.
	minEjectionTime = 500 * time.Millisecond
	maxEjectionTime = 4 * time.Second
	// ejectAfterLosses is the number of consecutive losses after which a target is ejected.
	ejectAfterLosses = 2
	// unresponsiveTimeout is the time without a response, beyond the latency of cache misses, after
	// which a target with requests in flight counts as unhealthy.
	unresponsiveTimeout = time.Second
	// latencyRatioWeight is the weight of the newest response in a target's latency ratio, a moving
	// average.
	latencyRatioWeight = 0.1
	// maxLatencyRatio limits the effect of a single slow response on the latency ratio.
	maxLatencyRatio = 8.0
)

// Target is a server of a service, as described by its entry in the store.
type Target struct {
	// ID is the name of the target's entry, normally a new one for each start of the target.
	ID string
	// Service is the name of the service that the target belongs to.
	Service string
	// Address is the target's IP address and port.
	Address string
	// Zone is the target's availability zone.
	Zone string
	// Slots is the number of requests that the target runs at the same time.
	Slots int
	// Draining says that the target is shutting down and takes no new requests.
	Draining bool
	// ColdRemaining is how long the target stays cold after its entry was written.
	ColdRemaining time.Duration
	// StartMillis is the Unix time of the target's start in milliseconds; 0 means unknown.
	StartMillis int64
}

// Load is the load that a target reports.
type Load struct {
	// Running is the number of running requests.
	Running int
	// Waiting is the number of requests that wait for a slot.
	Waiting int
	// Slots is the number of requests that can run at once.
	Slots int
	// Slowdown is how many times longer than usual work takes on the target's machine at this
	// moment; 0 if the target doesn't say.
	Slowdown float64
}

// free reports whether a report says that slots are free; there may be no report.
func (l *Load) free() bool {
	return l != nil && l.Running < l.Slots
}

// target is a target with its load and health as observed by this host.
type target struct {
	Target
	hash     uint64
	inFlight int
	report   Load
	reportAt timer.Instant
	// placed says that the service's objects have fixed places; the load is then the level.
	placed   bool
	level    level
	slowdown slowdown
	sighting sighting
	// observed says that this host or a peer knows the outcome of a request.
	observed bool
	// reportInFlight is the number of this host's requests in flight when the report arrived.
	reportInFlight int
	// reportTTL is the age from which the report is ignored.
	reportTTL time.Duration
	hold      hold
	// listedAt is when the target was first listed.
	listedAt  timer.Instant
	coldUntil timer.Instant
	// doubtedUntil is until when the target may have restarted; 0 if nothing says so.
	doubtedUntil timer.Instant
	// disconnectedAt is when the target last ended a connection without a response.
	disconnectedAt timer.Instant
	// quietUntil is until when the target gets nothing: by then those requests have left the window
	// that hosts sent before they knew that the target is cold.
	quietUntil  timer.Instant
	ending      ending
	noticesLeft int
	// coldPeriod is how long the target counts as cold after it was unreachable.
	coldPeriod time.Duration
	// idleCheck says that the verification is due to an idle connection, idleChecks how many of them
	// in a row found the target warm, and until idleSilentUntil such ends are no sign.
	idleCheck       bool
	idleChecks      int
	idleSilentUntil timer.Instant
	// verifying and verifiedAt say whether the target's start is being verified, and when it was.
	verifying  bool
	verifiedAt timer.Instant
	// sent holds when this host sent the requests of the last coldWindow.
	sent              []timer.Instant
	failureRate       float64
	consecutiveLosses int
	ejections         int
	ejectedUntil      timer.Instant
	lastProbe         timer.Instant
	lastResponse      timer.Instant
	busySince         timer.Instant
	// maxBaseLatency is the highest base latency of the requests since busySince.
	maxBaseLatency time.Duration
	// latencyRatio is the moving average of the ratio of latency to base latency.
	latencyRatio float64
	misdirected  bool
	// commonFailure says that the failure rate is ignored because many other targets fail too.
	commonFailure bool
}

func newTarget(t Target) *target {
	return &target{Target: t, hash: xxhash.Sum64String(t.ID), latencyRatio: 1}
}

// observeLevel adds a response's report to the level and returns the load without the request that
// the response ended; -1 if there is no report.
func (t *target) observeLevel(now timer.Instant, r Result) float64 {
	if r.Report == nil {
		return -1
	}
	load := float64(r.Report.Running + r.Report.Waiting)
	if r.Outcome == OutcomeAnswered || r.Outcome == OutcomeFailed {
		load = max(load-1, 0)
	}
	t.level.observe(now, load)
	t.slowdown.observe(now, r.Report.Slowdown)
	return load
}

// load estimates how many requests run or wait at the target: those of this host, and those of
// other hosts by the newest report, which counts for less as it ages.
func (t *target) load(now timer.Instant) float64 {
	if t.placed {
		return max(t.level.load(now), float64(t.inFlight))
	}
	others := float64(t.report.Running + t.report.Waiting - t.reportInFlight)
	if t.reportAt == 0 || others <= 0 {
		return float64(t.inFlight)
	}
	age := float64(now.Sub(t.reportAt)) / float64(t.reportTTL)
	switch {
	case age >= 1:
		others = 0
	case age > reportFreshFraction:
		others *= (1 - age) / (1 - reportFreshFraction)
	}
	return float64(t.inFlight) + others
}

// usable reports whether the target accepts requests and is neither misdirected nor ejected.
func (t *target) usable(now timer.Instant) bool {
	return t.accepts(now) && !t.misdirected && !now.Before(t.ejectedUntil)
}

// accepts reports whether the target wants requests: it is neither shutting down nor holding off.
func (t *target) accepts(now timer.Instant) bool {
	return !t.Draining && !t.hold.blocks(now)
}

// healthy reports whether the target is usable, not failing and responsive.
func (t *target) healthy(now timer.Instant) bool {
	return t.usable(now) && !t.failing() && !t.unresponsive(now)
}

// failing reports whether the failure rate is so high that the target gets only probes.
func (t *target) failing() bool {
	return t.failureRate > maxFailureRate && !t.commonFailure
}

// unresponsive reports whether the target has requests in flight but has sent no response for too
// long.
func (t *target) unresponsive(now timer.Instant) bool {
	if t.inFlight == 0 {
		return false
	}
	return now.Sub(max(t.lastResponse, t.busySince)) >
		unresponsiveTimeout+time.Duration(cacheMissFactor*float64(t.maxBaseLatency))
}
