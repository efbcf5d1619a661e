// Package watcher distributes the configuration documents on a host: it takes them from the
// platform or from peers and never goes back to a lower version.
package watcher
