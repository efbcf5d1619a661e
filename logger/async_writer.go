package logger

import (
	"io"
	"sync"
	"sync/atomic"
)

// AsyncWriter is an io.Writer that never blocks: a goroutine copies lines from a bounded buffer
// to the underlying writer. Lines that arrive while the buffer is full are dropped and counted.
type AsyncWriter struct {
	lines   chan []byte
	dropped atomic.Int64
	done    chan struct{}
	once    sync.Once
}

// NewAsyncWriter returns a writer to w with a buffer of the given number of lines.
func NewAsyncWriter(w io.Writer, lines int) *AsyncWriter {
	a := &AsyncWriter{lines: make(chan []byte, lines), done: make(chan struct{})}
	go a.drain(w)
	return a
}

// Write buffers p as one line, or drops it if the buffer is full; it never returns an error.
func (a *AsyncWriter) Write(p []byte) (int, error) {
	line := append([]byte(nil), p...)
	select {
	case a.lines <- line:
	default:
		a.dropped.Add(1)
	}
	return len(p), nil
}

// Dropped returns the number of dropped lines and failed writes since the last call.
func (a *AsyncWriter) Dropped() int64 {
	return a.dropped.Swap(0)
}

// Close writes the buffered lines and stops the goroutine; a later Write panics.
func (a *AsyncWriter) Close() {
	a.once.Do(func() { close(a.lines) })
	<-a.done
}

// drain writes the buffered lines to w, all that are waiting in one call.
func (a *AsyncWriter) drain(w io.Writer) {
	defer close(a.done)
	for line := range a.lines {
		for more := len(a.lines); more > 0; more-- {
			line = append(line, <-a.lines...)
		}
		if _, err := w.Write(line); err != nil {
			a.dropped.Add(1)
		}
	}
}
