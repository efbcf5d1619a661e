// Package planner holds the plan: the routes, services, customers and limits of one version of the
// operators' configuration, as an immutable value.
package planner
