// Package logger writes numbered log events; every event is defined once and listed in the
// catalogue.
package logger
