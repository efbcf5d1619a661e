package router

import (
	"slices"
	"time"
)

// Query is the request to route.
type Query struct {
	// Service is the service asked for.
	Service string
	// Customer is the customer; empty on open routes.
	Customer string
}

// Rule names the reason of a choice.
type Rule string

const (
	// RuleNear takes the own availability zone because its expected delay is lowest.
	RuleNear Rule = "near"
	// RuleRegion takes a zone of the own region because its expected delay is lowest.
	RuleRegion Rule = "region"
	// RuleShift takes a zone of another region because its expected delay is lowest.
	RuleShift Rule = "shift"
	// RuleStanding takes a zone in the standing order, because its reports are absent or old.
	RuleStanding Rule = "standing"
	// RulePrefer takes a zone because an operators' rule prefers its region.
	RulePrefer Rule = "prefer"
)

// Choice is one availability zone to try.
type Choice struct {
	// Zone is the availability zone.
	Zone string
	// Region is the zone's region.
	Region string
	// Host is the entry host to pass the request to; empty means this host.
	Host string
	// Rule is the reason.
	Rule Rule
	// Delay is the expected time until a slot of the zone is held.
	Delay time.Duration
}

// Decision is the zones to try, best first.
type Decision struct {
	// Choices are in the order in which they are tried.
	Choices []Choice
	// Passed are the zones left out, with the reason.
	Passed []Omission
}

// LacksRoom reports whether there is nothing to try, but a zone that only the sender's allotment
// leaves out.
func (d Decision) LacksRoom() bool {
	if len(d.Choices) > 0 {
		return false
	}
	return slices.ContainsFunc(d.Passed, func(o Omission) bool { return o.Reason == OmitAllotment })
}

// Omission is a zone that a decision leaves out.
type Omission struct {
	// Zone is the availability zone.
	Zone string
	// Reason says why it is left out.
	Reason OmissionReason
}

// OmissionReason says why a zone is left out.
type OmissionReason string

const (
	// OmitNoHost is a zone without a live entry host.
	OmitNoHost OmissionReason = "no live host"
	// OmitNoSlots is a zone whose targets are all unusable.
	OmitNoSlots OmissionReason = "no usable targets"
	// OmitNoLink is a zone of a region that the inventory lists no link to.
	OmitNoLink OmissionReason = "no link"
	// OmitDraining is a zone that is being drained.
	OmitDraining OmissionReason = "draining"
	// OmitAllotment is a zone to which this host has passed on all that it may at present.
	OmitAllotment OmissionReason = "allotment used up"
)
