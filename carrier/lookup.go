package carrier

import (
	"net/http"
	"net/netip"

	"github.com/fescuethread/fescuethread/locator"
)

// Lookup is the answer to a look-up.
type Lookup struct {
	// Service is the service asked for.
	Service string `json:"service"`
	// Lifetime is how long the answer may be kept, in milliseconds.
	Lifetime int64 `json:"lifetime"`
	// Place is the region or availability zone that distances are counted from.
	Place string `json:"place"`
	// Basis says how the place was found: "place", "block" or "none".
	Basis string `json:"basis"`
	// Hosts are the entry hosts to use, best first.
	Hosts []LookupHost `json:"hosts"`
}

// LookupHost is one entry host of a look-up answer.
type LookupHost struct {
	// Host is the host's name.
	Host string `json:"host"`
	// Address is the IP address and port for callers.
	Address string `json:"address"`
	// Rank orders the hosts; a higher one is used when the lower ones fail.
	Rank int `json:"rank"`
	// Weight is the host's part of the requests among those of its rank.
	Weight int `json:"weight"`
}

func (c *Carrier) serveLookup(w http.ResponseWriter, r *http.Request) {
	c.stats.lookups.Inc()
	id := c.newID()
	s := c.parts.Configuration.Snapshot()
	if s == nil {
		c.write(w, id, notRun(http.StatusServiceUnavailable, ReasonNotReady))
		return
	}
	q, err := locator.ParseQuery(r.URL.Query())
	if err != nil {
		c.write(w, id, notRun(http.StatusBadRequest, ReasonMalformed))
		return
	}
	if !q.Client.IsValid() {
		q.Client = clientOf(r)
	}
	answer, err := s.Table.Answer(q, c.parts.Members)
	if err != nil {
		c.write(w, id, notRun(http.StatusNotFound, ReasonService))
		return
	}
	c.write(w, id, answered(http.StatusOK, toJSON(toLookup(q.Service, answer))))
}

func clientOf(r *http.Request) netip.Addr {
	a, err := netip.ParseAddrPort(r.RemoteAddr)
	if err != nil {
		return netip.Addr{}
	}
	return a.Addr().Unmap()
}

func toLookup(service string, a locator.Answer) Lookup {
	out := Lookup{
		Service:  service,
		Lifetime: a.Lifetime.Milliseconds(),
		Place:    a.Place,
		Basis:    string(a.Basis),
		Hosts:    make([]LookupHost, 0, len(a.Choices)),
	}
	for _, c := range a.Choices {
		out.Hosts = append(out.Hosts, LookupHost{
			Host: c.Host, Address: c.Address, Rank: c.Rank, Weight: c.Weight,
		})
	}
	return out
}
