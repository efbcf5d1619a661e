package isolator

import (
	"crypto/sha256"
	"encoding/binary"
	"encoding/hex"
	"hash"
)

const (
	// FingerprintBytes is the length of a fingerprint.
	FingerprintBytes = 16
	customerBytes    = 4
)

// Fingerprint identifies equal requests, whatever their request IDs: a digest of the customer,
// followed by a digest of customer, service, method, path and body.
type Fingerprint [FingerprintBytes]byte

// NewFingerprint returns the fingerprint of a request. The digest is collision-resistant, so that
// no customer can craft a request with the fingerprint of another customer's request.
func NewFingerprint(customer, service, method, path string, body []byte) Fingerprint {
	var f Fingerprint
	customerDigest := sha256.Sum256([]byte(customer))
	copy(f[:customerBytes], customerDigest[:])
	h := sha256.New()
	for _, s := range []string{customer, service, method, path} {
		writeLengthPrefixed(h, []byte(s))
	}
	writeLengthPrefixed(h, body)
	copy(f[customerBytes:], h.Sum(nil))
	return f
}

// String formats the fingerprint for logs.
func (f Fingerprint) String() string {
	return hex.EncodeToString(f[:])
}

func (f Fingerprint) sameCustomer(other Fingerprint) bool {
	return [customerBytes]byte(f[:customerBytes]) == [customerBytes]byte(other[:customerBytes])
}

func writeLengthPrefixed(h hash.Hash, b []byte) {
	var length [8]byte
	binary.BigEndian.PutUint64(length[:], uint64(len(b)))
	_, _ = h.Write(length[:])
	_, _ = h.Write(b)
}
