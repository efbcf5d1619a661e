// Package server serves HTTP/1.1 over nbhttp with bounds on headers, bodies, connections and idle
// time; input that breaks a bound or the protocol gets a 4xx answer and its connection is closed.
package server
