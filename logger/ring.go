package logger

import (
	"io"
	"sync"
	"sync/atomic"
)

// Ring is a writer that never waits for its reader: lines go through a bounded ring, and what
// finds it full is dropped and counted.
type Ring struct {
	lines   chan []byte
	dropped atomic.Int64
	done    chan struct{}
	once    sync.Once
}

// NewRing returns a ring of a number of lines that writes to w from a goroutine of its own.
func NewRing(w io.Writer, lines int) *Ring {
	r := &Ring{lines: make(chan []byte, lines), done: make(chan struct{})}
	go r.drain(w)
	return r
}

// Write takes one line, or drops and counts it.
func (r *Ring) Write(p []byte) (int, error) {
	line := append([]byte(nil), p...)
	select {
	case r.lines <- line:
	default:
		r.dropped.Add(1)
	}
	return len(p), nil
}

// Dropped returns the number of lines that were dropped since the last call.
func (r *Ring) Dropped() int64 {
	return r.dropped.Swap(0)
}

// Close writes what the ring holds; nothing may be written afterwards.
func (r *Ring) Close() {
	r.once.Do(func() { close(r.lines) })
	<-r.done
}

// drain writes lines, several at a time where they wait.
func (r *Ring) drain(w io.Writer) {
	defer close(r.done)
	for line := range r.lines {
		for more := len(r.lines); more > 0; more-- {
			line = append(line, <-r.lines...)
		}
		if _, err := w.Write(line); err != nil {
			r.dropped.Add(1)
		}
	}
}
