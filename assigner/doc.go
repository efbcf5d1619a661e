// Package assigner decides which entry hosts hold the slots of an availability zone's targets. It
// is pure: membership in, holders and reason out.
package assigner
