package conductor

import (
	"net"
	"net/http"
	"sort"
	"strconv"
	"time"

	"github.com/fescuethread/fescuethread/announcer"
	"github.com/fescuethread/fescuethread/platform"
	"github.com/fescuethread/fescuethread/selector"
	"github.com/fescuethread/fescuethread/spreader"
	"github.com/fescuethread/fescuethread/timer"
)

const (
	// directoryTTL is how long callers may cache a directory response. It must be short compared
	// with the grace period, since some callers cache the response three times as long.
	directoryTTL = time.Second
	// maxAddresses is the number of addresses that callers use from one response.
	maxAddresses = 64
)

// directory serves the addresses that callers connect to, and the platform's readiness checks.
type directory struct {
	host *Host
}

// ServeHTTP implements http.Handler.
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
	addresses := d.host.addresses(
		q.Get(platform.QueryZone), q.Get(platform.QueryRegion), callerOf(r.RemoteAddr))
	if len(addresses) == 0 {
		lookupsFailed.Inc()
		writeBody(w, http.StatusServiceUnavailable, "text/plain; charset=utf-8", nil)
		return
	}
	lookupsAnswered.Inc()
	ttl := directoryTTL
	if maxTTL := d.host.bounds.Load().MaxDirectoryTTL(); maxTTL > 0 {
		ttl = min(ttl, maxTTL)
	}
	body, err := platform.EncodeDirectory(addresses, ttl)
	if err != nil {
		writeBody(w, http.StatusInternalServerError, "text/plain; charset=utf-8", nil)
		return
	}
	writeBody(w, http.StatusOK, "application/json", body)
}

func writeBody(w http.ResponseWriter, status int, contentType string, body []byte) {
	w.Header().Set("Content-Type", contentType)
	w.Header().Set("Content-Length", strconv.Itoa(len(body)))
	w.WriteHeader(status)
	_, _ = w.Write(body)
}

// callerOf returns the IP address of a caller.
func callerOf(remote string) string {
	address, _, err := net.SplitHostPort(remote)
	if err != nil {
		return remote
	}
	return address
}

// addresses returns the addresses of the ready hosts in the region, or of all ready hosts if the
// region has none. Hosts in the zone come first. An empty region means the zone's region. Where
// callers are spread by the hosts' capacity, it returns the few hosts that the caller uses.
func (h *Host) addresses(zone, region, caller string) []string {
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
		if h.roster.Serving(now, p.Name) {
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
	if h.spreadsCallers() {
		near = spread(caller, zone, near)
	}
	addresses := make([]string, 0, len(near))
	for _, m := range near[:min(len(near), maxAddresses)] {
		addresses = append(addresses, m.CallerAddress)
	}
	return addresses
}

// spreadsCallers reports whether callers are spread over the hosts by their capacity.
func (h *Host) spreadsCallers() bool {
	switch h.settings.Directory.Spread {
	case selector.ModeAlways:
		return true
	case selector.ModeNever:
		return false
	}
	return h.selector.Placed()
}

// spread returns the members that a caller uses.
func spread(caller, zone string, members []announcer.Member) []announcer.Member {
	hosts := make([]spreader.Host, len(members))
	for i, m := range members {
		hosts[i] = spreader.Host{Name: m.Name, Zone: m.Zone, Capacity: m.Capacity}
	}
	chosen := spreader.Choose(caller, zone, hosts)
	if chosen == nil {
		return members
	}
	list := make([]announcer.Member, 0, len(chosen))
	for _, i := range chosen {
		list = append(list, members[i])
	}
	return list
}
