// Package registrar checks the operators' asset inventory and holds it as an immutable value.
package registrar
