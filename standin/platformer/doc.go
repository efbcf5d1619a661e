// Package platformer is a stand-in of the platform: an object API in memory with faults on demand.
package platformer
