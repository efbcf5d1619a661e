package authenticator

import (
	"crypto/subtle"
	"encoding/binary"
)

// Grant says whose key a request came with.
type Grant struct {
	// Customer is the key's customer.
	Customer string
	// Digest is the key's digest.
	Digest Digest
	// Retiring says that the customer should change to its newer key.
	Retiring bool
}

// Ring verifies keys by one version of the document; it never changes.
type Ring struct {
	version uint64
	buckets map[uint64][]Entry
}

// NewRing builds the ring of a document and its version on the platform.
func NewRing(d *Document, version uint64) *Ring {
	r := &Ring{version: version, buckets: make(map[uint64][]Entry, len(d.entries))}
	for _, e := range d.entries {
		b := bucket(e.Digest)
		r.buckets[b] = append(r.buckets[b], e)
	}
	return r
}

func bucket(d Digest) uint64 {
	return binary.BigEndian.Uint64(d[:])
}

// Version returns the document's version.
func (r *Ring) Version() uint64 {
	return r.version
}

// Verify finds the grant of a caller's key; its errors never contain the key.
func (r *Ring) Verify(key string) (Grant, error) {
	if !isKey(key) {
		return Grant{}, &Error{Op: "verify", Kind: KindMalformed}
	}
	return r.grant(DigestOf(key))
}

// Granted says whether a digest may still be served, for requests that wait, come from a peer or
// follow on an open connection.
func (r *Ring) Granted(digest Digest) bool {
	_, err := r.grant(digest)
	return err == nil
}

// Admits says whether a request may run that a peer has admitted for a customer under a version.
//
// A digest that is unknown here counts as granted only if the peer's version is above the ring's.
// A digest that is withdrawn here stays so whatever the peer's version is.
func (r *Ring) Admits(digest Digest, customer string, version uint64) bool {
	if e, ok := r.find(digest); ok {
		return e.State != StateWithdrawn && e.Customer == customer
	}
	return version > r.version
}

func (r *Ring) grant(digest Digest) (Grant, error) {
	e, ok := r.find(digest)
	if !ok {
		return Grant{}, &Error{Op: "verify", Kind: KindUnknown}
	}
	if e.State == StateWithdrawn {
		return Grant{}, &Error{Op: "verify", Kind: KindWithdrawn}
	}
	return Grant{Customer: e.Customer, Digest: digest, Retiring: e.State == StateRetiring}, nil
}

// find compares the whole of each digest in constant time.
func (r *Ring) find(digest Digest) (Entry, bool) {
	for _, e := range r.buckets[bucket(digest)] {
		if subtle.ConstantTimeCompare(e.Digest[:], digest[:]) == 1 {
			return e, true
		}
	}
	return Entry{}, false
}
