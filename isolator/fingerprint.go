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

// Fingerprint names what a request asks for, whatever identity it carries: a digest of the
// customer, then one of customer, service, method, path and body.
type Fingerprint [FingerprintBytes]byte

// NewFingerprint returns the fingerprint of a request; the digest resists collisions, so no
// customer can make a request that counts as another's.
func NewFingerprint(customer, service, method, path string, body []byte) Fingerprint {
	var f Fingerprint
	owner := sha256.Sum256([]byte(customer))
	copy(f[:customerBytes], owner[:])
	h := sha256.New()
	for _, part := range []string{customer, service, method, path} {
		writePart(h, []byte(part))
	}
	writePart(h, body)
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

func writePart(h hash.Hash, part []byte) {
	var length [8]byte
	binary.BigEndian.PutUint64(length[:], uint64(len(part)))
	_, _ = h.Write(length[:])
	_, _ = h.Write(part)
}
