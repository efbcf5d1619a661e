package steerer

import (
	"net/http"
	"strings"
)

// hopByHop lists the fields that are not forwarded. Content-Length and Host are set anew for each
// message; Expect is pointless because bodies are read whole before they are sent on.
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

// deleteField deletes the fields with the given name, also if spelled with "_", which some servers
// treat as "-".
func deleteField(header http.Header, name string) {
	for other := range header {
		if strings.EqualFold(strings.ReplaceAll(other, "_", "-"), name) {
			delete(header, other)
		}
	}
}

// endToEnd returns a copy of the header without hop-by-hop fields.
func endToEnd(header http.Header) http.Header {
	h := http.Header{}
	skip := hopByHopNames(header)
	for name, values := range header {
		if !skip[http.CanonicalHeaderKey(name)] {
			h[name] = append([]string(nil), values...)
		}
	}
	return h
}

// hopByHopNames returns the names of all hop-by-hop fields, including those that Connection lists.
func hopByHopNames(header http.Header) map[string]bool {
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
