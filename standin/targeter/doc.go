// Package targeter is a stand-in of a target: it serves any path, reports load and health, counts
// runs and misbehaves on demand.
package targeter
