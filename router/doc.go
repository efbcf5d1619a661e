// Package router decides which availability zones a request tries, and in which order. It is pure:
// state in, decision and reason out.
package router
