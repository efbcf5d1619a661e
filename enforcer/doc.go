// Package enforcer turns accepted documents into the configuration in force and tells the parts
// that follow it.
package enforcer
