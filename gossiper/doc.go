// Package gossiper exchanges heartbeats with peers: it sends what the detector asks for and hands
// on what comes back.
package gossiper
