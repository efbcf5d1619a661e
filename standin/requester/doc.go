// Package requester is a stand-in for callers: it looks up hosts in the directory, sends requests
// and collects the results.
package requester
