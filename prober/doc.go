// Package prober asks the targets near this host for their health and load.
package prober
