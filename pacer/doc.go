// Package pacer spaces out retries: exponential backoff with full jitter.
package pacer
