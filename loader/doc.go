// Package loader reads and checks the settings of one process.
package loader
