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
	// Linked says that the zone can be reached: it is near, of the own region, or the operators
	// listed a link to its region.
	Linked bool
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
	// Senders is the number of live hosts that may pass requests to the zone.
	Senders int
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
	// assumedService stands for the service time of zones that report none.
	assumedService = 10 * time.Millisecond
)

// fresh reports whether the load may be used.
func (l Load) fresh() bool {
	return l.Known && l.Age <= MaxReportAge
}

// delay returns the expected wait for a slot, from the queue ahead and the service time.
func (l Load) delay() time.Duration {
	if l.Ready == 0 {
		return 0
	}
	service := l.Service
	if service == 0 {
		service = assumedService
	}
	ahead := l.Busy + l.Queued + 1 - l.Ready
	if ahead <= 0 {
		return 0
	}
	return time.Duration(ahead) * service / time.Duration(l.Ready)
}

// allotment is this host's part of the zone's free slots, so that all senders together, who act on
// the same report, do not exceed them.
func (z Zone) allotment() int {
	free := z.Load.Ready - z.Load.Busy - z.Load.Queued
	return max(free/max(z.Senders, 1), minAllotment)
}
