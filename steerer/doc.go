// Package steerer handles callers' HTTP requests: it authenticates and rate limits them, sends
// each to a target chosen by the selector, retries within a retry budget and returns the response.
package steerer
