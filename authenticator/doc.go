// Package authenticator verifies callers' keys by their digests and decides whether the known keys
// are fresh enough to serve by.
package authenticator
