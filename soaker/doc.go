// Package soaker tests the system with random faults: it runs hosts as real processes on loopback
// addresses, with stand-ins of the store and of targets, while faults and planned maintenance that
// a seed selects overlap.
package soaker
