package commander

import (
	"context"
	"crypto/rand"
	"encoding/hex"
	"time"

	"github.com/pkg/errors"

	"github.com/fescuethread/fescuethread/applier"
	"github.com/fescuethread/fescuethread/enforcer"
	"github.com/fescuethread/fescuethread/storer"
)

const (
	documentInventory = enforcer.DocumentInventory
	documentKeys      = enforcer.DocumentKeys

	// writeTimeout bounds a write and finding out what came of it.
	writeTimeout = 10 * time.Second
	// changeBytes is the size of a change's random name.
	changeBytes = 8
)

// newChange returns a name that no other change has.
func newChange(command string) string {
	b := make([]byte, changeBytes)
	// The reader never fails on the systems that this program runs on.
	_, _ = rand.Read(b)
	return command + "-" + hex.EncodeToString(b)
}

// update reads a document, lets edit change its body and writes it back conditionally. A missing
// document has an empty body.
func update(
	ctx context.Context, s *storer.Client, name, command string,
	edit func(body []byte) ([]byte, error),
) (storer.Object, error) {
	ctx, cancel := context.WithTimeout(ctx, writeTimeout)
	defer cancel()
	o, err := s.Get(ctx, name)
	if err != nil && !storer.IsKind(err, storer.KindMissing) {
		return o, storeError("get "+name, err)
	}
	body, err := edit(o.Body)
	if err != nil {
		return o, err
	}
	written, err := applier.Apply(ctx, s, applier.Change{
		Name:     name,
		Expected: o.Version,
		ID:       newChange(command),
		Body:     body,
	})
	return written, applyError("write "+name, err)
}

// applyError turns an error of a write into one with an exit code.
func applyError(op string, err error) error {
	var e *applier.Error
	switch {
	case err == nil:
		return nil
	case !errors.As(err, &e):
		return &Error{Op: op, Kind: KindFailed, Err: err}
	case e.Kind == applier.KindConflict:
		return &Error{Op: op, Kind: KindConflict, Err: err}
	case e.Kind == applier.KindUnknown:
		return &Error{Op: op, Kind: KindUnknown, Err: err}
	default:
		return &Error{Op: op, Kind: KindFailed, Err: err}
	}
}
