// Package assembler builds one entry host out of its services and runs them until it has left.
package assembler
