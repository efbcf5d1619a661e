package commander

import (
	"context"
	"crypto/rand"
	"encoding/hex"
	"time"

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
	written, err := s.PutResolved(ctx, storer.Write{
		Name:     name,
		Expected: o.Version,
		Change:   newChange(command),
		Body:     body,
	})
	return written, storeError("write "+name, err)
}
