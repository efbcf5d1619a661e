package main

import (
	"bufio"
	"cmp"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync/atomic"
	"time"
)

var requestNumber atomic.Int64

// client is a client with one kept connection to a host.
type client struct {
	front string
	// key is the API key; empty stands for apiKey.
	key  string
	conn net.Conn
	in   *bufio.Reader
	// served is the number of answers on the connection.
	served int
	// wrap opens a connection; nil opens a plain one.
	wrap func(address string) (net.Conn, error)
}

// result is what a client saw of one request.
type result struct {
	id       string
	sent     time.Time
	kept     bool
	status   int
	header   http.Header
	body     []byte
	unserved bool // the connection could not be opened
	err      error
}

func nextID() string {
	return fmt.Sprintf("%016x", requestNumber.Add(1))
}

// dial opens the connection.
func (c *client) dial() error {
	open := c.wrap
	if open == nil {
		open = func(address string) (net.Conn, error) {
			return net.DialTimeout("tcp", address, time.Second)
		}
	}
	conn, err := open(c.front)
	if err != nil {
		return err
	}
	c.conn, c.in, c.served = conn, bufio.NewReader(conn), 0
	return nil
}

// do sends one request and reads its answer; it opens a connection if there is none.
func (c *client) do(method, path, body string, deadline time.Duration) result {
	r := result{id: nextID(), sent: time.Now()}
	if c.conn == nil {
		if r.err = c.dial(); r.err != nil {
			r.unserved = true
			return r
		}
	}
	r.kept = c.served > 0
	var b strings.Builder
	fmt.Fprintf(&b, "%s %s HTTP/1.1\r\nHost: %s\r\n%s: %s\r\n%s: %s\r\n%s: %d\r\n", method, path, hostHeader,
		headers.ID, r.id, headers.Key, cmp.Or(c.key, apiKey), headers.Deadline, deadline.Milliseconds())
	if method != http.MethodGet {
		fmt.Fprintf(&b, "Content-Length: %d\r\n", len(body))
	}
	b.WriteString("\r\n" + body)
	if _, r.err = c.conn.Write([]byte(b.String())); r.err != nil {
		c.close()
		return r
	}
	_ = c.conn.SetReadDeadline(time.Now().Add(deadline + 2*time.Second))
	resp, err := http.ReadResponse(c.in, &http.Request{Method: method})
	if err != nil {
		r.err = err
		c.close()
		return r
	}
	r.status, r.header = resp.StatusCode, resp.Header
	r.body, r.err = io.ReadAll(resp.Body)
	c.served++
	if r.err != nil || resp.Close {
		c.close()
	}
	return r
}

// closedByPeer reports whether the host has closed the idle connection.
func (c *client) closedByPeer() bool {
	_ = c.conn.SetReadDeadline(time.Now().Add(time.Millisecond))
	_, err := c.in.Peek(1)
	_ = c.conn.SetReadDeadline(time.Time{})
	var timeout net.Error
	return !errors.As(err, &timeout) || !timeout.Timeout()
}

func (c *client) close() {
	if c.conn != nil {
		c.conn.Close()
		c.conn = nil
	}
}
