package connector

import (
	"storj.io/drpc/drpcmanager"
	"storj.io/drpc/drpcstream"
	"storj.io/drpc/drpcwire"
)

// ProtocolVersion is the version of the peer protocol; both ends of a connection must have it.
const ProtocolVersion = 1

// Config configures both servers and pools.
type Config struct {
	// Host is the name of this host.
	Host string
	// Incarnation tells this process from earlier ones of the same host.
	Incarnation uint64
	// MaxMessageBytes is the largest size of a message, in bytes.
	MaxMessageBytes int
	// SourceIP is the local IP address of connections to peers; if empty, the system chooses one.
	SourceIP string
	// MaxIdlePerPeer is the maximum number of idle connections to each peer.
	MaxIdlePerPeer int
}

func (c Config) managerOptions() drpcmanager.Options {
	return drpcmanager.Options{
		Reader: drpcwire.ReaderOptions{MaximumBufferSize: c.MaxMessageBytes},
		Stream: drpcstream.Options{MaximumBufferSize: c.MaxMessageBytes},
	}
}
