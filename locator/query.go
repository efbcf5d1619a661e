package locator

import (
	"net/netip"
	"net/url"
	"regexp"

	"github.com/pkg/errors"
)

// maxName bounds the names in a query, in bytes.
const maxName = 63

var namePattern = regexp.MustCompile(`^[a-z0-9]([a-z0-9.-]*[a-z0-9])?$`)

// Query asks for the entry hosts to use for a service.
type Query struct {
	// Service is the service that the caller wants.
	Service string
	// Client is the caller's address; the server sets it when the caller states none.
	Client netip.Addr
	// Place is the region or availability zone that the caller states; empty means by address.
	Place string
}

// ParseQuery reads the parameters service, client and place; others are an error.
func ParseQuery(values url.Values) (Query, error) {
	for name, texts := range values {
		if name != "service" && name != "client" && name != "place" {
			return Query{}, queryError("unknown parameter %.63q; want service, client or place", name)
		}
		if len(texts) != 1 {
			return Query{}, queryError("parameter %s is given %d times", name, len(texts))
		}
	}
	q := Query{Service: values.Get("service"), Place: values.Get("place")}
	if !isName(q.Service) {
		return Query{}, queryError("service is %.63q; want the name of a service", q.Service)
	}
	if values.Has("place") && !isName(q.Place) {
		return Query{}, queryError("place is %.63q; want a region or availability zone", q.Place)
	}
	if !values.Has("client") {
		return q, nil
	}
	client, err := netip.ParseAddr(values.Get("client"))
	if err != nil || client.Zone() != "" {
		return Query{}, queryError("client is %.63q; want an IP number", values.Get("client"))
	}
	q.Client = client.Unmap()
	return q, nil
}

func isName(text string) bool {
	return len(text) <= maxName && namePattern.MatchString(text)
}

func queryError(format string, args ...any) error {
	return &Error{Op: "query", Kind: KindQuery, Err: errors.Errorf(format, args...)}
}
