package exchanger

import (
	"github.com/pkg/errors"
)

const (
	// statusLinePrefix begins the status line; a digit and a space follow.
	statusLinePrefix = "HTTP/1."
	// statusCodeOffset is the position of the status code in the status line.
	statusCodeOffset = len(statusLinePrefix) + len("1 ")
	// statusCodeDigits is the number of digits of a status code.
	statusCodeDigits = 3
)

// headCheck checks the raw bytes of a response head before they are parsed. The parser accepts
// heads that other programs read differently, and it buffers a line without end.
type headCheck struct {
	maxBytes int
	size     int
	lines    int
	// column is the position in the current line, without carriage returns.
	column int
	// colonSeen is set after the first colon of a field.
	colonSeen bool
	// afterCR is set after a carriage return.
	afterCR bool
	// done is set after the empty line that ends the head.
	done bool
}

// scan checks the next bytes of the head. It returns how many of them belong to the head.
func (h *headCheck) scan(data []byte) (int, error) {
	for i, b := range data {
		h.size++
		if h.size > h.maxBytes {
			return i, ErrTooLarge
		}
		if err := h.next(b); err != nil {
			return i, err
		}
		if h.done {
			return i + 1, nil
		}
	}
	return len(data), nil
}

func (h *headCheck) next(b byte) error {
	if h.afterCR != (b == '\n') {
		return errors.WithMessage(ErrMalformed, "carriage return or line feed without the other")
	}
	h.afterCR = b == '\r'
	switch {
	case h.afterCR:
		return nil
	case b == '\n':
		return h.endLine()
	case h.lines == 0:
		if !validInStatusLine(h.column, b) {
			return errors.WithMessage(ErrMalformed, "invalid status line")
		}
	case !h.colonSeen && (b == ' ' || b == '\t'):
		// At the start of a line, it continues the line before.
		return errors.WithMessage(ErrMalformed, "whitespace before or in a field name")
	case b == ':':
		h.colonSeen = true
	}
	h.column++
	return nil
}

func (h *headCheck) endLine() error {
	switch {
	case h.lines == 0 && h.column < statusCodeOffset+statusCodeDigits:
		return errors.WithMessage(ErrMalformed, "short status line")
	case h.lines > 0 && h.column == 0:
		h.done = true
	case h.lines > 0 && !h.colonSeen:
		return errors.WithMessage(ErrMalformed, "field without a colon")
	}
	h.lines++
	h.column = 0
	h.colonSeen = false
	return nil
}

// validInStatusLine reports whether b may stand at the column of a status line.
func validInStatusLine(column int, b byte) bool {
	afterCode := statusCodeOffset + statusCodeDigits
	switch {
	case column < len(statusLinePrefix):
		return b == statusLinePrefix[column]
	case column == statusCodeOffset-1 || column == afterCode:
		return b == ' '
	case column < afterCode:
		return b >= '0' && b <= '9'
	}
	return true
}
