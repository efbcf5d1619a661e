// Package sharer limits customers' request rates: each host has a token bucket with a share of a
// customer's rate and burst, and hosts pass spare tokens to each other, so that all hosts together
// stay within the rate, the burst and the configured tolerance.
package sharer
