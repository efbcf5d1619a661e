package server

import (
	"strings"
	"time"

	"github.com/lesismal/nbio/nbhttp"
)

// processor checks requests while they are parsed; the handler gets only valid ones.
type processor struct {
	nbhttp.ServerProcessor
	cfg                    *Config
	reader                 *requestReader
	headerBytes            int
	headerFields           int
	contentLengthFields    int
	transferEncodingFields int
	hostFields             int
	// fault is the first fault on the connection; later requests are not served.
	fault *fault
	// http11 is set for HTTP/1.1 requests.
	http11 bool
}

func (p *processor) limits() Limits {
	return p.cfg.limits()
}

func isDigits(s string) bool {
	return s != "" && strings.Trim(s, "0123456789") == ""
}

// isControl reports whether c is a control character that is forbidden in header field values.
func isControl(c rune) bool {
	return c < ' ' && c != '\t' || c == 0x7f
}

// OnMethod resets the state for a new request.
func (p *processor) OnMethod(parser *nbhttp.Parser, method string) {
	p.headerBytes = 0
	p.headerFields = 0
	p.contentLengthFields = 0
	p.transferEncodingFields = 0
	p.hostFields = 0
	p.ServerProcessor.OnMethod(parser, method)
}

// OnProto rejects versions other than HTTP/1.0 and HTTP/1.1.
func (p *processor) OnProto(parser *nbhttp.Parser, proto string) error {
	p.http11 = proto == "HTTP/1.1"
	if !p.http11 && proto != "HTTP/1.0" {
		return unsupportedVersion()
	}
	return p.ServerProcessor.OnProto(parser, proto)
}

// OnURL counts the request target towards the header limit.
func (p *processor) OnURL(parser *nbhttp.Parser, uri string) error {
	p.headerBytes += len(uri)
	if p.headerBytes > p.limits().MaxHeaderBytes {
		return headerTooLarge()
	}
	return p.ServerProcessor.OnURL(parser, uri)
}

// OnHeader rejects malformed length fields, control characters in values, headers above the limit
// and requests with more than one length field. OnContentLength checks the number of Host fields.
func (p *processor) OnHeader(parser *nbhttp.Parser, key, value string) {
	p.headerBytes += len(key) + len(value)
	p.headerFields++
	switch key {
	case "Content-Length":
		p.contentLengthFields++
		if !isDigits(value) {
			p.fail(malformedField(key))
		}
	case "Transfer-Encoding":
		p.transferEncodingFields++
		if !p.http11 || !strings.EqualFold(strings.TrimSpace(value), "chunked") {
			p.fail(malformedField(key))
		}
	case "Host":
		p.hostFields++
	}
	if p.headerBytes > p.limits().MaxHeaderBytes || p.headerFields > maxHeaderFields {
		p.fail(headerTooLarge())
		return
	}
	if strings.ContainsFunc(value, isControl) {
		p.fail(malformedField(key))
	}
	if p.contentLengthFields+p.transferEncodingFields > 1 {
		p.fail(ambiguousLength())
	}
	p.ServerProcessor.OnHeader(parser, key, value)
}

// OnContentLength is called at the end of the header. It rejects bodies above the limit, bodies
// for which there is no memory, and requests without exactly one Host field, which is optional in
// HTTP/1.0.
func (p *processor) OnContentLength(parser *nbhttp.Parser, length int) {
	p.reader.conn.headerDone.Store(true)
	p.reader.beginBody(length, p.transferEncodingFields > 0)
	if p.hostFields > 1 || p.hostFields == 0 && p.http11 {
		p.fail(invalidHost())
	}
	if length > p.limits().MaxBodyBytes {
		p.fail(bodyTooLarge())
	}
	if room := p.cfg.Requests.MaxBytes(); room > 0 && int64(length) > room {
		p.fail(outOfMemory())
	}
	p.ServerProcessor.OnContentLength(parser, length)
}

// OnComplete runs the handler unless there was a fault.
func (p *processor) OnComplete(parser *nbhttp.Parser) {
	if p.fault != nil {
		return
	}
	account := p.reader.complete()
	if account == nil {
		p.fail(outOfMemory())
		return
	}
	c := p.reader.conn
	if !c.begin(account) {
		account.Close()
		return
	}
	// The handler has its own timeout; the idle timeout must not end a running request.
	_ = c.raw.SetDeadline(time.Time{})
	p.ServerProcessor.OnComplete(parser)
}

func (p *processor) fail(f *fault) {
	if p.fault == nil {
		p.fault = f
	}
}
