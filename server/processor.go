package server

import (
	"sync/atomic"
	"time"

	"github.com/lesismal/nbio/nbhttp"
)

// processor collects a request and refuses what breaks a bound before the handler sees it.
type processor struct {
	nbhttp.ServerProcessor
	cfg         *Config
	conn        *connection
	headerBytes int
	lengths     int
	encodings   int
	bodyBytes   int
	fault       *fault
	// plain is set once the whole header has been read and bears no operation identity; the sweep
	// reads it from its own goroutine.
	plain     atomic.Bool
	operation bool
}

// OnMethod starts a request.
func (p *processor) OnMethod(parser *nbhttp.Parser, method string) {
	p.headerBytes = 0
	p.lengths = 0
	p.encodings = 0
	p.bodyBytes = 0
	p.fault = nil
	p.operation = false
	p.plain.Store(false)
	p.ServerProcessor.OnMethod(parser, method)
}

// OnURL counts the request line towards the header bound.
func (p *processor) OnURL(parser *nbhttp.Parser, uri string) error {
	p.headerBytes += len(uri)
	if p.headerBytes > p.cfg.HeaderBytes {
		return headerTooLarge()
	}
	return p.ServerProcessor.OnURL(parser, uri)
}

// OnHeader counts header bytes and the fields that state a length.
func (p *processor) OnHeader(parser *nbhttp.Parser, key, value string) {
	p.headerBytes += len(key) + len(value)
	switch key {
	case "Content-Length":
		p.lengths++
	case "Transfer-Encoding":
		p.encodings++
	case headerOperation:
		p.operation = true
	}
	if p.headerBytes > p.cfg.HeaderBytes {
		p.fail(headerTooLarge())
		return
	}
	if p.lengths+p.encodings > 1 {
		p.fail(ambiguousLength())
	}
	p.ServerProcessor.OnHeader(parser, key, value)
}

// OnContentLength refuses a length above the body bound.
func (p *processor) OnContentLength(parser *nbhttp.Parser, length int) {
	p.plain.Store(!p.operation)
	if length > p.cfg.BodyBytes {
		p.fail(bodyTooLarge())
	}
	p.ServerProcessor.OnContentLength(parser, length)
}

// OnBody refuses a body above the bound.
func (p *processor) OnBody(parser *nbhttp.Parser, data []byte) error {
	p.bodyBytes += len(data)
	if p.bodyBytes > p.cfg.BodyBytes {
		return bodyTooLarge()
	}
	return p.ServerProcessor.OnBody(parser, data)
}

// OnComplete runs the handler unless the request broke a bound.
func (p *processor) OnComplete(parser *nbhttp.Parser) {
	if p.fault != nil {
		return
	}
	if !p.conn.begin() {
		p.fail(&fault{status: 429, reason: "too many pipelined requests"})
		return
	}
	// The handler bounds its own time; the idle deadline must not cut a request that runs.
	_ = p.conn.raw.SetDeadline(time.Time{})
	p.ServerProcessor.OnComplete(parser)
}

// headerOperation bears the identity of non-idempotent work.
const headerOperation = "Fescuethread-Operation"

// outcome is what a refusal may say: an earlier copy of an operation may have run elsewhere, and a
// header that was not read to its end may bear one.
func (p *processor) outcome() string {
	if p.plain.Load() {
		return outcomeNotRun
	}
	return outcomeUnknown
}

func (p *processor) fail(f *fault) {
	if p.fault == nil {
		p.fault = f
	}
}
