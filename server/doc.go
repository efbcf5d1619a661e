// Package server serves HTTP/1.1 over nbhttp with limits on headers, bodies, connections and idle
// time. A request that is invalid or exceeds a limit gets an error response and its connection is
// closed.
package server
