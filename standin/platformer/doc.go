// Package platformer is an in-memory stand-in for the platform's store: objects with revisions,
// lists, watches and injected faults. Creates fail if the object exists, updates and deletes if it
// doesn't.
package platformer
