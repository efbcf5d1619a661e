// Package allocator makes nbio use plain buffers, which the garbage collector frees: a buffer of
// its pool can be handed out twice, so that bytes of one connection replace those of another.
package allocator
