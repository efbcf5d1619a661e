// Package connector carries RPC calls between hosts: it serves the peer protocol and keeps bounded
// connection pools. Each connection starts with a handshake, the Greet call, and carries one call
// at a time.
package connector
