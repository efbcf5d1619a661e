// Package targeter is a stand-in for a target: it serves any path, limits concurrency, reports its
// load, marks its responses with its ID and injects faults on demand.
package targeter
