// Package announcer exchanges heartbeats and rate limit tokens with the other hosts over UDP, and
// keeps the list of registered hosts with each one's latest heartbeat.
package announcer
