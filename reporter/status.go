package reporter

// Status is the state of one host.
type Status struct {
	// Host is the host's name.
	Host string `json:"host"`
	// Zone is its availability zone.
	Zone string `json:"zone"`
	// Incarnation is its process.
	Incarnation uint64 `json:"incarnation"`
	// Phase is its place in a graceful stop.
	Phase string `json:"phase"`
	// Contact is the age of the newest contact with the platform, in milliseconds; -1 is never.
	Contact int64 `json:"contact"`
	// Freshness is the verdict on what the host knows of withdrawn keys.
	Freshness string `json:"freshness"`
	// Documents are the versions in force.
	Documents []Document `json:"documents"`
	// Members are the hosts that this host knows.
	Members []Member `json:"members"`
	// Loads are the targets near this host, by service.
	Loads []Load `json:"loads"`
	// Accounts are this host's shares of rates.
	Accounts []Account `json:"accounts"`
	// Operations counts the operation identities in memory.
	Operations int `json:"operations"`
	// Connections counts the callers' open connections.
	Connections int `json:"connections"`
}

// Document is a configuration document in force.
type Document struct {
	// Name identifies the document.
	Name string `json:"name"`
	// Version is the version in force.
	Version uint64 `json:"version"`
}

// Member is another host as this host knows it.
type Member struct {
	// Host is the member's name.
	Host string `json:"host"`
	// Zone is its availability zone.
	Zone string `json:"zone"`
	// State is its place in its life.
	State string `json:"state"`
	// Incarnation is its process.
	Incarnation uint64 `json:"incarnation"`
	// Age is the time since its last heartbeat, in milliseconds.
	Age int64 `json:"age"`
	// Documents are the versions in force there.
	Documents []Document `json:"documents"`
}

// Load is the state of the targets of one service near this host.
type Load struct {
	// Service is the service.
	Service string `json:"service"`
	// Slots is the number of slots that this host holds.
	Slots int `json:"slots"`
	// Ready is the number of those that may be used now.
	Ready int `json:"ready"`
	// Busy is the number in use.
	Busy int `json:"busy"`
	// Queued is the number of requests that wait.
	Queued int `json:"queued"`
}

// Account is this host's share of a rate.
type Account struct {
	// Name identifies the account.
	Name string `json:"name"`
	// Rate is the share of the rate, in units a second.
	Rate float64 `json:"rate"`
	// Burst is the share of the burst, in units.
	Burst float64 `json:"burst"`
	// Tokens is what may be spent now, in units.
	Tokens float64 `json:"tokens"`
}

// Explanation is how a request would be routed now.
type Explanation struct {
	// Service is the service asked for.
	Service string `json:"service"`
	// Customer is the customer of the hypothetical request.
	Customer string `json:"customer"`
	// Signals are what is known of each availability zone.
	Signals []Signal `json:"signals"`
	// Verdicts are the rules that decided between signals that disagree.
	Verdicts []Verdict `json:"verdicts"`
	// Choices are the zones to try, best first.
	Choices []Choice `json:"choices"`
	// Passed are the zones left out.
	Passed []Omission `json:"passed"`
}

// Signal is what is known of one availability zone.
type Signal struct {
	// Zone is the availability zone.
	Zone string `json:"zone"`
	// Near says that this host holds slots there.
	Near bool `json:"near"`
	// Hosts are the live entry hosts there.
	Hosts []string `json:"hosts"`
	// Age is the age of the zone's load report, in milliseconds; -1 is none.
	Age int64 `json:"age"`
	// Ready is the number of usable slots.
	Ready int `json:"ready"`
	// Busy is the number of slots in use.
	Busy int `json:"busy"`
	// Queued is the number of requests that wait.
	Queued int `json:"queued"`
	// RTT is the round-trip time to the zone, in microseconds.
	RTT int64 `json:"rtt"`
	// Draining says that the zone takes no new work.
	Draining bool `json:"draining"`
}

// Verdict is the outcome of the standing rule for one subject.
type Verdict struct {
	// Subject is what the signals are about.
	Subject string `json:"subject"`
	// Signals are the signals that disagree.
	Signals []string `json:"signals"`
	// Rule is the rule that decided.
	Rule string `json:"rule"`
	// Outcome is what was decided.
	Outcome string `json:"outcome"`
}

// Choice is one availability zone to try.
type Choice struct {
	// Zone is the availability zone.
	Zone string `json:"zone"`
	// Host is the entry host to pass the request to; empty means this host.
	Host string `json:"host"`
	// Rule is the reason.
	Rule string `json:"rule"`
	// Delay is the expected time until a slot is held, in microseconds.
	Delay int64 `json:"delay"`
}

// Omission is a zone that a decision leaves out.
type Omission struct {
	// Zone is the availability zone.
	Zone string `json:"zone"`
	// Reason says why.
	Reason string `json:"reason"`
}
