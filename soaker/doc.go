// Package soaker tests the system with random faults: it runs hosts as real processes on loopback
// addresses, with stand-ins for the store and the targets, under overlapping faults and planned
// maintenance that are drawn from a seed.
package soaker
