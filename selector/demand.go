package selector

import (
	"time"

	"github.com/fescuethread/fescuethread/timer"
)

const (
	// rateWeight is the weight of the newest interval in the moving average of the request rate.
	rateWeight = 0.2
	// latencyWeight is the weight of the newest response in a moving average of latencies.
	latencyWeight = 0.05
	// defaultLatency is assumed until the first response.
	defaultLatency = 300 * time.Millisecond
)

// demandMeter measures the request rate and the latency of a service.
type demandMeter struct {
	arrivals float64
	// rate is in requests per second.
	rate     float64
	latency  time.Duration
	lastTick timer.Instant
}

func (m *demandMeter) observe(latency time.Duration) {
	m.latency = movingAverage(m.latency, latency)
}

func (m *demandMeter) tick(now timer.Instant) {
	if m.lastTick != 0 && now > m.lastTick {
		sample := m.arrivals / now.Sub(m.lastTick).Seconds()
		m.rate += rateWeight * (sample - m.rate)
	}
	m.arrivals = 0
	m.lastTick = now
}

// demand estimates how many requests would be in flight if none were refused, as the request rate
// multiplied by the latency.
func (m *demandMeter) demand() float64 {
	latency := m.latency
	if latency == 0 {
		latency = defaultLatency
	}
	return m.rate * latency.Seconds()
}

// routeStats holds the average latency of a route; 0 means that it had no response yet.
type routeStats struct {
	latency time.Duration
}

func (r *routeStats) observe(latency time.Duration) {
	r.latency = movingAverage(r.latency, latency)
}

func (svc *service) route(name string) *routeStats {
	r, ok := svc.routes[name]
	if !ok {
		r = &routeStats{}
		svc.routes[name] = r
	}
	return r
}

func movingAverage(old, sample time.Duration) time.Duration {
	if old == 0 {
		return sample
	}
	return old + time.Duration(latencyWeight*float64(sample-old))
}
