package registrar

import (
	"net/netip"
	"path"
	"slices"
	"strings"
	"time"
)

// Region is a group of availability zones.
type Region struct {
	// Name identifies the region.
	Name string
}

// Zone is an availability zone.
type Zone struct {
	// Name identifies the availability zone.
	Name string
	// Region is the region that it belongs to.
	Region string
}

// Host is an entry host.
type Host struct {
	// Name identifies the host.
	Name string
	// Zone is the host's availability zone.
	Zone string
	// Address is the IP number and port for callers.
	Address string
	// Peer is the IP number and port for other entry hosts.
	Peer string
	// Admin is the IP number and port for operators.
	Admin string
}

// Link is one direction of the network between two regions.
type Link struct {
	// From is the sending region.
	From string
	// To is the receiving region.
	To string
	// BytesPerSecond caps the link.
	BytesPerSecond int64
	// RTT is the round-trip time.
	RTT time.Duration
}

// Service is a kind of work that targets offer.
type Service struct {
	// Name identifies the service.
	Name string
	// Idempotent lists the methods that may run more than once.
	Idempotent []string
	// Open lists the paths, and the prefixes ending in a slash, that need no key.
	Open []string
	// Timeout bounds a request.
	Timeout time.Duration
	// Queue bounds the requests that wait in one availability zone.
	Queue int
	// Slots is the default of the service's targets.
	Slots int
	// Connections is the default of the service's targets.
	Connections int
}

// IsIdempotent says whether a method may run more than once.
func (s Service) IsIdempotent(method string) bool {
	return slices.Contains(s.Idempotent, method)
}

// IsOpen says whether a path as sent needs no key; an escaped or unclean path always needs one.
func (s Service) IsOpen(sent string) bool {
	if !isPlainPath(sent) {
		return false
	}
	for _, open := range s.Open {
		if sent == open {
			return true
		}
		if strings.HasSuffix(open, "/") && strings.HasPrefix(sent, open) {
			return true
		}
	}
	return false
}

// isPlainPath refuses paths that a target may read as another path.
func isPlainPath(sent string) bool {
	if !strings.HasPrefix(sent, "/") || strings.ContainsAny(sent, "%\\;?#") {
		return false
	}
	clean := path.Clean(sent)
	return sent == clean || sent == clean+"/"
}

// Target is an upstream that runs requests of one service.
type Target struct {
	// Name identifies the target.
	Name string
	// Service is the service that it offers.
	Service string
	// Zone is the target's availability zone.
	Zone string
	// Address is the target's IP number and port.
	Address string
	// Slots bounds the requests that run at once.
	Slots int
	// Connections bounds the open connections.
	Connections int
	// Warmup is the time that a cold target takes to full load.
	Warmup time.Duration
}

// Customer is a holder of keys with a rate for the whole fleet.
type Customer struct {
	// Name identifies the customer.
	Name string
	// Rate is the number of requests a second.
	Rate int64
	// Burst is the number of requests above the rate at once.
	Burst int64
	// Services lists the services that the customer may use.
	Services []string
}

// Uses says whether the customer may use a service.
func (c Customer) Uses(service string) bool {
	return slices.Contains(c.Services, service)
}

// Block assigns a client block to an availability zone.
type Block struct {
	// Prefix is the client block.
	Prefix netip.Prefix
	// Zone is the nearest availability zone.
	Zone string
}

// RuleKind names what a rule does.
type RuleKind string

const (
	// RuleCap bounds the requests a second shifted from one region to another.
	RuleCap RuleKind = "cap"
	// RulePrefer orders the regions for a service or a customer.
	RulePrefer RuleKind = "prefer"
	// RuleStanding gives the standing shares of a service's availability zones.
	RuleStanding RuleKind = "standing"
	// RuleFloor is the share of targets below which health is ignored.
	RuleFloor RuleKind = "floor"
)

// Weight is the share of an availability zone beside others.
type Weight struct {
	// Zone is the availability zone.
	Zone string
	// Weight is its share.
	Weight int
}

// Rule is an operators' rule; its kind says which fields are in use.
type Rule struct {
	// Kind names what the rule does.
	Kind RuleKind
	// Service limits the rule to a service; empty means all.
	Service string
	// Customer limits a prefer rule to a customer; empty means all.
	Customer string
	// From is the region that a cap's requests leave.
	From string
	// To is the region that a cap's requests go to.
	To string
	// Rate is a cap's number of requests a second.
	Rate int64
	// Order lists a prefer rule's regions, the first choice first.
	Order []string
	// Weights lists the standing shares in the order of their zones.
	Weights []Weight
	// Share is a floor's part of the targets, from 0 to 1.
	Share float64
}
