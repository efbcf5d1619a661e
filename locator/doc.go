// Package locator answers which entry hosts a caller should use, from the caller's client block or
// stated place.
package locator
