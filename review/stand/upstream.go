package main

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"sync/atomic"
	"time"
)

// upstream is a server of the service "saleroom". It serves one request at a time on a connection
// and follows PROTOCOL.md: it echoes the request's id, stamps its answers and checks which upstream
// the request is meant for.
type upstream struct {
	id, address, zone string
	slots             int
	running           atomic.Int64
	// answer writes the answer to a request that ran; it returns false to close the connection.
	answer func(u *upstream, conn net.Conn, r *http.Request, body []byte) bool
	// onRun is called when a request begins to run.
	onRun func(u *upstream, r *http.Request, body []byte)
}

func startUpstream(id, zone string, slots int) *upstream {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		fatal("upstream: %v", err)
	}
	u := &upstream{id: id, address: l.Addr().String(), zone: zone, slots: slots}
	u.onRun = func(*upstream, *http.Request, []byte) {}
	go func() {
		for {
			conn, err := l.Accept()
			if err != nil {
				return
			}
			go u.serve(conn)
		}
	}()
	return u
}

func (u *upstream) serve(conn net.Conn) {
	defer conn.Close()
	in := bufio.NewReader(conn)
	for {
		_ = conn.SetReadDeadline(time.Now().Add(10 * time.Second))
		r, err := http.ReadRequest(in)
		if err != nil {
			return
		}
		body, err := io.ReadAll(r.Body)
		if err != nil {
			return
		}
		_ = conn.SetReadDeadline(time.Time{})
		if r.Header.Get(headers.Expect) != u.id {
			fmt.Fprintf(conn, "HTTP/1.1 421 Misdirected Request\r\n%s: %s\r\nContent-Length: 0\r\n\r\n",
				headers.ID, r.Header.Get(headers.ID))
			continue
		}
		if int(u.running.Add(1)) > u.slots {
			u.running.Add(-1)
			fmt.Fprintf(conn, "HTTP/1.1 503 Service Unavailable\r\n%s: %s\r\n%s: 1\r\n%s: %d,0,%d\r\n"+
				"Content-Length: 0\r\n\r\n", headers.ID, r.Header.Get(headers.ID), headers.NotExecuted, headers.Load, u.slots, u.slots)
			continue
		}
		u.onRun(u, r, body)
		ok := u.answer(u, conn, r, body)
		u.running.Add(-1)
		if !ok {
			return
		}
	}
}

// head returns the head of a successful answer with a length.
func (u *upstream) head(r *http.Request, framing string) string {
	id := r.Header.Get(headers.ID)
	return fmt.Sprintf("HTTP/1.1 200 OK\r\n%s: %s\r\n%s: %s.%s\r\n%s: %d,0,%d\r\n%s\r\n\r\n",
		headers.ID, id, headers.Stamp, u.id, id, headers.Load, u.running.Load(), u.slots, framing)
}

// reply sends a complete answer.
func (u *upstream) reply(conn net.Conn, r *http.Request, body []byte) bool {
	data := append([]byte(u.head(r, fmt.Sprintf("Content-Length: %d", len(body)))), body...)
	_, err := conn.Write(data)
	return err == nil
}
