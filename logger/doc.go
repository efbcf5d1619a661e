// Package logger writes structured log lines. Each kind of line is a numbered event that is
// defined once and listed in a catalogue.
package logger
