package router

import (
	"time"

	"github.com/fescuethread/fescuethread/timer"
)

const (
	// flightPeriod is the time between two samples of a flight.
	flightPeriod = 100 * time.Millisecond
	// flightSamples covers MaxReportAge.
	flightSamples = int(MaxReportAge/flightPeriod) + 1
)

// Flight counts the requests that this host has in flight to one availability zone, and remembers
// how many there were when a report was made. It is not safe for concurrent use.
type Flight struct {
	count   int
	held    int
	refused timer.Instant
	next    int
	samples [flightSamples]flightSample
}

// flightSample is a count that held until an instant.
type flightSample struct {
	until timer.Instant
	count int
}

// Begin counts a request in.
func (f *Flight) Begin(now timer.Instant) {
	f.sample(now)
	f.count++
}

// End counts a request out.
func (f *Flight) End(now timer.Instant) {
	f.sample(now)
	f.count--
}

// Count is the number of requests in flight.
func (f *Flight) Count() int {
	return f.count
}

// Held is the number of requests that were in flight when a report of the given age was made. A
// report that counts as absent leaves the number as it was.
func (f *Flight) Held(now timer.Instant, l Load) int {
	if !l.fresh() {
		return f.held
	}
	made := now.Add(-l.Age)
	f.held = f.count
	for i := range f.samples {
		s := f.samples[(f.next+flightSamples-1-i)%flightSamples]
		if s.until.Before(made) {
			break
		}
		f.held = s.count
	}
	return f.held
}

// Refuse notes that the zone refused a request.
func (f *Flight) Refuse(now timer.Instant) {
	f.refused = now
}

// Refused reports whether the zone refused a request after the report was made, or lately where
// there is no report.
func (f *Flight) Refused(now timer.Instant, l Load) bool {
	if f.refused == 0 {
		return false
	}
	age := l.Age
	if !l.fresh() {
		age = MaxReportAge
	}
	return now.Sub(f.refused) <= age
}

func (f *Flight) sample(now timer.Instant) {
	last := f.samples[(f.next+flightSamples-1)%flightSamples].until
	if now.Sub(last) < flightPeriod {
		return
	}
	f.samples[f.next] = flightSample{until: now, count: f.count}
	f.next = (f.next + 1) % flightSamples
}
