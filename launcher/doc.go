// Package launcher runs the services of the process: they are registered and looked up by name,
// run concurrently and stop together.
package launcher
