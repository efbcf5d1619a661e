// Package retrier spaces out retries: exponential backoff with full jitter.
package retrier
