package server

import (
	"bufio"
	"io"
	"net"
	"net/http"
	"testing"
	"time"

	"github.com/fescuethread/fescuethread/timer"
)

// TestArrivalIsThatOfTheFirstByte guards against timing a request from the last byte of its body,
// which kept large uploads waiting beyond their route's timeout.
func TestArrivalIsThatOfTheFirstByte(t *testing.T) {
	arrivals := make(chan timer.Instant, 1)
	s := start(t, 10, func(w http.ResponseWriter, r *http.Request) {
		arrivals <- ArrivalOf(r.Context())
		echo(w, r)
	})
	conn, err := net.Dial("tcp", s.Address())
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = conn.Close() }()
	if _, err := io.WriteString(conn, "POST / HTTP/1.1\r\nHost: x\r\nContent-Length: 2\r\n\r\nh"); err != nil {
		t.Fatal(err)
	}
	firstByteRead := func() bool {
		found := false
		s.conns.Range(func(_, v interface{}) bool {
			c, ok := v.(*connection)
			found = found || ok && c.readingSince.Load() != 0
			return true
		})
		return found
	}
	for deadline := timer.Now().Add(10 * time.Second); !firstByteRead(); {
		if timer.Now() > deadline {
			t.Fatal("timeout: the server did not read the first bytes")
		}
	}
	firstHalfRead := timer.Now()
	if _, err := io.WriteString(conn, "i"); err != nil {
		t.Fatal(err)
	}
	if resp, body := readResponse(t, bufio.NewReader(conn)); resp.StatusCode != 200 || body != "hi" {
		t.Fatal(resp.StatusCode, body)
	}
	if at := <-arrivals; at > firstHalfRead {
		t.Fatalf("arrival time is %s after the first half was read", at.Sub(firstHalfRead))
	}
	if at := ArrivalOf(t.Context()); timer.Now().Sub(at) > time.Minute {
		t.Fatal("arrival time of a request that no server has read is not the current time")
	}
}
