package applier

import (
	"context"

	"github.com/fescuethread/fescuethread/storer"
)

// Store is the part of the platform's client that Apply calls.
type Store interface {
	PutResolved(ctx context.Context, w storer.Write) (storer.Object, error)
}

// Change is a change of one document.
type Change struct {
	// Name is the document's name, such as config/inventory.
	Name string
	// Expected is the version that the change was made on; 0 means that there is no document.
	Expected uint64
	// ID identifies the change; no other change may use the same.
	ID string
	// Body is the new document.
	Body []byte
}

// Apply writes a change and returns the accepted document.
//
// On KindConflict it returns the current document, so that the caller can show what came between;
// on KindUnknown it returns the newest document seen, if any.
func Apply(ctx context.Context, s Store, c Change) (storer.Object, error) {
	w := storer.Write{Name: c.Name, Expected: c.Expected, Change: c.ID, Body: c.Body}
	o, err := s.PutResolved(ctx, w)
	if err == nil {
		return o, nil
	}
	return o, &Error{Op: "apply " + c.Name, Kind: kindOf(err), Err: err}
}

func kindOf(err error) Kind {
	switch {
	case storer.IsKind(err, storer.KindConflict):
		return KindConflict
	case storer.IsKind(err, storer.KindUnknown), storer.IsKind(err, storer.KindUnavailable):
		return KindUnknown
	default:
		return KindRefused
	}
}
