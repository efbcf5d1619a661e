// Package timer is the one source of time: instants on a clock that counts pauses, and ticks that
// services subscribe to.
package timer
