// Package sharer limits customers' request rates: a few hosts, the holders, have token buckets
// with shares of a customer's rate and burst, and the other hosts request tokens from them, so
// that all hosts together stay within the rate, the burst and the configured tolerance.
package sharer
