package server

// requestLineSpaces is the number of spaces in a request line.
const requestLineSpaces = 2

// lineCheck checks the raw lines of a request header against request smuggling: the parser accepts
// lines that other servers interpret differently, namely fields with whitespace in or around the
// name, and request lines with more than three words.
type lineCheck struct {
	// requestLineDone is set after the end of the request line.
	requestLineDone bool
	// nonEmpty is set when the current line contains more than the line break.
	nonEmpty bool
	// colonSeen is set after the first colon of the current line.
	colonSeen bool
	// spaces is the number of spaces and tabs in the current line.
	spaces int
	// ended is set after the empty line that ends the header.
	ended bool
}

// check checks the next bytes of a header; it returns nil if they are valid.
func (l *lineCheck) check(data []byte) *fault {
	for _, c := range data {
		switch c {
		case '\n':
			if !l.requestLineDone && l.nonEmpty && l.spaces != requestLineSpaces {
				return malformedLine()
			}
			// An empty line ends the header, or precedes the request line.
			*l = lineCheck{requestLineDone: l.nonEmpty, ended: l.requestLineDone && !l.nonEmpty}
			continue
		case '\r':
			continue
		case ':':
			l.colonSeen = true
		case ' ', '\t':
			if l.requestLineDone && !l.colonSeen {
				return spaceInName()
			}
			l.spaces++
		}
		l.nonEmpty = true
	}
	return nil
}
