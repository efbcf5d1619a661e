// Package retrier decides whether to retry a failed attempt: only if this is safe, if the deadline
// permits it and if it is within a retry budget per service. First attempts add to the budget.
package retrier
