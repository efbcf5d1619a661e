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

// Demand is the demand of a host's callers.
type Demand struct {
	// Zone is the host's availability zone.
	Zone string
	// UpdatedAt is the instant at which the demand was measured, or received from the host.
	UpdatedAt timer.Instant
	// Concurrency is the number of requests, by service, that would be in flight if none were
	// refused.
	Concurrency map[string]float64
}

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

// SetDemand sets the demand of the callers of a host, or of all hosts of another availability
// zone.
func (s *Selector) SetDemand(host string, d Demand) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.demands[host] = d
}

// Demand returns the demand of this host's callers.
func (s *Selector) Demand(now timer.Instant) Demand {
	s.mu.Lock()
	defer s.mu.Unlock()
	d := Demand{Zone: s.cfg.Zone, UpdatedAt: now, Concurrency: map[string]float64{}}
	for name, svc := range s.services {
		d.Concurrency[name] = svc.meter.demand()
	}
	return d
}

// ZoneDemand returns the sum of the recent demand of the hosts of an availability zone, by
// service.
func (s *Selector) ZoneDemand(now timer.Instant, zone string) map[string]float64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	sum := map[string]float64{}
	for _, d := range s.demands {
		if d.Zone != zone || now.Sub(d.UpdatedAt) > demandTTL {
			continue
		}
		for name, concurrency := range d.Concurrency {
			sum[name] += concurrency
		}
	}
	return sum
}

// pruneDemands forgets the demand of hosts that are gone.
func (s *Selector) pruneDemands(now timer.Instant) {
	for host, d := range s.demands {
		if now.Sub(d.UpdatedAt) > demandTTL {
			delete(s.demands, host)
		}
	}
}
