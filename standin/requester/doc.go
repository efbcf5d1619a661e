// Package requester is a stand-in of callers: it follows look-ups, sends requests at a rate or in
// a closed loop, and reports latencies and outcomes.
package requester
