package decoder

import (
	"math"
	"strings"
)

const (
	// MaxSizeLineBytes is the maximum length of a chunk's size line, with its extensions.
	MaxSizeLineBytes = 256
	// freeFramingBytes, framingBytesPerChunk and framingBytesPerByte bound the bytes of size lines:
	// even chunks of one byte are accepted, but not a body that consists mostly of extensions.
	freeFramingBytes     = 16 << 10
	framingBytesPerChunk = 16
	framingBytesPerByte  = 2
	// maxSizeDigits is the maximum number of digits of a chunk size, with leading zeros.
	maxSizeDigits = 16
	// del is the control character DEL.
	del = 0x7f
	// hexBits is the number of bits of a hexadecimal digit.
	hexBits = 4
)

// state is the part of the coding that the next byte belongs to.
type state uint8

const (
	stateSize state = iota
	stateBlank
	stateExtension
	stateSizeLF
	stateData
	stateDataCR
	stateDataLF
	stateTrailerStart
	stateTrailerName
	stateTrailerValue
	stateTrailerLF
	stateEndLF
	stateDone
)

// Chunked decodes one chunked body. Trailer fields are skipped.
type Chunked struct {
	maxBodyBytes    int
	maxTrailerBytes int

	state state
	// left is the number of bytes that the current chunk still lacks.
	left   int
	digits int
	// lineBytes is the length of the current size line so far.
	lineBytes    int
	bodyBytes    int
	trailerBytes int
	// framingBytes is the number of bytes of size lines beyond what the body justifies.
	framingBytes int
}

// NewChunked returns a decoder for a body of at most maxBodyBytes bytes, with at most
// maxTrailerBytes bytes of trailer fields.
func NewChunked(maxBodyBytes, maxTrailerBytes int) *Chunked {
	return &Chunked{maxBodyBytes: maxBodyBytes, maxTrailerBytes: maxTrailerBytes}
}

// Done reports whether the end of the body was decoded.
func (c *Chunked) Done() bool {
	return c.state == stateDone
}

// Next decodes the start of data. It returns the number of bytes that it has read and the part of
// them that belongs to the body; it reads nothing behind the end of the body. An error is of type
// *Error.
func (c *Chunked) Next(data []byte) (n int, body []byte, err error) {
	for n < len(data) && c.state != stateDone {
		if c.state == stateData {
			size := min(c.left, len(data)-n)
			c.left -= size
			if c.left == 0 {
				c.state = stateDataCR
			}
			return n + size, data[n : n+size], nil
		}
		if err := c.next(data[n]); err != nil {
			return n, nil, err
		}
		n++
	}
	return n, nil, nil
}

// next decodes one byte that isn't part of the body.
func (c *Chunked) next(b byte) error {
	switch c.state {
	case stateSize, stateBlank, stateExtension, stateSizeLF:
		return c.nextInSizeLine(b)
	case stateDataCR:
		return c.expect(b, '\r', stateDataLF)
	case stateDataLF:
		return c.expect(b, '\n', stateSize)
	}
	return c.nextInTrailer(b)
}

func (c *Chunked) nextInSizeLine(b byte) error {
	c.lineBytes++
	if c.lineBytes > MaxSizeLineBytes {
		return &Error{Op: "chunk size line", Kind: KindMalformed}
	}
	switch {
	case c.state == stateSizeLF:
		return c.endSizeLine(b)
	case b == '\r' && c.digits > 0:
		c.state = stateSizeLF
		return nil
	case c.state == stateExtension:
		if b == '\n' {
			return &Error{Op: "chunk extension", Kind: KindMalformed}
		}
		return nil
	case c.digits > 0 && b == ';':
		c.state = stateExtension
		return nil
	case c.digits > 0 && (b == ' ' || b == '\t'):
		c.state = stateBlank
		return nil
	case c.state == stateBlank:
		return &Error{Op: "chunk size", Kind: KindMalformed}
	}
	return c.addDigit(b)
}

func (c *Chunked) addDigit(b byte) error {
	digit, ok := hexValue(b)
	if !ok || c.digits == maxSizeDigits {
		return &Error{Op: "chunk size", Kind: KindMalformed}
	}
	if c.left > math.MaxInt>>hexBits {
		return &Error{Op: "chunk size", Kind: KindBodyTooLarge}
	}
	c.digits++
	c.left = c.left<<hexBits | digit
	if c.left > c.maxBodyBytes-c.bodyBytes {
		return &Error{Op: "chunk size", Kind: KindBodyTooLarge}
	}
	return nil
}

func (c *Chunked) endSizeLine(b byte) error {
	if b != '\n' {
		return &Error{Op: "chunk size line", Kind: KindMalformed}
	}
	justified := framingBytesPerChunk + framingBytesPerByte*c.left
	c.framingBytes = max(c.framingBytes+c.lineBytes-justified, 0)
	if c.framingBytes > freeFramingBytes {
		return &Error{Op: "chunk size lines", Kind: KindMalformed}
	}
	c.bodyBytes += c.left
	c.state = stateData
	if c.left == 0 {
		c.state = stateTrailerStart
	}
	c.digits = 0
	c.lineBytes = 0
	return nil
}

func (c *Chunked) nextInTrailer(b byte) error {
	c.trailerBytes++
	if c.trailerBytes > c.maxTrailerBytes+len("\r\n") {
		return &Error{Op: "trailer", Kind: KindTrailerTooLarge}
	}
	switch c.state {
	case stateTrailerStart:
		if b == '\r' {
			c.state = stateEndLF
			return nil
		}
		if !isToken(b) {
			return &Error{Op: "trailer", Kind: KindMalformed}
		}
		c.state = stateTrailerName
	case stateTrailerLF:
		return c.expect(b, '\n', stateTrailerStart)
	case stateEndLF:
		return c.expect(b, '\n', stateDone)
	}
	return c.nextInTrailerField(b)
}

// nextInTrailerField decodes a byte of a trailer field. Only what every reader takes for a field
// is skipped: another request must not hide there.
func (c *Chunked) nextInTrailerField(b byte) error {
	switch {
	case c.state == stateTrailerName && b == ':':
		c.state = stateTrailerValue
	case c.state == stateTrailerName && isToken(b):
	case c.state == stateTrailerValue && b == '\r':
		c.state = stateTrailerLF
	case c.state == stateTrailerValue && (b >= ' ' && b != del || b == '\t'):
	default:
		return &Error{Op: "trailer", Kind: KindMalformed}
	}
	return nil
}

// isToken reports whether b may be part of a field's name.
func isToken(b byte) bool {
	switch {
	case b >= '0' && b <= '9', b >= 'a' && b <= 'z', b >= 'A' && b <= 'Z':
		return true
	}
	return strings.IndexByte("!#$%&'*+-.^_`|~", b) >= 0
}

// expect moves to the next state if b is the expected byte.
func (c *Chunked) expect(b, want byte, next state) error {
	if b != want {
		return &Error{Op: "line end", Kind: KindMalformed}
	}
	c.state = next
	return nil
}

func hexValue(b byte) (int, bool) {
	switch {
	case b >= '0' && b <= '9':
		return int(b - '0'), true
	case b >= 'a' && b <= 'f':
		return int(b-'a') + 10, true
	case b >= 'A' && b <= 'F':
		return int(b-'A') + 10, true
	}
	return 0, false
}
