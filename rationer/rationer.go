package rationer

import (
	"sync"
)

// maxYields is the number of idle connections that may be closed for one new connection; others
// may take the descriptors of the first.
const maxYields = 4

// Rationer divides descriptors among uses; it is safe for concurrent use.
type Rationer struct {
	// total is the number of descriptors; 0 means no limit.
	total int

	mu   sync.Mutex
	uses []*Use
	// used is the number of descriptors that all uses have.
	used int
	// reserved is the number of free descriptors that only certain uses may take.
	reserved int
}

// New returns a rationer of total descriptors without uses; 0 means no limit.
func New(total int) *Rationer {
	return &Rationer{total: total}
}

// Total returns the number of descriptors that are divided; 0 means no limit.
func (r *Rationer) Total() int {
	return r.total
}

// Use adds a use.
func (r *Rationer) Use(cfg Config) *Use {
	u := &Use{cfg: cfg, rationer: r}
	r.mu.Lock()
	defer r.mu.Unlock()
	r.uses = append(r.uses, u)
	r.reserved += cfg.Reserve
	return u
}

// Usages returns how many descriptors each use has, in the order in which the uses were added.
func (r *Rationer) Usages() []Usage {
	r.mu.Lock()
	defer r.mu.Unlock()
	list := make([]Usage, len(r.uses))
	for i, u := range r.uses {
		list[i] = u.usage
		list[i].Name = u.cfg.Name
	}
	return list
}

// free returns the number of descriptors that any use may take. The caller holds mu.
func (r *Rationer) free() int {
	return r.total - r.used - r.reserved
}

// Usage is how many descriptors a use has.
type Usage struct {
	// Name is the name of the use.
	Name string
	// Used is the number of descriptors that the use has, and Peak its maximum so far.
	Used, Peak int
	// Refused is the number of descriptors that the use was refused.
	Refused int
	// Yielded is the number of idle connections that were closed for other connections.
	Yielded int
}
