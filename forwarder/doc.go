// Package forwarder carries admitted requests to targets: it holds each target's connections and
// decides which header fields pass.
package forwarder
