// Package launcher is the micro-kernel: services register under a name, find each other by name,
// and run in one group that stops together.
package launcher
