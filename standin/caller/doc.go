// Command caller sends requests at a constant rate, as callers do, and prints a summary of the
// responses.
package main
