package storer

import (
	"context"
	"math/rand"

	"github.com/pkg/errors"

	"github.com/fescuethread/fescuethread/pacer"
)

// Write is a conditional write of an object.
type Write struct {
	// Name is the object's name.
	Name string
	// Expected is the version that the write replaces; 0 means that the object doesn't exist.
	Expected uint64
	// Change identifies the write; no other write of the object may use the same.
	Change string
	// Body is the new value.
	Body []byte
}

// PutResolved writes an object and finds out the outcome of a write whose answer was lost.
//
// It returns the object as written, or KindConflict with the current object if the write surely
// had no effect and never will, or KindUnknown with the newest object it saw if the write may have
// taken effect. Objects written with it must never be deleted.
func (c *Client) PutResolved(ctx context.Context, w Write) (Object, error) {
	r := resolver{
		client:  c,
		write:   w,
		backoff: pacer.New(firstRetryDelay, longestRetryDelay, c.newRand(w), c.pauser),
	}
	return r.run(ctx)
}

func (c *Client) newRand(w Write) *rand.Rand {
	seed := c.seed
	for _, b := range []byte(w.Change) {
		seed = seed*31 + int64(b)
	}
	return rand.New(rand.NewSource(seed))
}

type resolver struct {
	client  *Client
	write   Write
	backoff *pacer.Backoff
	// lost is set once a write was sent whose answer wasn't received.
	lost bool
	// refused is set while the last write met a conflict.
	refused bool
}

func (r *resolver) run(ctx context.Context) (Object, error) {
	for {
		if o, done, err := r.put(ctx); done {
			return o, err
		}
		o, done, err := r.readBack(ctx)
		if done {
			return o, err
		}
		if err := r.backoff.Wait(ctx); err != nil {
			return o, r.expired(err)
		}
	}
}

// put sends the write. A lost write may still be on its way, so reading the old version back
// proves nothing. Sending the same conditional write again is safe: all copies expect the same
// version and versions only grow, so at most one copy takes effect, and none after a later one.
func (r *resolver) put(ctx context.Context) (Object, bool, error) {
	if r.refused && !r.lost {
		return Object{}, false, nil
	}
	w := r.write
	version, err := r.client.Put(ctx, w.Name, w.Expected, w.Change, w.Body)
	r.refused = IsKind(err, KindConflict) || IsKind(err, KindMissing)
	switch {
	case err == nil:
		return r.written(version), true, nil
	case r.refused:
		return Object{}, false, nil
	case IsKind(err, KindUnavailable):
		r.lost = true
		return Object{}, false, nil
	default:
		return Object{}, true, r.failed(err)
	}
}

// readBack reads the object and reports whether it settles the write's outcome.
func (r *resolver) readBack(ctx context.Context) (Object, bool, error) {
	current, err := r.client.Get(ctx, r.write.Name)
	if err != nil && !IsKind(err, KindMissing) {
		return Object{}, false, err
	}
	next := r.write.Expected + 1
	switch {
	case r.isOurs(current):
		return current, true, nil
	case !r.lost, current.Version == next:
		return current, true, &Error{Op: r.op(), Kind: KindConflict}
	case current.Version > next:
		return current, true, r.unknown(errors.New("it may have been applied and overwritten"))
	default:
		return current, false, nil
	}
}

// expired is the outcome when ctx ends first.
func (r *resolver) expired(err error) error {
	if r.refused && !r.lost {
		return &Error{Op: r.op(), Kind: KindConflict, Err: err}
	}
	return r.unknown(err)
}

func (r *resolver) isOurs(o Object) bool {
	return o.Version == r.write.Expected+1 && o.Change == r.write.Change
}

func (r *resolver) written(version uint64) Object {
	return Object{
		Name:    r.write.Name,
		Version: version,
		Change:  r.write.Change,
		Body:    r.write.Body,
	}
}

// failed keeps the error of a write that wasn't accepted, unless an earlier copy of it was lost.
func (r *resolver) failed(err error) error {
	if r.lost {
		return r.unknown(err)
	}
	return err
}

func (r *resolver) unknown(err error) error {
	return &Error{Op: r.op(), Kind: KindUnknown, Err: err}
}

func (r *resolver) op() string {
	return "resolve put " + r.write.Name
}
