package server

import (
	"context"

	"github.com/fescuethread/fescuethread/timer"
)

// arrivalKey is the context key of a request's arrival time.
type arrivalKey struct{}

func withArrival(ctx context.Context, at timer.Instant) context.Context {
	return context.WithValue(ctx, arrivalKey{}, at)
}

// ArrivalOf returns the time at which the first byte of a request arrived, given the request's
// context. It returns the current time if the request was not read by a Server.
func ArrivalOf(ctx context.Context) timer.Instant {
	if at, ok := ctx.Value(arrivalKey{}).(timer.Instant); ok && at != 0 {
		return at
	}
	return timer.Now()
}
