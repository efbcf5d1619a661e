// Package limiter admits requests within fleet-wide rates and bursts, by shares of each account
// that hosts hold and lend to each other.
package limiter
