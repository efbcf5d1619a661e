package authenticator

import (
	"crypto/rand"
	"crypto/sha256"
	"encoding/base64"
	"encoding/hex"
	"strings"

	"github.com/pkg/errors"
)

const (
	// KeyPrefix starts every key, so that secret scanners find leaked ones.
	KeyPrefix = "fescue_"
	// KeyBytes is the number of random bytes in a key.
	KeyBytes = 32
	// DigestBytes is the size of a digest.
	DigestBytes = sha256.Size
)

// Digest is the SHA-256 of a key's text; it may be logged and stored, the key may not.
type Digest [DigestBytes]byte

// Generate returns a new random key, whose text is shown once and kept by nobody but its customer.
func Generate() (string, error) {
	random := make([]byte, KeyBytes)
	if _, err := rand.Read(random); err != nil {
		return "", errors.WithStack(err)
	}
	return KeyPrefix + base64.RawURLEncoding.EncodeToString(random), nil
}

// DigestOf returns the digest of a key's text.
func DigestOf(key string) Digest {
	return sha256.Sum256([]byte(key))
}

// ParseDigest reads a digest in lower-case hexadecimal.
func ParseDigest(text string) (Digest, error) {
	octets, err := hex.DecodeString(text)
	if err != nil || text != strings.ToLower(text) {
		err = errors.New("want 64 digits of lower-case hexadecimal")
		return Digest{}, &Error{Op: "digest", Kind: KindMalformed, Err: err}
	}
	return DigestFrom(octets)
}

// DigestFrom reads a digest as passed on between hosts.
func DigestFrom(octets []byte) (Digest, error) {
	if len(octets) != DigestBytes {
		err := errors.Errorf("has %d bytes, want %d", len(octets), DigestBytes)
		return Digest{}, &Error{Op: "digest", Kind: KindMalformed, Err: err}
	}
	return Digest(octets), nil
}

// String returns the digest in lower-case hexadecimal.
func (d Digest) String() string {
	return hex.EncodeToString(d[:])
}

// isKey says whether a text has the form of a key.
func isKey(text string) bool {
	encoded, ok := strings.CutPrefix(text, KeyPrefix)
	if !ok {
		return false
	}
	random, err := base64.RawURLEncoding.Strict().DecodeString(encoded)
	return err == nil && len(random) == KeyBytes && !strings.ContainsAny(encoded, "\r\n")
}
