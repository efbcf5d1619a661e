// Package conductor builds one host on the users' platform out of its services and runs them until
// it has left.
package conductor
