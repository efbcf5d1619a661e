package registrar

import "strings"

func (k *checker) checkRules() {
	known := names{}
	for i, rule := range k.content.rules {
		path := at("rules", i)
		k.checkRule(path, rule)
		k.unique(known, path, rule.subject())
	}
}

// subject names what a rule decides, so that two rules can't decide the same.
func (r Rule) subject() string {
	parts := []string{string(r.Kind)}
	if r.Service != "" {
		parts = append(parts, "service "+r.Service)
	}
	if r.Customer != "" {
		parts = append(parts, "customer "+r.Customer)
	}
	if r.Kind == RuleCap {
		parts = append(parts, direction(r.From, r.To))
	}
	return strings.Join(parts, " ")
}

func (k *checker) checkRule(path string, rule Rule) {
	if rule.Service != "" {
		k.refer(k.services, path+".service", "service", rule.Service)
	}
	if rule.Customer != "" {
		k.refer(k.customers, path+".customer", "customer", rule.Customer)
	}
	switch rule.Kind {
	case RuleCap:
		k.checkCap(path, rule)
	case RulePrefer:
		k.checkOrder(path, rule)
	case RuleStanding:
		k.checkStanding(path, rule)
	case RuleFloor:
		k.checkFloor(path, rule)
	default:
		k.faults.addf(path+".kind", "is %q; want cap, prefer, standing or floor", rule.Kind)
	}
}

func (k *checker) checkCap(path string, rule Rule) {
	k.refer(k.services, path+".service", "service", rule.Service)
	k.refer(k.regions, path+".from", "region", rule.From)
	k.refer(k.regions, path+".to", "region", rule.To)
	if rule.From == rule.To {
		k.faults.addf(path+".to", "is the same region as from; want another")
	}
	if rule.Rate < 0 {
		k.faults.addf(path+".rate", "is %d; want zero or more", rule.Rate)
	}
}

func (k *checker) checkOrder(path string, rule Rule) {
	if rule.Service == "" && rule.Customer == "" {
		k.faults.addf(path, "want a service, a customer or both")
	}
	if len(rule.Order) == 0 {
		k.faults.addf(path+".order", "is empty; list at least one region")
	}
	for i, region := range rule.Order {
		k.refer(k.regions, at(path+".order", i), "region", region)
	}
}

func (k *checker) checkStanding(path string, rule Rule) {
	k.refer(k.services, path+".service", "service", rule.Service)
	sum := 0
	for _, w := range rule.Weights {
		sum += w.Weight
		k.checkWeight(path+".weights."+w.Zone, rule.Service, w)
	}
	if sum == 0 {
		k.faults.addf(path+".weights", "all are zero; give at least one zone a weight")
	}
}

func (k *checker) checkWeight(path, service string, w Weight) {
	if !k.refer(k.zones, path, "availability zone", w.Zone) || w.Weight == 0 {
		return
	}
	for _, t := range k.content.targets {
		if t.Service == service && t.Zone == w.Zone {
			return
		}
	}
	k.faults.addf(path, "%q has no upstream of %q; want a weight of 0", w.Zone, service)
}

func (k *checker) checkFloor(path string, rule Rule) {
	if !(rule.Share >= 0 && rule.Share <= 1) {
		k.faults.addf(path+".share", "is %g; want a number from 0 to 1", rule.Share)
	}
}
