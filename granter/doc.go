// Package granter gives the carrier slots of targets: one scheduler for each availability zone
// that this host holds slots of.
package granter
