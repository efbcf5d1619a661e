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
	// refusalPeriod is the time in which refusals count as one.
	refusalPeriod = time.Second
)

// Feedback is what a request that has ended tells of the zone that it was passed to.
type Feedback uint8

const (
	// FeedbackNone is a request that says nothing about the zone.
	FeedbackNone Feedback = iota
	// FeedbackAnswered is a request that the zone answered.
	FeedbackAnswered
	// FeedbackRefused is a request that the zone had no room for.
	FeedbackRefused
)

// Flight counts the requests that this host has in flight to one availability zone, and remembers
// how many there were when a report was made. It is not safe for concurrent use.
type Flight struct {
	count   int
	held    int
	answers int
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

// End counts a request out and takes in what it tells.
func (f *Flight) End(now timer.Instant, b Feedback) {
	f.sample(now)
	f.count--
	switch b {
	case FeedbackAnswered:
		f.answer()
	case FeedbackRefused:
		f.refuse(now)
	}
}

// answer earns room for one more request after a round of answers; it counts without reports.
func (f *Flight) answer() {
	f.answers++
	if f.answers > f.held {
		f.held++
		f.answers = 0
	}
}

func (f *Flight) refuse(now timer.Instant) {
	if now.Sub(f.refused) >= refusalPeriod {
		f.held /= 2
	}
	f.refused = now
}

// Count is the number of requests in flight.
func (f *Flight) Count() int {
	return f.count
}

// Held is the number of requests that were in flight when a report of the given age was made.
// Without a report it is what it was, but for what own answers earn and refusals cost.
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
