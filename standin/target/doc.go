// Command target runs a stand-in for a target, which registers in the store and drains before it
// stops.
package main
