package assembler

import (
	"sync"

	"github.com/fescuethread/fescuethread/detector"
	"github.com/fescuethread/fescuethread/storer"
)

// roll remembers which hosts the platform's list has shown. A host that it showed and no longer
// shows has gone; one that it never showed may only be late in the list.
type roll struct {
	mu    sync.Mutex
	shown map[string]bool
	gone  map[string]bool
}

func newRoll() *roll {
	return &roll{shown: make(map[string]bool), gone: make(map[string]bool)}
}

// read takes in the list and returns the state of each host that it ever showed.
func (r *roll) read(listed []storer.Host) []detector.ListedHost {
	r.mu.Lock()
	defer r.mu.Unlock()
	clear(r.gone)
	for name := range r.shown {
		r.gone[name] = true
	}
	hosts := make([]detector.ListedHost, 0, len(r.shown))
	for _, h := range listed {
		r.shown[h.Name] = true
		delete(r.gone, h.Name)
		hosts = append(hosts, detector.ListedHost{Name: h.Name, State: listedState(h.State)})
	}
	for name := range r.gone {
		hosts = append(hosts, detector.ListedHost{Name: name, State: detector.ListedGone})
	}
	return hosts
}

func listedState(s storer.HostState) detector.Listed {
	if s == storer.HostLeaving {
		return detector.ListedLeaving
	}
	return detector.ListedLive
}

// goneHosts returns the hosts that the newest list no longer shows.
func (r *roll) goneHosts() []string {
	r.mu.Lock()
	defer r.mu.Unlock()
	names := make([]string, 0, len(r.gone))
	for name := range r.gone {
		names = append(names, name)
	}
	return names
}
