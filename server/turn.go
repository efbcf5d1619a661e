package server

import (
	"context"

	"github.com/fescuethread/fescuethread/limiter"
)

// turn is the place of a request among those of its connection. Handlers run concurrently, but
// responses are written in the order of the requests.
type turn struct {
	conn *connection
	// account holds the bytes of the request.
	account *limiter.Account
	// previous is closed when the response to the request before was written.
	previous <-chan struct{}
	// written is closed when the response to this request was written.
	written chan struct{}
}

// turnKey is the context key of a request's turn.
type turnKey struct{}

func withTurn(ctx context.Context, t *turn) context.Context {
	return context.WithValue(ctx, turnKey{}, t)
}

func turnOf(ctx context.Context) *turn {
	t, _ := ctx.Value(turnKey{}).(*turn)
	return t
}

// await waits until the responses to the earlier requests of the connection were written. It
// returns false if the connection ended before.
func (t *turn) await(ctx context.Context) bool {
	select {
	case <-t.previous:
		return ctx.Err() == nil
	case <-ctx.Done():
		return false
	}
}

// AwaitTurn waits until all earlier requests on the request's connection have their responses. It
// returns false if the connection ended before. A caller counts requests behind a response that
// closes the connection as not read, so one that must not run twice has to await its turn.
func AwaitTurn(ctx context.Context) bool {
	t := turnOf(ctx)
	return t == nil || t.await(ctx)
}
