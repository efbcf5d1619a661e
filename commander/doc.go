// Package commander is the command line: one file for each command, which registers itself.
package commander
