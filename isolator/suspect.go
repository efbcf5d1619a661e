package isolator

import (
	"encoding/binary"
	"time"

	"github.com/pkg/errors"

	"github.com/fescuethread/fescuethread/timer"
)

const (
	// QuarantineThreshold is the number of crashes after which a fingerprint is quarantined: one
	// that made it a suspect, possibly along with others, and one while it ran alone.
	QuarantineThreshold = 2
	// SuspectTTL is how long a fingerprint stays suspect unless it is cleared earlier.
	SuspectTTL = 10 * time.Minute
	// QuarantineTTL is the length of the first quarantine; each further one doubles it. When it
	// expires the fingerprint is a suspect again.
	QuarantineTTL = 10 * time.Minute
	// MaxQuarantineTTL is the maximum length of a quarantine.
	MaxQuarantineTTL = 2 * time.Hour
	// MaxSuspects is the maximum number of a host's own suspects, which it sends to its peers.
	MaxSuspects = 32
	// MaxCustomerSuspects is the maximum number of suspects of one customer.
	MaxCustomerSuspects = 8

	encodedBytes = FingerprintBytes + 1 + 4
)

// Suspect is a fingerprint that is suspected of crashing targets or quarantined for it.
type Suspect struct {
	// Fingerprint identifies the request.
	Fingerprint Fingerprint
	// Crashes is the number of crashes attributed to the request, up to QuarantineThreshold.
	Crashes int
	// Until is the instant at which the suspicion or quarantine expires.
	Until timer.Instant

	quarantines int
}

// Quarantined reports whether the request is quarantined.
func (s *Suspect) Quarantined() bool {
	return s.Crashes >= QuarantineThreshold
}

// clearedBy reports whether s is cleared because its request ran alone and was answered at
// clearedAt. That clears neither a quarantine nor a suspicion that began after clearedAt.
func (s *Suspect) clearedBy(clearedAt timer.Instant) bool {
	return !s.Quarantined() && !clearedAt.Before(s.Until.Add(-SuspectTTL))
}

// Encode returns the encoding sent to peers: fingerprint, crashes and remaining milliseconds.
func (s *Suspect) Encode(now timer.Instant) []byte {
	b := make([]byte, 0, encodedBytes)
	b = append(b, s.Fingerprint[:]...)
	b = append(b, byte(s.Crashes))
	left := max(s.Until.Sub(now).Milliseconds(), 0)
	return binary.BigEndian.AppendUint32(b, uint32(left))
}

// Decode decodes a suspect encoded by a peer; an invalid encoding is an Error of KindEncoding.
func Decode(now timer.Instant, b []byte) (Suspect, error) {
	if len(b) != encodedBytes {
		cause := errors.Errorf("invalid length of %d bytes", len(b))
		return Suspect{}, &Error{Op: "decode", Kind: KindEncoding, Err: cause}
	}
	s := Suspect{Fingerprint: Fingerprint(b[:FingerprintBytes])}
	s.Crashes = int(b[FingerprintBytes])
	left := time.Duration(binary.BigEndian.Uint32(b[FingerprintBytes+1:])) * time.Millisecond
	if s.Crashes < 1 || s.Crashes > QuarantineThreshold || left > MaxQuarantineTTL {
		return Suspect{}, &Error{Op: "decode", Kind: KindEncoding}
	}
	s.Until = now.Add(left)
	return s, nil
}

func (s *Suspect) markSuspect(now timer.Instant) {
	s.Crashes = 1
	s.Until = now.Add(SuspectTTL)
}

func (s *Suspect) quarantine(now timer.Instant) {
	s.Crashes = QuarantineThreshold
	s.Until = now.Add(s.quarantineTTL())
	s.quarantines++
}

func (s *Suspect) quarantineTTL() time.Duration {
	d := QuarantineTTL
	for range s.quarantines {
		d = min(2*d, MaxQuarantineTTL)
	}
	return d
}
