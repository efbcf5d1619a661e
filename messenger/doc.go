// Package messenger holds the wire types of the peer protocol, generated from peer.proto.
package messenger
