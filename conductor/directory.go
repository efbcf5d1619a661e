package conductor

import (
	"net/http"
	"sort"
	"strconv"
	"time"

	"github.com/fescuethread/fescuethread/announcer"
	"github.com/fescuethread/fescuethread/platform"
	"github.com/fescuethread/fescuethread/timer"
)

const (
	// directoryLifetime is how long callers may keep an answer; it must be short against the time
	// for a stop, since some callers keep it three times as long.
	directoryLifetime = time.Second
	// maxAddresses is the number of addresses that callers take from an answer.
	maxAddresses = 64
)

// directory answers callers that ask where to connect, and the platform's checks.
type directory struct {
	host *Host
}

// ServeHTTP serves a caller or a check of the platform.
func (d directory) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	switch r.URL.Path {
	case platform.PathDirectory:
		d.serveLookup(w, r)
	case platform.PathReady:
		status := http.StatusServiceUnavailable
		if d.host.Ready() {
			status = http.StatusOK
		}
		writeBody(w, status, "text/plain; charset=utf-8", nil)
	default:
		writeBody(w, http.StatusNotFound, "text/plain; charset=utf-8", nil)
	}
}

func (d directory) serveLookup(w http.ResponseWriter, r *http.Request) {
	q := r.URL.Query()
	addresses := d.host.addresses(q.Get(platform.QueryZone), q.Get(platform.QueryRegion))
	if len(addresses) == 0 {
		writeBody(w, http.StatusServiceUnavailable, "text/plain; charset=utf-8", nil)
		return
	}
	lifetime := directoryLifetime
	if most := d.host.bounds.Load().DirectoryLifetime(); most > 0 {
		lifetime = min(lifetime, most)
	}
	body, err := platform.EncodeDirectory(addresses, lifetime)
	if err != nil {
		writeBody(w, http.StatusInternalServerError, "text/plain; charset=utf-8", nil)
		return
	}
	writeBody(w, http.StatusOK, "application/json", body)
}

func writeBody(w http.ResponseWriter, status int, kind string, body []byte) {
	w.Header().Set("Content-Type", kind)
	w.Header().Set("Content-Length", strconv.Itoa(len(body)))
	w.WriteHeader(status)
	_, _ = w.Write(body)
}

// addresses lists the hosts that serve callers of a zone: those of its region, and all others when
// the region has none.
func (h *Host) addresses(zone, region string) []string {
	if region == "" {
		region = h.settings.Zones[zone]
	}
	now := timer.Now()
	var near, far []announcer.Member
	add := func(m announcer.Member) {
		if m.Region == region {
			near = append(near, m)
			return
		}
		far = append(far, m)
	}
	if h.Ready() {
		add(h.self)
	}
	for _, p := range h.roster.Peers() {
		if p.Serving(now, announcer.LiveTerm) {
			add(p.Member)
		}
	}
	if len(near) == 0 {
		near = far
	}
	sort.Slice(near, func(i, j int) bool {
		if (near[i].Zone == zone) != (near[j].Zone == zone) {
			return near[i].Zone == zone
		}
		return near[i].Name < near[j].Name
	})
	addresses := make([]string, 0, len(near))
	for _, m := range near[:min(len(near), maxAddresses)] {
		addresses = append(addresses, m.Callers)
	}
	return addresses
}
