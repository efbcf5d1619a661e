// Package applier applies changes of the configuration for operators and waits until they are in
// force.
package applier
