// Package retrier decides whether a failed try may be repeated: only where it is safe, only before
// the deadline and only within a budget that the first tries pay for.
package retrier
