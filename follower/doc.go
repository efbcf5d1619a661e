// Package follower keeps what the store says: the plan in force, the targets, the evacuated
// availability zones and the registered hosts, each with the instant at which it was known to be
// the newest.
package follower
