package logger

import (
	"io"
	"sync"
	"sync/atomic"
)

// Ring is an io.Writer that never blocks: a goroutine copies lines from a bounded buffer to the
// underlying writer. Lines that arrive while the buffer is full are dropped and counted.
type Ring struct {
	lines   chan []byte
	dropped atomic.Int64
	done    chan struct{}
	once    sync.Once
}

// NewRing returns a writer to w with a buffer of the given number of lines.
func NewRing(w io.Writer, lines int) *Ring {
	r := &Ring{lines: make(chan []byte, lines), done: make(chan struct{})}
	go r.drain(w)
	return r
}

// Write buffers p as one line, or drops it if the buffer is full; it never returns an error.
func (r *Ring) Write(p []byte) (int, error) {
	line := append([]byte(nil), p...)
	select {
	case r.lines <- line:
	default:
		r.dropped.Add(1)
	}
	return len(p), nil
}

// Dropped returns the number of dropped lines and failed writes since the last call.
func (r *Ring) Dropped() int64 {
	return r.dropped.Swap(0)
}

// Close writes the buffered lines and stops the goroutine; a later Write panics.
func (r *Ring) Close() {
	r.once.Do(func() { close(r.lines) })
	<-r.done
}

// drain writes the buffered lines to w, all that are waiting in one call.
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
