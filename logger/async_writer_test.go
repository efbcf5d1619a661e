package logger

import (
	"bytes"
	"testing"
)

// blockingWriter blocks each Write until unblocked is closed.
type blockingWriter struct {
	bytes.Buffer
	unblocked chan struct{}
}

func (w *blockingWriter) Write(p []byte) (int, error) {
	<-w.unblocked
	return w.Buffer.Write(p)
}

func TestAsyncWriterDropsLinesWhenFull(t *testing.T) {
	w := &blockingWriter{unblocked: make(chan struct{})}
	a := NewAsyncWriter(w, 4)
	for range 100 {
		if _, err := a.Write([]byte("line\n")); err != nil {
			t.Fatal(err)
		}
	}
	dropped := a.Dropped()
	close(w.unblocked)
	a.Close()
	written := int64(bytes.Count(w.Bytes(), []byte("\n")))
	if dropped < 90 || dropped+written != 100 {
		t.Fatalf("%d dropped, %d written", dropped, written)
	}
}
