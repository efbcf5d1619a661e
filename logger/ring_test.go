package logger

import (
	"bytes"
	"testing"
)

// gate is a writer that waits until it is opened.
type gate struct {
	bytes.Buffer
	open chan struct{}
}

func (g *gate) Write(p []byte) (int, error) {
	<-g.open
	return g.Buffer.Write(p)
}

func TestRingDropsInsteadOfWaiting(t *testing.T) {
	g := &gate{open: make(chan struct{})}
	r := NewRing(g, 4)
	for range 100 {
		if _, err := r.Write([]byte("line\n")); err != nil {
			t.Fatal(err)
		}
	}
	dropped := r.Dropped()
	close(g.open)
	r.Close()
	written := int64(bytes.Count(g.Bytes(), []byte("\n")))
	if dropped < 90 || dropped+written != 100 {
		t.Fatalf("%d dropped, %d written", dropped, written)
	}
}
