package router

import "time"

// Zone is what is known of one availability zone for one service.
type Zone struct {
	// Name is the availability zone.
	Name string
	// Region is its region.
	Region string
	// Near says that this host holds slots of the zone.
	Near bool
	// Hosts are the live entry hosts that hold slots of the zone.
	Hosts []string
	// RTT is the round-trip time to the zone.
	RTT time.Duration
	// Unlinked says that the zone's region is another one that the operators listed no link to.
	Unlinked bool
	// Draining says that the zone takes no new work.
	Draining bool
	// Weight is the zone's standing share of the service.
	Weight int
	// Rank is the place of the zone's region in a prefer rule; 0 means none.
	Rank int
	// Load is the newest report of the zone.
	Load Load
	// InFlight is the number of requests that this host has passed to the zone.
	InFlight int
	// Held is the number of those when the zone's report was made; see Flight.Held.
	Held int
	// Refused says that the zone refused a request of this host after its report was made.
	Refused bool
	// Senders is the number of hosts that are likely to pass requests to the zone, this one
	// included.
	Senders int
	// Shift says that the zone is in another region, whose caches may be cold.
	Shift bool
}

// Load is the state of a zone's targets of one service.
type Load struct {
	// Known says that a report has arrived.
	Known bool
	// Age is the report's age; reports older than MaxReportAge count as absent.
	Age time.Duration
	// Ready is the number of slots of usable targets.
	Ready int
	// Busy is the number of slots in use.
	Busy int
	// Queued is the number of requests that wait.
	Queued int
	// Service is the mean time that a request holds a slot.
	Service time.Duration
}

const (
	// MaxReportAge is the age from which a load report counts as absent.
	MaxReportAge = 5 * time.Second
	// maxChoices bounds the zones that one request tries.
	maxChoices = 3
	// minAllotment lets each host probe a zone whose report shows no room.
	minAllotment = 1
	// rampStart is the number of requests in flight by which a shift to another region begins.
	rampStart = 8
	// shortDivisor is the part of a zone's slots, as a divisor, that is free where none are short.
	shortDivisor = 10
	// nearEqual is the difference in expected delay that is no reason to prefer a zone.
	nearEqual = 5 * time.Millisecond
	// waitCost counts a wait more than a trip, since whoever waits also delays those behind.
	waitCost = 2
	// assumedService stands for the service time of zones that report none.
	assumedService = 10 * time.Millisecond
)

// fresh reports whether the load may be used.
func (l Load) fresh() bool {
	return l.Known && l.Age <= MaxReportAge
}

// delay returns the cost of the expected wait for a slot.
func (l Load) delay() time.Duration {
	if l.Ready == 0 {
		return 0
	}
	ahead := l.Busy + l.Queued + 1 - l.Ready
	if ahead <= 0 {
		return 0
	}
	return waitCost * time.Duration(ahead) * l.service() / time.Duration(l.Ready)
}

// service is the mean time that a request holds a slot.
func (l Load) service() time.Duration {
	if l.Service == 0 {
		return assumedService
	}
	return l.Service
}

// free is the number of slots that neither run nor are waited for.
func (l Load) free() int {
	return l.Ready - l.Busy - l.Queued
}

// Short reports whether so few slots are free that hosts may pass requests elsewhere.
func (l Load) Short() bool {
	return l.free()*shortDivisor <= l.Ready
}

// allotment is the number of requests that this host may have in flight to the zone. It is what
// the host had there when the report was made and its part of the slots that were free then, so
// that all senders together, who act on the same report, do not exceed them. After a refusal it is
// half of what the host had, and without news what it held, which own answers change.
func (z *Zone) allotment() int {
	switch {
	case !z.Load.fresh():
		return max(z.Held, minAllotment)
	case z.Refused:
		return max(z.Held/2, minAllotment)
	}
	part := z.Load.free() * int(z.RTT+z.Load.service()) / int(z.Load.service()) / max(z.Senders, 1)
	if z.Load.free() > 0 {
		part = max(part, minAllotment)
	}
	if z.Shift {
		part = min(part, max(z.Held, rampStart))
	}
	return max(z.Held+part, minAllotment)
}

// room is the number of requests that this host may pass to the zone now.
func (z *Zone) room() int {
	return z.allotment() - z.InFlight
}

// known reports whether the zone's state is known: because it is near, or by a fresh report that
// no refusal contradicts.
func (z *Zone) known() bool {
	return z.Near || z.Load.fresh() && !z.Refused
}
