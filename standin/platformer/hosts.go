package platformer

import (
	"sort"
	"sync"
	"time"

	"github.com/fescuethread/fescuethread/storer"
)

// hostGone is the state that takes a host off the list.
const hostGone = "gone"

// hostList is the list of hosts; a change shows once the lag has passed.
type hostList struct {
	mu      sync.Mutex
	lag     time.Duration
	now     func() time.Time
	states  map[string]string
	pending []hostChange
}

type hostChange struct {
	name  string
	state string
	at    time.Time
}

func newHostList(lag time.Duration, now func() time.Time) *hostList {
	return &hostList{lag: lag, now: now, states: make(map[string]string)}
}

func (l *hostList) set(name, state string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	c := hostChange{name: name, state: state, at: l.now().Add(l.lag)}
	l.pending = append(l.pending, c)
}

func (l *hostList) list() []storer.WireHost {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.settle()
	hosts := make([]storer.WireHost, 0, len(l.states))
	for name, state := range l.states {
		hosts = append(hosts, storer.WireHost{Name: name, State: storer.HostState(state)})
	}
	sort.Slice(hosts, func(i, j int) bool { return hosts[i].Name < hosts[j].Name })
	return hosts
}

func (l *hostList) settle() {
	now := l.now()
	for len(l.pending) > 0 && !now.Before(l.pending[0].at) {
		c := l.pending[0]
		l.pending = l.pending[1:]
		if c.state == hostGone {
			delete(l.states, c.name)
		} else {
			l.states[c.name] = c.state
		}
	}
}
