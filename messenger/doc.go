// Package messenger contains the messages between hosts and their RPC service, generated from the
// .proto files.
package messenger
