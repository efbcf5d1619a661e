// Command caller runs a stand-in of callers and prints latencies and outcomes.
package main
