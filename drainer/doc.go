// Package drainer holds the document of planned drains and the phases of a graceful stop.
package drainer
