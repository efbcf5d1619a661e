// Command target runs a stand-in of a target that misbehaves on demand.
package main
