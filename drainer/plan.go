package drainer

import (
	"encoding/json"
	"slices"

	"github.com/pkg/errors"

	"github.com/fescuethread/fescuethread/registrar"
)

// Document is the name of the document of planned drains.
const Document = "config/drains"

// Scope is the kind of thing that a drain empties.
type Scope string

const (
	// ScopeTarget drains one target.
	ScopeTarget Scope = "target"
	// ScopeHost drains one entry host.
	ScopeHost Scope = "host"
	// ScopeZone drains the targets and entry hosts of an availability zone.
	ScopeZone Scope = "zone"
	// ScopeRegion drains all availability zones of a region.
	ScopeRegion Scope = "region"
)

// Drain is one thing that takes no new work.
type Drain struct {
	// Scope is the kind of thing.
	Scope Scope `json:"scope"`
	// Name identifies it in the inventory.
	Name string `json:"name"`
}

// Plan is the set of drains in force.
type Plan struct {
	drains []Drain
}

type document struct {
	Drains []Drain `json:"drains"`
}

// Parse decodes a plan.
func Parse(data []byte) (Plan, error) {
	var d document
	if err := json.Unmarshal(data, &d); err != nil {
		return Plan{}, &Error{Op: "parse", Kind: KindSyntax, Err: errors.WithStack(err)}
	}
	for _, drain := range d.Drains {
		if !drain.Scope.valid() {
			err := errors.Errorf("scope %q is not target, host, zone or region", drain.Scope)
			return Plan{}, &Error{Op: "parse", Kind: KindSyntax, Err: err}
		}
	}
	return Plan{drains: d.Drains}, nil
}

func (s Scope) valid() bool {
	return slices.Contains([]Scope{ScopeTarget, ScopeHost, ScopeZone, ScopeRegion}, s)
}

// Encode encodes the plan for the platform.
func (p Plan) Encode() ([]byte, error) {
	drains := p.drains
	if drains == nil {
		drains = []Drain{}
	}
	data, err := json.Marshal(document{Drains: drains})
	if err != nil {
		return nil, &Error{Op: "encode", Kind: KindSyntax, Err: errors.WithStack(err)}
	}
	return data, nil
}

// Drains returns the drains in force.
func (p Plan) Drains() []Drain {
	return slices.Clone(p.drains)
}

// With returns the plan with a drain added; adding it again changes nothing.
func (p Plan) With(d Drain) Plan {
	if slices.Contains(p.drains, d) {
		return p
	}
	return Plan{drains: append(slices.Clone(p.drains), d)}
}

// Without returns the plan with a drain cancelled.
func (p Plan) Without(d Drain) Plan {
	rest := slices.DeleteFunc(slices.Clone(p.drains), func(o Drain) bool { return o == d })
	return Plan{drains: rest}
}

// WithKnown returns the plan without drains of what the inventory no longer names.
func (p Plan) WithKnown(inv *registrar.Inventory) Plan {
	rest := slices.DeleteFunc(slices.Clone(p.drains), func(d Drain) bool { return !known(inv, d) })
	return Plan{drains: rest}
}

// Target reports whether a target takes no new work.
func (p Plan) Target(inv *registrar.Inventory, t registrar.Target) bool {
	return p.has(ScopeTarget, t.Name) || p.Zone(inv, t.Zone)
}

// Host reports whether an entry host is to leave.
func (p Plan) Host(inv *registrar.Inventory, h registrar.Host) bool {
	return p.has(ScopeHost, h.Name) || p.Zone(inv, h.Zone)
}

// Zone reports whether an availability zone takes no new work.
func (p Plan) Zone(inv *registrar.Inventory, name string) bool {
	if p.has(ScopeZone, name) {
		return true
	}
	z, ok := inv.Zone(name)
	return ok && p.has(ScopeRegion, z.Region)
}

func (p Plan) has(s Scope, name string) bool {
	return slices.Contains(p.drains, Drain{Scope: s, Name: name})
}

// Check refuses drains of what the inventory does not name, and drains that leave a service
// without a target or the fleet without an entry host.
func (p Plan) Check(inv *registrar.Inventory) error {
	for _, d := range p.drains {
		if !known(inv, d) {
			err := errors.Errorf("the inventory names no %s %q", d.Scope, d.Name)
			return &Error{Op: "check", Kind: KindUnknown, Err: err}
		}
	}
	if p.drainsEveryHost(inv) {
		err := errors.New("no entry host would be left")
		return &Error{Op: "check", Kind: KindLast, Err: err}
	}
	for _, s := range inv.Services() {
		if p.drainsEveryTarget(inv, s.Name) {
			err := errors.Errorf("no target of service %q would be left", s.Name)
			return &Error{Op: "check", Kind: KindLast, Err: err}
		}
	}
	return nil
}

func known(inv *registrar.Inventory, d Drain) bool {
	switch d.Scope {
	case ScopeHost:
		_, ok := inv.Host(d.Name)
		return ok
	case ScopeZone:
		_, ok := inv.Zone(d.Name)
		return ok
	case ScopeRegion:
		return len(inv.ZonesIn(d.Name)) > 0
	default:
		return knownTarget(inv, d.Name)
	}
}

func knownTarget(inv *registrar.Inventory, name string) bool {
	for _, s := range inv.Services() {
		for _, t := range inv.Targets(s.Name) {
			if t.Name == name {
				return true
			}
		}
	}
	return false
}

func (p Plan) drainsEveryHost(inv *registrar.Inventory) bool {
	for _, h := range inv.Hosts() {
		if !p.Host(inv, h) {
			return false
		}
	}
	return len(p.drains) > 0
}

func (p Plan) drainsEveryTarget(inv *registrar.Inventory, service string) bool {
	targets := inv.Targets(service)
	for _, t := range targets {
		if !p.Target(inv, t) {
			return false
		}
	}
	return len(p.drains) > 0 && len(targets) > 0
}
