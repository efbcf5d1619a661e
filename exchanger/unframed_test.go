package exchanger

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"strings"
	"testing"

	"github.com/pkg/errors"
)

const unframedHead = "HTTP/1.1 200 OK\r\nServer: x\r\n\r\n"

// endWith writes an answer and ends its connection in order or by a reset.
func endWith(raw string, reset bool) func(int, net.Conn, *bufio.Reader) {
	return func(_ int, c net.Conn, r *bufio.Reader) {
		readRequest(r)
		_, _ = io.WriteString(c, raw)
		if tcp, ok := c.(*net.TCPConn); ok && reset {
			_ = tcp.SetLinger(0)
		}
	}
}

func exchangeUnframed(t *testing.T, s *rawServer) (*Answer, error) {
	t.Helper()
	e, err := New(Bounds{Unframed: true})
	if err != nil {
		t.Fatal(err)
	}
	defer e.Close()
	return e.Exchange(context.Background(), s.address(), &Request{Method: "GET", Path: "/"})
}

func TestAnswerThatEndsWithItsConnectionIsWhole(t *testing.T) {
	for _, size := range []int{0, 5, 1 << 20} {
		body := strings.Repeat("x", size)
		s := startServer(t, endWith(unframedHead+body, false))
		a, err := exchangeUnframed(t, s)
		if err != nil || string(a.Body) != body {
			t.Fatalf("%d bytes: %v, %v", size, a != nil && len(a.Body) == size, err)
		}
	}
}

func TestInterimAnswerBeforeAnUnframedOne(t *testing.T) {
	s := startServer(t, endWith("HTTP/1.1 100 Continue\r\n\r\n"+unframedHead+"hi", false))
	a, err := exchangeUnframed(t, s)
	if err != nil || string(a.Body) != "hi" {
		t.Fatalf("%+v, %v", a, err)
	}
}

func TestResetInsideAnUnframedAnswerIsNoEnd(t *testing.T) {
	for i := range 50 {
		s := startServer(t, endWith(fmt.Sprint(unframedHead, "part ", i), true))
		a, err := exchangeUnframed(t, s)
		if err == nil {
			t.Fatalf("a reset connection gave the whole answer %q", a.Body)
		}
		if !errors.Is(err, ErrTruncated) && !errors.Is(err, ErrLost) {
			t.Fatal(err)
		}
	}
}
