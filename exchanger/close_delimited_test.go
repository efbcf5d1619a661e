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

const noLengthHeader = "HTTP/1.1 200 OK\r\nServer: x\r\n\r\n"

// respondAndClose reads a request, writes raw and closes the connection, with a reset if reset is
// set.
func respondAndClose(raw string, reset bool) func(int, net.Conn, *bufio.Reader) {
	return func(_ int, c net.Conn, r *bufio.Reader) {
		readRequest(r)
		_, _ = io.WriteString(c, raw)
		if tcp, ok := c.(*net.TCPConn); ok && reset {
			_ = tcp.SetLinger(0)
		}
	}
}

func exchangeCloseDelimited(t *testing.T, s *rawServer) (*Response, error) {
	t.Helper()
	e, err := New(Limits{AllowCloseDelimited: true})
	if err != nil {
		t.Fatal(err)
	}
	defer e.Close()
	return e.Exchange(context.Background(), s.address(), &Request{Method: "GET", Path: "/"})
}

func TestCloseDelimitedResponseIsComplete(t *testing.T) {
	for _, size := range []int{0, 5, 1 << 20} {
		body := strings.Repeat("x", size)
		s := startServer(t, respondAndClose(noLengthHeader+body, false))
		resp, err := exchangeCloseDelimited(t, s)
		if err != nil || string(resp.Body) != body {
			t.Fatalf("%d bytes: %v, %v", size, resp != nil && len(resp.Body) == size, err)
		}
	}
}

func TestInterimBeforeCloseDelimitedResponse(t *testing.T) {
	s := startServer(t, respondAndClose("HTTP/1.1 100 Continue\r\n\r\n"+noLengthHeader+"hi", false))
	resp, err := exchangeCloseDelimited(t, s)
	if err != nil || string(resp.Body) != "hi" {
		t.Fatalf("%+v, %v", resp, err)
	}
}

func TestResetTruncatesCloseDelimitedResponse(t *testing.T) {
	for i := range 50 {
		s := startServer(t, respondAndClose(fmt.Sprint(noLengthHeader, "part ", i), true))
		resp, err := exchangeCloseDelimited(t, s)
		if err == nil {
			t.Fatalf("response %q accepted from a reset connection", resp.Body)
		}
		if !errors.Is(err, ErrTruncated) && !errors.Is(err, ErrNoResponse) {
			t.Fatal(err)
		}
	}
}
