package connector

import (
	"storj.io/drpc/drpcmanager"
	"storj.io/drpc/drpcstream"
	"storj.io/drpc/drpcwire"
)

// Protocol is the version of the peer protocol that this package speaks.
const Protocol = 1

// Config holds what both ends of a connection need to know.
type Config struct {
	// Host is the name of this host.
	Host string
	// Incarnation is this process's incarnation.
	Incarnation uint64
	// MessageBytes is the largest message accepted.
	MessageBytes int
	// Source is the IP number that connections to peers come from; empty lets the system choose.
	Source string
	// IdlePerPeer is the largest number of idle connections kept for each peer.
	IdlePerPeer int
}

func (c Config) manager() drpcmanager.Options {
	return drpcmanager.Options{
		Reader: drpcwire.ReaderOptions{MaximumBufferSize: c.MessageBytes},
		Stream: drpcstream.Options{MaximumBufferSize: c.MessageBytes},
	}
}
