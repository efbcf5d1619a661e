// Package selector chooses the target of a request by rendezvous hashing of the request's object,
// so that each object stays in the cache of the same target. It limits the load of each target and
// prefers targets in near zones and regions.
package selector
