package decoder

import "fmt"

// Kind classifies an error.
type Kind string

const (
	// KindMalformed means that the data violates the chunked transfer coding.
	KindMalformed Kind = "malformed"
	// KindBodyTooLarge means that the body exceeds its limit.
	KindBodyTooLarge Kind = "body too large"
	// KindTrailerTooLarge means that the trailer section exceeds its limit.
	KindTrailerTooLarge Kind = "trailer too large"
)

// Error describes data that can't be decoded.
type Error struct {
	// Op is the part that was decoded.
	Op string
	// Kind classifies the error.
	Kind Kind
}

// Error formats the part and the kind.
func (e *Error) Error() string {
	return fmt.Sprintf("decoder: %s: %s", e.Op, e.Kind)
}
