// Command platform runs a stand-in of the platform, an object API in memory with faults on demand.
package main
