// Package carrier serves callers: it authenticates, admits, routes and runs requests on targets of
// its own availability zone or through peers, and it runs what peers pass on.
package carrier
