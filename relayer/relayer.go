package relayer

import (
	"context"
	"time"

	"google.golang.org/protobuf/proto"

	"github.com/fescuethread/fescuethread/connector"
	"github.com/fescuethread/fescuethread/follower"
	"github.com/fescuethread/fescuethread/messenger"
	"github.com/fescuethread/fescuethread/timer"
)

const (
	// callTimeout is the timeout of a call to a peer; after a failed call the store is read instead.
	callTimeout = 700 * time.Millisecond
	// MaxMessageBytes is the maximum size of a message between hosts.
	MaxMessageBytes = 8 << 20
)

// Source provides this host's copy of the store's content.
type Source interface {
	// Content returns the content of a subject, of the targets the changes after a revision; it
	// reports false if the host has none.
	Content(subject follower.Subject, since uint64) (follower.Content, bool)
}

// Relayer fetches content from peers.
type Relayer struct {
	pool *connector.Pool
	find func(peer string) (address string, ok bool)
}

// New returns a relayer that calls peers over the pool; find returns a peer's address.
func New(pool *connector.Pool, find func(peer string) (string, bool)) *Relayer {
	return &Relayer{pool: pool, find: find}
}

// Fetch implements follower.Peers. The content's VerifiedAt is the time before the call less the
// age that the peer reports, so that the content never appears newer than it is.
func (r *Relayer) Fetch(
	ctx context.Context, peer string, subject follower.Subject, since uint64,
) (follower.Content, error) {
	address, ok := r.find(peer)
	if !ok {
		return follower.Content{}, &Error{Op: "find " + peer, Kind: KindUnknown}
	}
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	requestedAt := timer.Now()
	d, err := r.pool.Fetch(ctx, address, &messenger.DocumentQuery{
		Name: subject.String(), Since: since,
	})
	if err != nil {
		return follower.Content{}, &Error{Op: "fetch from " + peer, Kind: KindCall, Err: err}
	}
	return decode(d.GetBody(), subject, requestedAt)
}

// Handler answers the calls of peers.
type Handler struct {
	source Source
}

// NewHandler returns a handler that answers with the content of the source.
func NewHandler(s Source) *Handler {
	return &Handler{source: s}
}

// Fetch returns the content of a subject and its age.
func (h *Handler) Fetch(
	_ context.Context, q *messenger.DocumentQuery,
) (*messenger.Document, error) {
	subject, ok := follower.ParseSubject(q.GetName())
	if !ok {
		return nil, &Error{Op: "fetch " + q.GetName(), Kind: KindUnknown}
	}
	content, ok := h.source.Content(subject, q.GetSince())
	if !ok {
		return nil, &Error{Op: "fetch " + q.GetName(), Kind: KindUnknown}
	}
	body, err := proto.Marshal(encode(timer.Now(), content))
	if err != nil {
		return nil, &Error{Op: "encode " + q.GetName(), Kind: KindMalformed, Err: err}
	}
	return &messenger.Document{Name: q.GetName(), Body: body}, nil
}
