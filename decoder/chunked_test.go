package decoder

import (
	"bytes"
	"errors"
	"fmt"
	"io"
	"net/http/httputil"
	"strings"
	"testing"

	"pgregory.net/rapid"
)

const (
	bodyLimit    = 1000
	trailerLimit = 100
)

// decode decodes data that arrives in pieces of n bytes; it returns the body, and what is left
// behind its end.
func decode(data string, n int) (body, rest string, done bool, err error) {
	c := NewChunked(bodyLimit, trailerLimit)
	var b strings.Builder
	for len(data) > 0 {
		piece := data[:min(n, len(data))]
		read, part, err := c.Next([]byte(piece))
		if err != nil {
			return "", "", false, err
		}
		b.Write(part)
		data = data[read:]
		if c.Done() {
			break
		}
	}
	return b.String(), data, c.Done(), nil
}

func TestBodiesAreDecoded(t *testing.T) {
	for _, tc := range []struct{ data, body, rest string }{
		{"0\r\n\r\n", "", ""},
		{"3\r\nhel\r\n2;x=1\r\nlo\r\n0\r\n\r\nGET", "hello", "GET"},
		{"00A \r\n0123456789\r\n0;y\r\nA: b\r\nC: d\r\n\r\n", "0123456789", ""},
		{"1\r\n\n\r\n0\r\n\r\n", "\n", ""},
	} {
		for n := 1; n <= len(tc.data); n++ {
			body, rest, done, err := decode(tc.data, n)
			if err != nil || !done || body != tc.body || rest != tc.rest {
				t.Fatalf("%q in pieces of %d: %q, %q, %t, %v", tc.data, n, body, rest, done, err)
			}
		}
	}
}

// TestEndlessFramingIsRejected guards against bytes without end that never become a body: nothing
// may wait for the end of a size line or of the trailer.
func TestEndlessFramingIsRejected(t *testing.T) {
	long := strings.Repeat("x", 1<<16)
	for name, tc := range map[string]struct {
		data string
		kind Kind
	}{
		"no size":         {long, KindMalformed},
		"extension":       {"5;" + long, KindMalformed},
		"blanks":          {"5" + strings.Repeat(" ", 1<<16), KindMalformed},
		"zeros":           {strings.Repeat("0", 1<<16), KindMalformed},
		"many extensions": {strings.Repeat("1;"+long[:200]+"\r\na\r\n", 900), KindMalformed},
		"huge chunk":      {"ffffffffffffffffffff\r\n", KindBodyTooLarge},
		"long chunk":      {"3e9\r\n", KindBodyTooLarge},
		"many chunks":     {strings.Repeat("1\r\na\r\n", bodyLimit+1), KindBodyTooLarge},
		"trailer line":    {"0\r\nA: " + long, KindTrailerTooLarge},
		"trailer fields":  {"0\r\n" + strings.Repeat("A: b\r\n", 1<<10), KindTrailerTooLarge},
		"request":         {"0\r\nGET /end HTTP/1.1\r\nA: b\r\n\r\n", KindMalformed},
		"folded trailer":  {"0\r\nA: b\r\n c\r\n\r\n", KindMalformed},
		"nameless":        {"0\r\n: b\r\n\r\n", KindMalformed},
		"bare line feed":  {"1\na\n0\n\n", KindMalformed},
		"no line end":     {"1\r\nab\r\n0\r\n\r\n", KindMalformed},
	} {
		t.Run(name, func(t *testing.T) {
			_, _, _, err := decode(tc.data, 1<<10)
			var e *Error
			if !errors.As(err, &e) || e.Kind != tc.kind {
				t.Fatalf("error %v, want %q", err, tc.kind)
			}
		})
	}
}

// TestChunksOfOneByteAreAccepted: small chunks are wasteful but valid.
func TestChunksOfOneByteAreAccepted(t *testing.T) {
	body, _, done, err := decode(strings.Repeat("1\r\na\r\n", bodyLimit)+"0\r\n\r\n", 7)
	if err != nil || !done || len(body) != bodyLimit {
		t.Fatalf("%d bytes, %t, %v", len(body), done, err)
	}
}

// TestDecoderAgreesWithStandardLibrary compares bodies encoded by net/http with what is decoded.
func TestDecoderAgreesWithStandardLibrary(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		var encoded, want bytes.Buffer
		w := httputil.NewChunkedWriter(&encoded)
		for _, part := range rapid.SliceOfN(rapid.SliceOfN(rapid.Byte(), 0, 90), 0, 8).Draw(rt, "parts") {
			_, _ = w.Write(part)
			want.Write(part)
		}
		_ = w.Close()
		_, _ = io.WriteString(&encoded, "\r\n")
		n := rapid.IntRange(1, 50).Draw(rt, "piece")
		body, rest, done, err := decode(encoded.String(), n)
		if err != nil || !done || rest != "" || body != want.String() {
			rt.Fatal(fmt.Sprintf("%q, %q, %t, %v", body, rest, done, err))
		}
	})
}

func FuzzChunked(f *testing.F) {
	f.Add([]byte("3\r\nhel\r\n2;x=1\r\nlo\r\n0\r\n\r\n"), 3)
	f.Add([]byte("0\r\nA: b\r\n\r\n"), 1)
	f.Fuzz(func(t *testing.T, data []byte, n int) {
		n = max(n, 1)
		body, rest, done, err := decode(string(data), n)
		whole, wholeRest, wholeDone, wholeErr := decode(string(data), max(len(data), 1))
		if body != whole || rest != wholeRest || done != wholeDone || (err == nil) != (wholeErr == nil) {
			t.Fatalf("pieces of %d: %q, %v; whole: %q, %v", n, body, err, whole, wholeErr)
		}
		// Blanks behind a size, which RFC 9112 allows, are malformed for net/http.
		if done && !bytes.ContainsAny(data, " \t") {
			r := httputil.NewChunkedReader(bytes.NewReader(data))
			if read, err := io.ReadAll(r); err != nil || string(read) != body {
				t.Fatalf("decoded %q, net/http %q, %v", body, read, err)
			}
		}
	})
}
