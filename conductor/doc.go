// Package conductor assembles the components of a host, runs them and shuts them down gracefully.
package conductor
