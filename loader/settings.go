package loader

import "time"

// Settings are all settings of a serving process.
type Settings struct {
	Host     Host     `toml:"host"`
	Listen   Listen   `toml:"listen"`
	Platform Platform `toml:"platform"`
	Peers    Peers    `toml:"peers"`
	Callers  Callers  `toml:"callers"`
	Keys     Keys     `toml:"keys"`
	Work     Work     `toml:"work"`
	Drain    Drain    `toml:"drain"`
	Log      Log      `toml:"log"`
}

// Host names the entry host that the process runs on.
type Host struct {
	Name string `toml:"name" doc:"Name of the entry host in the inventory. Required."`
	Zone string `toml:"zone" doc:"Availability zone of the entry host. Required."`
}

// Listen holds the addresses that the process listens on.
type Listen struct {
	Caller string `toml:"caller" doc:"IP address and port for callers. Required."`
	Peer   string `toml:"peer" doc:"IP address and port for other entry hosts. Required."`
	Admin  string `toml:"admin" doc:"IP address and port for metrics, health and status. Required."`
}

// Platform tells how the platform's object API is reached.
type Platform struct {
	Address string   `toml:"address" doc:"IP address and port of the object API. Required."`
	Timeout Duration `toml:"timeout" doc:"Longest wait for an answer to one call."`
	Watch   Duration `toml:"watch" doc:"Longest time that one watch waits for a change."`
}

// Peers tells how other entry hosts are reached.
type Peers struct {
	Seeds   []string `toml:"seeds" doc:"Peer addresses asked for configuration before it is known."`
	Timeout Duration `toml:"timeout" doc:"Longest wait for an answer to a control message."`
	Message Size     `toml:"message" doc:"Largest message between entry hosts."`
	Beat    Duration `toml:"beat" doc:"Period of heartbeats and of requests for loans."`
}

// Callers bounds what callers may send.
type Callers struct {
	Body        Size     `toml:"body" doc:"Largest request body."`
	Answer      Size     `toml:"answer" doc:"Largest answer body taken from a target."`
	Header      Size     `toml:"header" doc:"Largest request header."`
	Connections int      `toml:"connections" doc:"Most connections open at once."`
	Idle        Duration `toml:"idle" doc:"Time after which an idle or slow connection is closed."`
	Timeout     Duration `toml:"timeout" doc:"Deadline of a request that states none."`
	Lifetime    Duration `toml:"lifetime" doc:"Time for which clients may cache a look-up answer."`
}

// Keys holds the standing rule for hosts that no longer hear of withdrawn keys.
type Keys struct {
	Stale string   `toml:"stale" doc:"Keyed routes when cut off past bound: \"refuse\", \"serve\"."`
	Bound Duration `toml:"bound" doc:"Age of the newest platform contact at which stale decides."`
}

// Work bounds non-idempotent work.
type Work struct {
	Identities int      `toml:"identities" doc:"Most operation identities in memory."`
	Answers    Size     `toml:"answers" doc:"Most bytes of answers kept for repeated requests."`
	Lifetime   Duration `toml:"lifetime" doc:"Time for which an operation identity is valid."`
}

// Drain bounds a graceful stop.
type Drain struct {
	Limit Duration `toml:"limit" doc:"Longest wait for requests in flight once answers have run out."`
}

// Log tells how the log is written.
type Log struct {
	Level  string `toml:"level" doc:"Lowest level written: \"debug\", \"info\", \"warn\", \"error\"."`
	Format string `toml:"format" doc:"Layout of lines: \"json\" or \"text\"."`
}

// Defaults returns the settings that hold where a file states nothing.
func Defaults() Settings {
	return Settings{
		Platform: Platform{
			Timeout: Duration(time.Second),
			Watch:   Duration(2 * time.Second),
		},
		Peers: Peers{
			Timeout: Duration(time.Second),
			Message: 4 * mebibyte,
			Beat:    Duration(time.Second),
		},
		Callers: Callers{
			Body:        mebibyte,
			Answer:      2 * mebibyte,
			Header:      16 * kibibyte,
			Connections: 20000,
			Idle:        Duration(60 * time.Second),
			Timeout:     Duration(5 * time.Second),
			Lifetime:    Duration(5 * time.Second),
		},
		Keys: Keys{Stale: StaleRefuse, Bound: Duration(30 * time.Second)},
		Work: Work{
			Identities: 20000,
			Answers:    4 * mebibyte,
			Lifetime:   Duration(2 * time.Minute),
		},
		Drain: Drain{Limit: Duration(30 * time.Second)},
		Log:   Log{Level: "info", Format: "json"},
	}
}

const (
	// StaleRefuse refuses keyed routes on a host that is cut off for too long.
	StaleRefuse = "refuse"
	// StaleServe goes on with the last known keys.
	StaleServe = "serve"
)
