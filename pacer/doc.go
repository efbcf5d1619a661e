// Package pacer implements exponential backoff with full jitter.
package pacer
