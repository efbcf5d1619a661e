// Package follower keeps a host's copy of the store up to date: the plan (a version of the
// configuration), the targets, the evacuated availability zones and the registered hosts, each
// with the time as of which it was verified to be the newest. Hosts share the reads: they exchange
// summaries of what they have read and, except for targets, fetch newer content from each other.
package follower
