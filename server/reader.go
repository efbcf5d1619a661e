package server

import (
	"bytes"
	"sync"

	"github.com/lesismal/nbio/nbhttp"

	"github.com/fescuethread/fescuethread/decoder"
	"github.com/fescuethread/fescuethread/limiter"
	"github.com/fescuethread/fescuethread/timer"
)

// requestReader reads the requests of a connection. The parser gets only the heads, line by line:
// it keeps what it can't parse yet, however much that is.
type requestReader struct {
	conn *connection
	// wrapped is the connection that responses are written to.
	wrapped *nbhttp.Conn

	mu        sync.Mutex
	processor *processor
	lines     lineCheck
	// parser is nil after close.
	parser *nbhttp.Parser
	// account holds the bytes of the incomplete request; it is nil if none was read.
	account *limiter.Account
	// requests is the number of complete requests.
	requests int
	// headParsed is set when the parser has found the end of the head.
	headParsed bool
	// lineBytes is the length of the current line of the head so far.
	lineBytes int
	// bytesLeft is the number of bytes that a body of known length lacks.
	bytesLeft int
	// chunked decodes a chunked body; nil if the body isn't chunked.
	chunked *decoder.Chunked
}

func newRequestReader(c *connection) *requestReader {
	r := &requestReader{conn: c, wrapped: &nbhttp.Conn{Conn: c.out}}
	r.processor = &processor{cfg: &c.server.cfg, reader: r}
	r.reset()
	return r
}

// reset prepares for the next request.
func (r *requestReader) reset() {
	r.lines = lineCheck{}
	r.lineBytes = 0
	r.chunked = nil
	c := r.conn
	r.parser = nbhttp.NewParser(r.wrapped, c.server.engine, r.processor, false, c.execute)
	r.wrapped.Parser = r.parser
}

// read reads data. A fault ends the connection.
func (r *requestReader) read(data []byte) *fault {
	r.mu.Lock()
	defer r.mu.Unlock()
	for len(data) > 0 && r.parser != nil && !r.conn.ignoresInput() {
		r.conn.readingSince.CompareAndSwap(0, int64(timer.Now()))
		n, f := r.readPart(data)
		if f != nil {
			return f
		}
		data = data[n:]
	}
	if r.conn.ignoresInput() {
		r.discard()
	}
	return nil
}

// close stops reading and frees what was read of an incomplete request.
func (r *requestReader) close() {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.discard()
	r.parser = nil
	r.wrapped.Parser = nil
}

// discard frees what was read of an incomplete request. The caller holds mu.
func (r *requestReader) discard() {
	if r.parser == nil {
		return
	}
	r.processor.Clean(r.parser)
	if r.account != nil {
		r.account.Close()
	}
}

// evict refuses the incomplete request behind the given number of complete ones, because its
// account was evicted.
func (r *requestReader) evict(requests int) {
	r.mu.Lock()
	current := r.requests == requests
	r.mu.Unlock()
	if current {
		r.conn.refuse(outOfMemory())
	}
}

// take charges n bytes to the incomplete request.
func (r *requestReader) take(n int) *fault {
	if r.account == nil {
		requests := r.requests
		r.account = r.conn.server.cfg.Requests.Open(func() { r.evict(requests) })
	}
	if !r.account.Take(n) {
		return outOfMemory()
	}
	return nil
}

// readPart reads the start of data: a part of a line or of a body. It returns the length of that.
func (r *requestReader) readPart(data []byte) (int, *fault) {
	if r.lines.ended {
		return r.readBody(data)
	}
	return r.readLine(data)
}

// readLine reads a line of the head, or the start of one.
func (r *requestReader) readLine(data []byte) (int, *fault) {
	n := len(data)
	overhead := 0
	if i := bytes.IndexByte(data, '\n'); i >= 0 {
		n = i + 1
		overhead = headLineOverheadBytes
	}
	r.lineBytes += n
	if r.lineBytes > r.processor.limits().MaxHeaderBytes+maxLineOverheadBytes {
		return 0, headerTooLarge()
	}
	if f := r.take(n + overhead); f != nil {
		return 0, f
	}
	if f := r.lines.check(data[:n]); f != nil {
		return 0, f
	}
	if overhead > 0 {
		r.lineBytes = 0
	}
	err := r.parser.Parse(data[:n])
	if f := r.processor.fault; f != nil {
		return 0, f
	}
	if err != nil {
		return 0, toFault(err)
	}
	if r.lines.ended && !r.headParsed {
		return 0, malformedLine()
	}
	return n, nil
}

// beginBody prepares for the body after a head.
func (r *requestReader) beginBody(length int, chunked bool) {
	r.headParsed = true
	r.bytesLeft = length
	if chunked {
		limits := r.processor.limits()
		r.chunked = decoder.NewChunked(limits.MaxBodyBytes, limits.MaxHeaderBytes)
	}
}

// readBody reads a part of the body.
func (r *requestReader) readBody(data []byte) (int, *fault) {
	n := min(len(data), r.bytesLeft)
	part := data[:max(n, 0)]
	if r.chunked != nil {
		var err error
		if n, part, err = r.chunked.Next(data); err != nil {
			return 0, toFault(err)
		}
	} else {
		r.bytesLeft -= n
	}
	if f := r.take(n); f != nil {
		return 0, f
	}
	if err := r.processor.OnBody(r.parser, part); err != nil {
		return 0, toFault(err)
	}
	complete := r.bytesLeft <= 0
	if r.chunked != nil {
		complete = r.chunked.Done()
	}
	if complete {
		// The parser still waits for this body.
		parser := r.parser
		r.reset()
		r.processor.OnComplete(parser)
	}
	return n, r.processor.fault
}

// complete hands the account of the complete request over. It returns nil if it was evicted.
func (r *requestReader) complete() *limiter.Account {
	account := r.account
	if !account.Pin() {
		return nil
	}
	r.account = nil
	r.requests++
	r.lines = lineCheck{}
	r.headParsed = false
	return account
}
