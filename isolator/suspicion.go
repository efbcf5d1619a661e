package isolator

import (
	"encoding/binary"
	"time"

	"github.com/pkg/errors"

	"github.com/fescuethread/fescuethread/timer"
)

const (
	// ConvictAfter is the number of crashes that convicts a fingerprint: the one that made it a
	// suspect, with whatever else was lost in it, and then one that it caused alone.
	ConvictAfter = 2
	// SuspectTerm is how long a suspicion lasts when it isn't cleared earlier.
	SuspectTerm = 10 * time.Minute
	// ConvictTerm is how long a first conviction lasts; each further one doubles it. After its
	// end the fingerprint is a suspect again.
	ConvictTerm = 10 * time.Minute
	// ConvictTermMax bounds the length of a conviction.
	ConvictTermMax = 2 * time.Hour
	// MaxSuspicions bounds the suspicions that a host holds and tells its peers.
	MaxSuspicions = 32
	// MaxCustomerSuspicions bounds the part of them that concerns one customer.
	MaxCustomerSuspicions = 8

	encodedBytes = FingerprintBytes + 1 + 4
)

// Suspicion is what a host holds against a fingerprint.
type Suspicion struct {
	// Fingerprint names the request.
	Fingerprint Fingerprint
	// Crashes counts the crashes held against it, up to ConvictAfter.
	Crashes int
	// Until is the instant at which the suspicion or conviction ends.
	Until timer.Instant

	convictions int
}

// Convicted reports whether the request isn't run at all.
func (s *Suspicion) Convicted() bool {
	return s.Crashes >= ConvictAfter
}

// clearedBy reports whether a run alone that was answered at the instant outweighs the suspicion.
func (s *Suspicion) clearedBy(at timer.Instant) bool {
	return !s.Convicted() && !at.Before(s.Until.Add(-SuspectTerm))
}

// Encode returns the suspicion as peers receive it, with the time that is left of it.
func (s *Suspicion) Encode(now timer.Instant) []byte {
	b := make([]byte, 0, encodedBytes)
	b = append(b, s.Fingerprint[:]...)
	b = append(b, byte(s.Crashes))
	left := max(s.Until.Sub(now).Milliseconds(), 0)
	return binary.BigEndian.AppendUint32(b, uint32(left))
}

// Decode reads a suspicion that a peer has encoded.
func Decode(now timer.Instant, b []byte) (Suspicion, error) {
	if len(b) != encodedBytes {
		cause := errors.Errorf("%d bytes", len(b))
		return Suspicion{}, &Error{Op: "decode", Kind: KindEncoding, Err: cause}
	}
	s := Suspicion{Fingerprint: Fingerprint(b[:FingerprintBytes])}
	s.Crashes = int(b[FingerprintBytes])
	left := time.Duration(binary.BigEndian.Uint32(b[FingerprintBytes+1:])) * time.Millisecond
	if s.Crashes < 1 || s.Crashes > ConvictAfter || left > ConvictTermMax {
		return Suspicion{}, &Error{Op: "decode", Kind: KindEncoding}
	}
	s.Until = now.Add(left)
	return s, nil
}

func (s *Suspicion) suspect(now timer.Instant) {
	s.Crashes = 1
	s.Until = now.Add(SuspectTerm)
}

func (s *Suspicion) convict(now timer.Instant) {
	s.Crashes = ConvictAfter
	s.Until = now.Add(s.term())
	s.convictions++
}

func (s *Suspicion) term() time.Duration {
	d := ConvictTerm
	for range s.convictions {
		d = min(2*d, ConvictTermMax)
	}
	return d
}
