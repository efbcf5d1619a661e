// Package relayer passes content of the store from host to host, so that few hosts read the store
// and hosts whose reads fail still get changes.
package relayer
