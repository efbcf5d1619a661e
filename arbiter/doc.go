// Package arbiter holds the casting vote: the one standing rule that decides when signals about a
// host, a target, an availability zone or the keys disagree.
package arbiter
