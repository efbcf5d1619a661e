package forwarder

import (
	"context"
	"encoding/base64"
	"net/http"
	"net/url"
	"strconv"
	"strings"
	"time"
)

const (
	// HeaderPrefix starts the names of the header fields that belong to the system.
	HeaderPrefix = "Fescuethread-"
	// HeaderDeadline carries the time left until the caller's deadline, in milliseconds.
	HeaderDeadline = "Fescuethread-Deadline"
	// HeaderCustomer carries the customer's name.
	HeaderCustomer = "Fescuethread-Customer"
	// HeaderOperation carries the identity of non-idempotent work.
	HeaderOperation = "Fescuethread-Operation"
)

var hopByHop = []string{
	"Connection",
	"Content-Length",
	"Expect",
	"Host",
	"Keep-Alive",
	"Proxy-Authenticate",
	"Proxy-Authorization",
	"Proxy-Connection",
	"Te",
	"Trailer",
	"Transfer-Encoding",
	"Upgrade",
}

// Sanitize returns the header and the query without the values that hold the key; a trailer is
// passed as a header.
func Sanitize(header http.Header, query, key string) (http.Header, string) {
	if key == "" {
		return header.Clone(), query
	}
	return sanitizeHeader(header, key), sanitizeQuery(query, key)
}

func sanitizeHeader(header http.Header, key string) http.Header {
	kept := http.Header{}
	for name, values := range header {
		if strings.Contains(strings.ToLower(name), strings.ToLower(key)) {
			continue
		}
		for _, v := range values {
			if !holds(v, key) {
				kept[name] = append(kept[name], v)
			}
		}
	}
	return kept
}

func sanitizeQuery(query, key string) string {
	var kept []string
	for part := range strings.SplitSeq(query, "&") {
		if !holds(part, key) {
			kept = append(kept, part)
		}
	}
	return strings.Join(kept, "&")
}

// holds reports whether the value contains the key as text, escaped or in base64.
func holds(value, key string) bool {
	if strings.Contains(value, key) {
		return true
	}
	if plain, err := url.QueryUnescape(value); err == nil && strings.Contains(plain, key) {
		return true
	}
	return holdsEncoded(value, key)
}

func holdsEncoded(value, key string) bool {
	for word := range strings.FieldsFuncSeq(value, separates) {
		if b, err := base64.RawStdEncoding.DecodeString(word); err == nil {
			if strings.Contains(string(b), key) {
				return true
			}
		}
		if b, err := base64.RawURLEncoding.DecodeString(word); err == nil {
			if strings.Contains(string(b), key) {
				return true
			}
		}
	}
	return false
}

func separates(c rune) bool {
	return strings.ContainsRune(" \t=,;:&", c)
}

// outgoing returns the header fields that the target receives.
func outgoing(ctx context.Context, r *Request) http.Header {
	h := EndToEnd(r.Header)
	h.Set(HeaderCustomer, r.Customer)
	if r.Customer == "" {
		h.Del(HeaderCustomer)
	}
	if r.Operation != "" {
		h.Set(HeaderOperation, r.Operation)
	}
	if deadline, ok := ctx.Deadline(); ok {
		left := max(time.Until(deadline).Milliseconds(), 0)
		h.Set(HeaderDeadline, strconv.FormatInt(left, 10))
	}
	return h
}

// incoming returns the header fields that the caller receives.
func incoming(header http.Header) http.Header {
	return EndToEnd(header)
}

// Drop removes a field from the header, also where a server reads "_" as "-".
func Drop(header http.Header, name string) {
	for other := range header {
		if strings.EqualFold(strings.ReplaceAll(other, "_", "-"), name) {
			delete(header, other)
		}
	}
}

// EndToEnd returns the header without the fields that concern one connection or the system.
func EndToEnd(header http.Header) http.Header {
	h := http.Header{}
	named := connectionNames(header)
	for name, values := range header {
		if !named[http.CanonicalHeaderKey(name)] && !own(name) {
			h[name] = append([]string(nil), values...)
		}
	}
	return h
}

func connectionNames(header http.Header) map[string]bool {
	names := map[string]bool{}
	for _, name := range hopByHop {
		names[name] = true
	}
	for name, values := range header {
		if !strings.EqualFold(name, "Connection") {
			continue
		}
		for _, v := range values {
			for token := range strings.SplitSeq(v, ",") {
				names[http.CanonicalHeaderKey(strings.TrimSpace(token))] = true
			}
		}
	}
	return names
}

// own reports whether the name belongs to the system, also where a target reads "_" as "-".
func own(name string) bool {
	name = strings.ToLower(strings.ReplaceAll(name, "_", "-"))
	return strings.HasPrefix(name, strings.ToLower(HeaderPrefix))
}
