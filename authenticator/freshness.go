package authenticator

import (
	"fmt"
	"slices"
	"strings"
	"time"

	"github.com/pkg/errors"
)

// DefaultBound is the age of the newest proof of freshness above which keys are stale.
const DefaultBound = 30 * time.Second

// lostFraction is the part of the bound after which contact counts as lost, so that all hosts have
// reported the loss by the time that their keys are stale.
const lostFraction = 2

// Stale is the standing rule for a host that is cut off.
type Stale string

const (
	// StaleRefuse refuses keyed routes: availability gives way, withdrawals hold.
	StaleRefuse Stale = "refuse"
	// StaleServe serves keyed routes by the last known keys: withdrawals give way, with a log line.
	StaleServe Stale = "serve"
)

// ParseStale reads the standing rule from the settings; empty means StaleRefuse.
func ParseStale(text string) (Stale, error) {
	switch Stale(text) {
	case "", StaleRefuse:
		return StaleRefuse, nil
	case StaleServe:
		return StaleServe, nil
	default:
		err := errors.Errorf("stale is %q, want \"refuse\" or \"serve\"", text)
		return "", &Error{Op: "settings", Kind: KindMalformed, Err: err}
	}
}

// Report is a peer's newest heartbeat as far as it concerns keys.
type Report struct {
	// Host is the peer.
	Host string
	// Zone is the peer's availability zone.
	Zone string
	// Keys is the version of the key document that the peer held.
	Keys uint64
	// Contact is the age of the peer's newest confirmed contact when it made the report. Confirmed
	// contact means that the platform had no version of the key document above Keys.
	Contact time.Duration
	// Heard is the time since an instant before the report was made, such as the sending of the
	// request that it answered, so that a report that was held up doesn't look new.
	Heard time.Duration
}

// Evidence is what a host knows of the keys' freshness.
type Evidence struct {
	// Zone is the host's own availability zone.
	Zone string
	// Keys is the version of the key document that the host holds.
	Keys uint64
	// Contact is the age of the newest confirmed contact of the host or of its zone's reader;
	// Never means none.
	Contact time.Duration
	// Zones lists the availability zones with entry hosts, those known to have left excepted.
	Zones []string
	// Reports lists the newest report of each peer that hasn't left.
	Reports []Report
}

// Never is the age of a contact that hasn't been.
const Never = time.Duration(1<<63 - 1)

// Freshness classifies the host's knowledge of the keys.
type Freshness string

const (
	// Fresh is knowledge proved within the bound.
	Fresh Freshness = "fresh"
	// Outage is stale knowledge while every availability zone has reported lost contact.
	Outage Freshness = "outage"
	// CutOff is stale knowledge while others have contact or newer keys, or may have them.
	CutOff Freshness = "cutoff"
)

// Decision says whether keyed routes are served, and why.
type Decision struct {
	// Freshness classifies the knowledge.
	Freshness Freshness
	// Keyed says whether keyed routes are served; open routes always are.
	Keyed bool
	// Age is the age of the newest proof of freshness; Never means none.
	Age time.Duration
	// Zones lists the availability zones that may have newer keys.
	Zones []string
	// Reason is one line for the log.
	Reason string
}

// Policy is the standing rule with its bound.
type Policy struct {
	// Bound is the age above which keys are stale.
	Bound time.Duration
	// Stale decides for a host that is cut off.
	Stale Stale
}

// Decide concludes whether keyed routes are served.
//
// Within the bound the promise that withdrawn keys stop working holds. In an outage no withdrawal
// reaches the platform, as far as all hosts can see; keyed routes go on by the last known keys.
// When cut off, StaleRefuse lets availability give way and StaleServe lets the promise on
// withdrawals give way; either is reported in the decision.
func (p Policy) Decide(e Evidence) Decision {
	d := Decision{Age: e.age()}
	if d.Age <= p.Bound {
		d.Freshness = Fresh
		d.Keyed = true
		d.Reason = fmt.Sprintf("keys were confirmed %s ago", d.Age)
		return d
	}
	d.Zones = p.doubtful(e)
	if len(d.Zones) == 0 && len(e.Zones) > 0 {
		d.Freshness = Outage
		d.Keyed = true
		d.Reason = "every availability zone has lost the platform: the last known keys stay in force"
		return d
	}
	d.Freshness = CutOff
	d.Keyed = p.Stale == StaleServe
	d.Reason = p.reason(d)
	return d
}

func (p Policy) reason(d Decision) string {
	verb := "refused"
	if d.Keyed {
		verb = "served"
	}
	zones := strings.Join(d.Zones, ", ")
	if zones == "" {
		zones = "others"
	}
	return fmt.Sprintf("keys may have been withdrawn unseen, since %s may have newer ones: "+
		"keyed routes are %s by the rule stale = %q", zones, verb, p.Stale)
}

// age returns the age of the newest proof: own contact, or that of a peer with no newer keys.
func (e Evidence) age() time.Duration {
	age := Never
	if e.Contact >= 0 {
		age = e.Contact
	}
	for _, r := range e.Reports {
		if r.Keys <= e.Keys {
			age = min(age, r.age())
		}
	}
	return age
}

// age returns the contact's age by now; impossible reports prove nothing.
func (r Report) age() time.Duration {
	if r.Contact < 0 || r.Heard < 0 || r.Contact > Never-r.Heard {
		return Never
	}
	return r.Contact + r.Heard
}

// doubtful lists the availability zones that haven't shown that they lost contact.
func (p Policy) doubtful(e Evidence) []string {
	own := Report{Zone: e.Zone, Keys: e.Keys, Contact: e.Contact}
	reports := append(slices.Clone(e.Reports), own)
	var zones []string
	for _, zone := range e.Zones {
		if e.isBehind(zone) || !p.hasLost(zone, reports) {
			zones = append(zones, zone)
		}
	}
	slices.Sort(zones)
	return zones
}

// isBehind says whether a zone has reported newer keys than the host holds.
func (e Evidence) isBehind(zone string) bool {
	return slices.ContainsFunc(e.Reports, func(r Report) bool {
		return r.Zone == zone && r.Keys > e.Keys
	})
}

// hasLost says whether a zone's newest reports all show lost contact. Reports count that are up to
// half a bound older than the zone's newest, so that a host that died doesn't speak for its zone.
func (p Policy) hasLost(zone string, reports []Report) bool {
	newest := Never
	for _, r := range reports {
		if r.Zone == zone {
			newest = min(newest, max(r.Heard, 0))
		}
	}
	lost := p.Bound / lostFraction
	found := false
	for _, r := range reports {
		if r.Zone != zone || r.Heard > newest+min(lost, Never-newest) {
			continue
		}
		if r.Contact <= lost {
			return false
		}
		found = true
	}
	return found
}
