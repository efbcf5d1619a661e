package authenticator

import (
	"bytes"
	"encoding/json"
	"io"
	"slices"

	"github.com/pkg/errors"
)

// State is a key's place in its life.
type State string

const (
	// StateGranted is a key in use.
	StateGranted State = "granted"
	// StateRetiring is a key that works until it is withdrawn, while its successor is in use.
	StateRetiring State = "retiring"
	// StateWithdrawn is a key that never works again.
	StateWithdrawn State = "withdrawn"
)

// Entry is a key in the document.
type Entry struct {
	// Digest is the key's digest.
	Digest Digest
	// Customer is the customer that the key was granted to.
	Customer string
	// State is the key's place in its life.
	State State
}

// Document lists the digests of all keys, withdrawn ones included; it never changes.
type Document struct {
	entries []Entry
}

// body is the document as written.
type body struct {
	Keys []line `json:"keys"`
}

// line is an entry as written.
type line struct {
	Digest   string `json:"digest"`
	Customer string `json:"customer"`
	State    State  `json:"state"`
}

// ParseDocument reads and checks a document; empty data is a document without keys.
func ParseDocument(data []byte) (*Document, error) {
	if len(bytes.TrimSpace(data)) == 0 {
		return &Document{}, nil
	}
	var b body
	decoder := json.NewDecoder(bytes.NewReader(data))
	decoder.DisallowUnknownFields()
	if err := decoder.Decode(&b); err != nil {
		return nil, documentError(err)
	}
	if _, err := decoder.Token(); err != io.EOF {
		return nil, documentError(errors.New("text after the document's end"))
	}
	d := &Document{}
	for i, l := range b.Keys {
		if err := d.read(l); err != nil {
			return nil, documentError(errors.Wrapf(err, "keys[%d]", i))
		}
	}
	return d, nil
}

func documentError(err error) error {
	return &Error{Op: "parse", Kind: KindDocument, Err: err}
}

func (d *Document) read(l line) error {
	digest, err := ParseDigest(l.Digest)
	if err != nil {
		return err
	}
	if l.Customer == "" {
		return errors.New("customer is missing")
	}
	if l.State != StateGranted && l.State != StateRetiring && l.State != StateWithdrawn {
		return errors.Errorf("state is %q, want granted, retiring or withdrawn", l.State)
	}
	if d.find(digest) >= 0 {
		return errors.Errorf("digest %s is listed twice", digest)
	}
	d.entries = append(d.entries, Entry{Digest: digest, Customer: l.Customer, State: l.State})
	return nil
}

// Encode writes the document as ParseDocument reads it.
func (d *Document) Encode() ([]byte, error) {
	b := body{Keys: make([]line, 0, len(d.entries))}
	for _, e := range d.entries {
		l := line{Digest: e.Digest.String(), Customer: e.Customer, State: e.State}
		b.Keys = append(b.Keys, l)
	}
	data, err := json.MarshalIndent(b, "", "  ")
	if err != nil {
		return nil, &Error{Op: "encode", Kind: KindDocument, Err: err}
	}
	return append(data, '\n'), nil
}

// Entries returns all keys in the order in which they were granted.
func (d *Document) Entries() []Entry {
	return slices.Clone(d.entries)
}

// CheckCustomers returns an error that names the first usable key whose customer isn't known.
func (d *Document) CheckCustomers(known func(customer string) bool) error {
	for _, e := range d.entries {
		if e.State == StateWithdrawn || known(e.Customer) {
			continue
		}
		err := errors.Errorf("key %s belongs to customer %q, which isn't listed", e.Digest, e.Customer)
		return &Error{Op: "check", Kind: KindCustomer, Err: err}
	}
	return nil
}

// WithGrant returns a document in which a customer holds one more key.
func (d *Document) WithGrant(digest Digest, customer string) (*Document, error) {
	if customer == "" {
		return nil, &Error{Op: "grant", Kind: KindCustomer, Err: errors.New("customer is missing")}
	}
	if i := d.find(digest); i >= 0 {
		return nil, d.refusal("grant", i)
	}
	next := &Document{entries: slices.Clone(d.entries)}
	entry := Entry{Digest: digest, Customer: customer, State: StateGranted}
	next.entries = append(next.entries, entry)
	return next, nil
}

// refusal explains why a listed digest can't be granted.
func (d *Document) refusal(op string, i int) error {
	e := d.entries[i]
	kind := KindDuplicate
	if e.State == StateWithdrawn {
		kind = KindWithdrawn
	}
	err := errors.Errorf("key %s of %s is %s already", e.Digest, e.Customer, e.State)
	return &Error{Op: op, Kind: kind, Err: err}
}

// WithWithdrawal returns a document in which a key never works again.
func (d *Document) WithWithdrawal(digest Digest) (*Document, error) {
	i := d.find(digest)
	if i < 0 {
		return nil, unknown("withdraw", digest)
	}
	return d.withState(i, StateWithdrawn), nil
}

// WithRotation returns a document in which a key's customer holds a new key and the old one
// retires.
func (d *Document) WithRotation(old, next Digest) (*Document, error) {
	i := d.find(old)
	if i < 0 {
		return nil, unknown("rotate", old)
	}
	if d.entries[i].State == StateWithdrawn {
		return nil, d.refusal("rotate", i)
	}
	return d.withState(i, StateRetiring).WithGrant(next, d.entries[i].Customer)
}

func (d *Document) withState(i int, state State) *Document {
	next := &Document{entries: slices.Clone(d.entries)}
	next.entries[i].State = state
	return next
}

func (d *Document) find(digest Digest) int {
	return slices.IndexFunc(d.entries, func(e Entry) bool { return e.Digest == digest })
}

func unknown(op string, digest Digest) error {
	err := errors.Errorf("no key has the digest %s", digest)
	return &Error{Op: op, Kind: KindUnknown, Err: err}
}
