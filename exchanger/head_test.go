package exchanger

import (
	"bufio"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"

	"github.com/lesismal/nbio/nbhttp"
	"github.com/pkg/errors"
)

// feedSplit feeds raw to a new call in two parts, split at position at, then ends the connection.
func feedSplit(t *testing.T, e *Exchanger, raw string, at int) *call {
	t.Helper()
	c := newCall(get(""), e.limits, e.buffered)
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

// TestAllBodiesShareOneBudget: responses that each keep their limit can't exhaust the memory
// together, and the budget is free again after them.
func TestAllBodiesShareOneBudget(t *testing.T) {
	e, err := New(Limits{MaxBodyBytes: 100, MaxBufferedBytes: 150})
	if err != nil {
		t.Fatal(err)
	}
	defer e.Close()
	calls := make([]*call, 2)
	for i := range calls {
		calls[i] = newCall(get(""), e.limits, e.buffered)
	}
	if err := calls[0].appendBody(make([]byte, 100)); err != nil {
		t.Fatal(err)
	}
	if err := calls[1].appendBody(make([]byte, 100)); !errors.Is(err, ErrTooLarge) {
		t.Fatalf("error %v, want %v", err, ErrTooLarge)
	}
	e.buffered.release(100)
	s := startServer(t, respondOnce("HTTP/1.1 200 OK\r\nContent-Length: 100\r\n\r\n"+strings.Repeat("x", 100), false))
	for range 3 {
		resp, err := e.Exchange(t.Context(), s.address(), get(""))
		if err != nil || resp.Status != http.StatusOK {
			t.Fatalf("%+v, %v", resp, err)
		}
	}
}

func newTestParser(e *Exchanger, c *call) *nbhttp.Parser {
	return nbhttp.NewParser(nil, e.engine, c, true, nil)
}
