// Package commander implements the command line. Each command registers itself in its own file.
package commander
