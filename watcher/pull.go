package watcher

import "math/rand"

// maxSources is the number of peers remembered for each document.
const maxSources = 8

// report is one peer's version of a document.
type report struct {
	host    string
	version Version
}

// pull is the state of one document's fetches.
type pull struct {
	sources  []report
	inFlight bool
}

// add keeps a peer's newest report; of many peers, those with the highest versions stay.
func (u *pull) add(r report) {
	for i, other := range u.sources {
		if other.host == r.host {
			u.sources[i] = r
			return
		}
	}
	if len(u.sources) < maxSources {
		u.sources = append(u.sources, r)
		return
	}
	lowest := 0
	for i, other := range u.sources {
		if other.version.Version < u.sources[lowest].version.Version {
			lowest = i
		}
	}
	if u.sources[lowest].version.Version < r.version.Version {
		u.sources[lowest] = r
	}
}

func (u *pull) keep(wanted func(Version) bool) {
	kept := u.sources[:0]
	for _, r := range u.sources {
		if wanted(r.version) {
			kept = append(kept, r)
		}
	}
	u.sources = kept
}

// take removes and returns one of the sources with the highest version.
func (u *pull) take(r *rand.Rand) report {
	best := make([]int, 0, len(u.sources))
	for i, s := range u.sources {
		if len(best) > 0 && s.version.Version < u.sources[best[0]].version.Version {
			continue
		}
		if len(best) > 0 && s.version.Version > u.sources[best[0]].version.Version {
			best = best[:0]
		}
		best = append(best, i)
	}
	i := best[r.Intn(len(best))]
	taken := u.sources[i]
	u.sources = append(u.sources[:i], u.sources[i+1:]...)
	return taken
}
