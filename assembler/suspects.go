package assembler

import (
	"github.com/fescuethread/fescuethread/isolator"
	"github.com/fescuethread/fescuethread/timer"
)

// suspects exchanges the isolator's suspicions with peers.
type suspects struct {
	isolator *isolator.Isolator
}

// Tell returns what this host suspects.
func (s suspects) Tell(now timer.Instant) [][]byte {
	var encoded [][]byte
	for _, suspicion := range s.isolator.Suspicions(now) {
		encoded = append(encoded, suspicion.Encode(now))
	}
	return encoded
}

// Hear takes what a peer suspects; what does not decode counts for nothing.
func (s suspects) Hear(now timer.Instant, host string, list [][]byte) {
	_ = s.isolator.Merge(now, host, list)
}
