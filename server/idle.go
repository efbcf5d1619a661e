package server

import (
	"container/list"
	"sync"
	"time"

	"github.com/fescuethread/fescuethread/timer"
)

const (
	// defaultMinIdle is how long a connection must have been without a request to give way to
	// another.
	defaultMinIdle = time.Second
	// maxIdleChecks is the number of connections that are tried for one descriptor.
	maxIdleChecks = 8
)

// idleList holds the connections without a request, those that have had none for the longest
// first.
type idleList struct {
	mu   sync.Mutex
	list list.List
}

// add adds a connection that has no request any more, unless it has closed.
func (l *idleList) add(now timer.Instant, c *connection) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if c.gone {
		return
	}
	if c.idleElement != nil {
		l.list.Remove(c.idleElement)
	}
	c.idleSince = now
	c.idleElement = l.list.PushBack(c)
}

// remove removes a connection that has a request.
func (l *idleList) remove(c *connection) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.take(c)
}

// forget removes a connection that has closed for good.
func (l *idleList) forget(c *connection) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.take(c)
	c.gone = true
}

// takeFirst removes and returns the connection that has been without a request for the longest; it
// returns nil if none has been so since before.
func (l *idleList) takeFirst(before timer.Instant) *connection {
	l.mu.Lock()
	defer l.mu.Unlock()
	e := l.list.Front()
	if e == nil {
		return nil
	}
	c, ok := e.Value.(*connection)
	if !ok || c.idleSince > before {
		return nil
	}
	l.take(c)
	return c
}

// take removes a connection. The caller holds mu.
func (l *idleList) take(c *connection) {
	if c.idleElement != nil {
		l.list.Remove(c.idleElement)
		c.idleElement = nil
	}
}
