// Package allocator makes nbio use plain buffers, which the garbage collector frees: with those of
// its pool, the ends of large responses get lost.
package allocator
