package connector

import (
	"time"

	"storj.io/drpc/drpcmanager"
	"storj.io/drpc/drpcstream"
	"storj.io/drpc/drpcwire"

	"github.com/fescuethread/fescuethread/rationer"
)

// ProtocolVersion is the version of the peer protocol; both ends of a connection must have it.
const ProtocolVersion = 1

const (
	// maxRequestBytes is the maximum size of a request of a peer; only replies are large.
	maxRequestBytes = 16 << 10
	// maxServerConnections is the maximum number of connections that peers may have open to a host.
	maxServerConnections = 512
	// handshakeTimeout is the time within which a peer's connection must have its handshake.
	handshakeTimeout = 2 * time.Second
)

// Config configures both servers and pools.
type Config struct {
	// Host is the name of this host.
	Host string
	// Incarnation tells this process from earlier ones of the same host.
	Incarnation uint64
	// MaxMessageBytes is the largest size of a reply, in bytes.
	MaxMessageBytes int
	// SourceIP is the local IP address of connections to peers; if empty, the system chooses one.
	SourceIP string
	// Inbound and Outbound are the descriptors of connections that peers and this host have opened;
	// nil sets no limit.
	Inbound, Outbound *rationer.Use
	// OnAcceptError is called with each error of the server's listener that passes; it may be nil.
	OnAcceptError func(error)
	// MaxIdlePerPeer is the maximum number of idle connections to each peer.
	MaxIdlePerPeer int
}

// managerOptions returns the options of a connection that receives messages of at most maxBytes
// bytes.
func managerOptions(maxBytes int) drpcmanager.Options {
	return drpcmanager.Options{
		Reader: drpcwire.ReaderOptions{MaximumBufferSize: maxBytes},
		Stream: drpcstream.Options{MaximumBufferSize: maxBytes},
	}
}
