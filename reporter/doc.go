// Package reporter serves operators: metrics, health, readiness, status and explanations.
package reporter
