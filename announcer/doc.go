// Package announcer tells the other hosts of the fleet that this host lives, what its callers ask
// for and what it can spare, and keeps what they tell.
package announcer
