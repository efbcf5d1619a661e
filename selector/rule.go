package selector

// Rule is the rule by which a target was chosen.
type Rule string

const (
	// RulePrimary chooses the target that ranks first for the object by rendezvous hashing.
	RulePrimary Rule = "first of object"
	// RuleSecondary chooses the target that ranks second for the object.
	RuleSecondary Rule = "second of object"
	// RuleQueued chooses the object's first or second target although the request has to wait there.
	RuleQueued Rule = "queue of object"
	// RuleRelief chooses the object's second target because the first one is full and the second one
	// is expected to respond sooner.
	RuleRelief Rule = "relief of first"
	// RuleLeastLoaded chooses the least loaded healthy target.
	RuleLeastLoaded Rule = "least loaded"
	// RuleUnhealthy chooses an unhealthy target because no healthy one is left.
	RuleUnhealthy Rule = "only doubted left"
	// RuleProbe sends a request to a failing target to find out whether it has recovered.
	RuleProbe Rule = "probe"
)
