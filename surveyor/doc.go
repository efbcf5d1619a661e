// Package surveyor gathers what is known of each availability zone, from fresh local state and
// from peers' heartbeats, and has the router decide on it.
package surveyor
