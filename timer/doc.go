// Package timer is the only source of time: it reads the boot clock, which also counts time in
// suspend, and sends periodic ticks to subscribers.
package timer
