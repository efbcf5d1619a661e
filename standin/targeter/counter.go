package targeter

import (
	"sort"
	"sync"
)

// Operation is the number of runs of one operation.
type Operation struct {
	ID   string `json:"id"`
	Runs int    `json:"runs"`
}

// Runs is what a target has done so far.
type Runs struct {
	// Total is the number of requests that were run.
	Total int `json:"total"`
	// Peak is the highest number of requests that were running at once.
	Peak int `json:"peak"`
	// Draining is the number of requests that arrived during a drain.
	Draining int `json:"draining"`
	// Shed is the number of requests that were refused without a run.
	Shed int `json:"shed"`
	// Cancelled is the number of runs that the caller cancelled.
	Cancelled int `json:"cancelled"`
	// Expired is the number of runs that met their deadline.
	Expired int `json:"expired"`
	// Reused is the number of connections that were used again after a broken answer.
	Reused int `json:"reused"`
	// Operations are the operations that were run, in the order of their identifiers.
	Operations []Operation `json:"operations"`
}

// counter counts runs.
type counter struct {
	mu         sync.Mutex
	runs       Runs
	busy       int
	operations map[string]int
}

func newCounter() *counter {
	return &counter{operations: make(map[string]int)}
}

// start counts a run and returns its number.
func (c *counter) start(operation string) int {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.runs.Total++
	c.busy++
	c.runs.Peak = max(c.runs.Peak, c.busy)
	if operation != "" {
		c.operations[operation]++
	}
	return c.runs.Total
}

func (c *counter) end() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.busy--
}

func (c *counter) add(n func(*Runs) *int) {
	c.mu.Lock()
	defer c.mu.Unlock()
	*n(&c.runs)++
}

func (c *counter) running() int {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.busy
}

func (c *counter) snapshot() Runs {
	c.mu.Lock()
	defer c.mu.Unlock()
	r := c.runs
	r.Operations = make([]Operation, 0, len(c.operations))
	for id, n := range c.operations {
		r.Operations = append(r.Operations, Operation{ID: id, Runs: n})
	}
	sort.Slice(r.Operations, func(i, j int) bool { return r.Operations[i].ID < r.Operations[j].ID })
	return r
}

func shedRuns(r *Runs) *int      { return &r.Shed }
func drainingRuns(r *Runs) *int  { return &r.Draining }
func cancelledRuns(r *Runs) *int { return &r.Cancelled }
func expiredRuns(r *Runs) *int   { return &r.Expired }
func reusedRuns(r *Runs) *int    { return &r.Reused }
