// Package prover holds the tests that run the system as separate processes and bring about
// failures.
package prover
