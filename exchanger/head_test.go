package exchanger

import (
	"bufio"
	"context"
	"io"
	"net"
	"strings"
	"testing"
	"time"

	"github.com/lesismal/nbio/nbhttp"

	"github.com/fescuethread/fescuethread/limiter"
)

// feedSplit feeds raw to a new call in two parts, split at position at, then ends the connection.
func feedSplit(t *testing.T, e *Exchanger, raw string, at int) *call {
	t.Helper()
	c := newCall(get(""), e.limits, func(*call) {})
	c.parser = newTestParser(e, c)
	for _, part := range []string{raw[:at], raw[at:]} {
		if part == "" || c.finished {
			continue
		}
		if err := c.feed([]byte(part)); err != nil && !c.finished {
			t.Fatalf("split at %d: %v", at, err)
		}
	}
	if c.closeDelimited {
		c.endCloseDelimited(io.EOF)
	}
	return c
}

// TestHeadsMayArriveInParts: a response is the same wherever the network splits it.
func TestHeadsMayArriveInParts(t *testing.T) {
	e, err := New(Limits{AllowCloseDelimited: true})
	if err != nil {
		t.Fatal(err)
	}
	defer e.Close()
	for name, raw := range map[string]string{
		"close-delimited": "HTTP/1.1 200 OK\r\nServer: x\r\n\r\nhello",
		"interim":         "HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 200 OK\r\nServer: x\r\n\r\nhello",
		"length":          "HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nhello",
		"chunked":         "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nhe\r\n3\r\nllo\r\n0\r\n\r\n",
	} {
		for at := range len(raw) {
			c := feedSplit(t, e, raw, at)
			if c.err != nil || !c.finished || string(c.response.Body) != "hello" {
				t.Fatalf("%s split at %d: body %q, %v", name, at, c.response.Body, c.err)
			}
		}
	}
}

// writeEndlessly writes head, then part again and again until the client closes.
func writeEndlessly(head, part string) func(int, net.Conn, *bufio.Reader) {
	return func(_ int, c net.Conn, r *bufio.Reader) {
		readRequest(r)
		_, err := io.WriteString(c, head)
		for err == nil {
			_, err = io.WriteString(c, part)
		}
	}
}

// TestEndlessResponsesAreBounded: bytes without end, in a head or a body, end the exchange and the
// connection.
func TestEndlessResponsesAreBounded(t *testing.T) {
	line := strings.Repeat("x", 1000)
	for name, tc := range map[string]struct{ head, part string }{
		"status line":       {"HTTP/1.1 200 ", line},
		"one field":         {"HTTP/1.1 200 OK\r\nA: ", line},
		"many fields":       {"HTTP/1.1 200 OK\r\n", "A: b\r\n"},
		"no response":       {"", line},
		"interim responses": {"", "HTTP/1.1 100 Continue\r\n\r\n"},
		"no length":         {"HTTP/1.1 200 OK\r\nServer: x\r\n\r\n", line},
		"chunks":            {"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n", "1\r\nx\r\n"},
	} {
		t.Run(name, func(t *testing.T) {
			e, err := New(Limits{MaxBodyBytes: 1 << 16, MaxHeaderBytes: 1 << 12, AllowCloseDelimited: true})
			if err != nil {
				t.Fatal(err)
			}
			defer e.Close()
			s := startServer(t, writeEndlessly(tc.head, tc.part))
			p := NewPool(e, PoolConfig{Address: s.address()})
			defer p.Close()
			if _, err := p.Exchange(t.Context(), get("")); err == nil {
				t.Fatal("a response without end was accepted")
			}
			if n := p.NumOpen(); n != 0 {
				t.Fatalf("%d connections stay open", n)
			}
		})
	}
}

// writeAndWait writes head, then n bytes of body, and waits until the client closes.
func writeAndWait(head string, n int) func(int, net.Conn, *bufio.Reader) {
	return func(_ int, c net.Conn, r *bufio.Reader) {
		readRequest(r)
		_, _ = io.WriteString(c, head+strings.Repeat("1", n))
		_, _ = io.Copy(io.Discard, r)
	}
}

// TestBytesThatAreNoBodyEndTheExchange guards against bytes that wait in the parser for the end of
// a line: they are no body, so no limit on bodies applies to them.
func TestBytesThatAreNoBodyEndTheExchange(t *testing.T) {
	head := "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"
	for name, tc := range map[string]struct {
		head  string
		cause error
	}{
		"extension":  {head + "5;", ErrMalformed},
		"blanks":     {head + "5" + strings.Repeat(" ", 1<<16), ErrMalformed},
		"size":       {head, ErrTooLarge},
		"zeros":      {head + strings.Repeat("0", 1<<16), ErrMalformed},
		"long chunk": {head + "ffffffff\r\n", ErrTooLarge},
		"trailer":    {head + "0\r\nSum: ", ErrMalformed},
	} {
		t.Run(name, func(t *testing.T) {
			e, err := New(Limits{})
			if err != nil {
				t.Fatal(err)
			}
			defer e.Close()
			ctx, cancel := context.WithTimeout(t.Context(), 10*time.Second)
			defer cancel()
			s := startServer(t, writeAndWait(tc.head, 1<<20))
			_, err = e.Exchange(ctx, s.address(), get(""))
			wantError(t, err, KindUnknown, tc.cause)
		})
	}
}

// TestAllResponsesShareOneLimit guards against a process that runs out of memory: responses that
// each keep their limit can't exceed that of all together, complete or not, while a small one gets
// through.
func TestAllResponsesShareOneLimit(t *testing.T) {
	const exchanges, bodyBytes, limitBytes = 32, 1 << 20, 8 << 20
	for name, head := range map[string]string{
		"length":    "HTTP/1.1 200 OK\r\nContent-Length: 2000000\r\n\r\n",
		"chunk":     "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n1E8480\r\n",
		"no length": "HTTP/1.1 200 OK\r\nServer: x\r\n\r\n",
	} {
		t.Run(name, func(t *testing.T) {
			transit := limiter.New(limitBytes)
			e, err := New(Limits{Transit: transit, AllowCloseDelimited: true})
			if err != nil {
				t.Fatal(err)
			}
			defer e.Close()
			ctx, cancel := context.WithTimeout(t.Context(), 20*time.Second)
			defer cancel()
			endless := startServer(t, writeAndWait(head, bodyBytes))
			sound := startServer(t, respondOnce("HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok", false))
			ended := make(chan error, exchanges)
			for range exchanges {
				go func() {
					_, err := e.Exchange(ctx, endless.address(), get(""))
					ended <- err
				}()
			}
			for range exchanges - limitBytes/bodyBytes {
				wantError(t, <-ended, KindUnknown, ErrEvicted)
			}
			if _, err := e.Exchange(ctx, sound.address(), get("")); err != nil {
				t.Fatal(err)
			}
			cancel()
			for range limitBytes / bodyBytes {
				if err := <-ended; err == nil {
					t.Fatal("a response without end was accepted")
				}
			}
			if n := transit.UsedBytes(); n != 0 {
				t.Fatalf("%d bytes are still held", n)
			}
		})
	}
}

func newTestParser(e *Exchanger, c *call) *nbhttp.Parser {
	return nbhttp.NewParser(nil, e.engine, c, true, nil)
}
