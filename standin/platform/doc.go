// Command platform runs an in-memory stand-in for the platform's store.
package main
