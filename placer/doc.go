// Package placer places objects on weighted nodes by rendezvous hashing: each node gets objects in
// proportion to its weight, and an object moves only if its node leaves or a new node ranks first.
package placer
