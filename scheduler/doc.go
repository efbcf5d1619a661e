// Package scheduler grants the slots of the targets near a host to waiting requests: fairly by
// customer, only while the deadline can be met, and to targets whose own results speak for them.
package scheduler
