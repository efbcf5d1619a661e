// Package limiter bounds the memory that messages take while they are received or sent, summed
// over all connections of the process.
package limiter
