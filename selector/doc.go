// Package selector chooses the target of a request: by the object that the request concerns, so
// that targets serve what they served lately, within bounds on each target's load, near before
// far.
package selector
