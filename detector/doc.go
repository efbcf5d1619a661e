// Package detector tells which hosts are live, from heartbeats that hosts gossip to each other.
package detector
