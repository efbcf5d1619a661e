package selector

import (
	"time"

	"github.com/fescuethread/fescuethread/timer"
)

const (
	// demandWeight is the weight of the newest period in the average of arrivals.
	demandWeight = 0.2
	// tookWeight is the weight of the newest answer in an average of times.
	tookWeight = 0.05
	// firstTook stands for the time of an answer before the first one.
	firstTook = 300 * time.Millisecond
)

// gauge measures what callers ask of a service.
type gauge struct {
	arrived float64
	rate    float64
	took    time.Duration
	since   timer.Instant
}

func (g *gauge) answered(took time.Duration) {
	g.took = average(g.took, took)
}

func (g *gauge) tick(now timer.Instant) {
	if g.since != 0 && now > g.since {
		newest := g.arrived / now.Sub(g.since).Seconds()
		g.rate += demandWeight * (newest - g.rate)
	}
	g.arrived = 0
	g.since = now
}

// demand is the number of requests in service, were all of them admitted.
func (g *gauge) demand() float64 {
	took := g.took
	if took == 0 {
		took = firstTook
	}
	return g.rate * took.Seconds()
}

// pace is the usual time of a route's answers.
type pace struct {
	took time.Duration
}

func (p *pace) answered(took time.Duration) {
	p.took = average(p.took, took)
}

func (v *service) pace(route string) *pace {
	p, ok := v.routes[route]
	if !ok {
		p = &pace{}
		v.routes[route] = p
	}
	return p
}

func average(old, newest time.Duration) time.Duration {
	if old == 0 {
		return newest
	}
	return old + time.Duration(tookWeight*float64(newest-old))
}
