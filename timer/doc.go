// Package timer is the clock of the process: it reads the boot clock, which also counts time in
// suspend, and sends periodic ticks to subscribers.
package timer
