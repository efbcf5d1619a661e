package main

import (
	"bytes"
	"fmt"
	"net"
	"net/http"
	"sync"
	"syscall"
	"time"
)

func init() { cases["download"] = download }

const (
	downloadBytes    = 4 << 20
	downloadRate     = 1 << 20 // bytes a second that a client reads
	downloadWork     = 100 * time.Millisecond
	downloadDeadline = 12 * time.Second
	downloadCount    = 4
	downloadGap      = 300 * time.Millisecond
	receiveBuffer    = 32 << 10
	segmentBytes     = 1460 // as on Ethernet
)

// download plays clients on a line of 8 Mbit/s that read a large answer, around a planned stop of
// the host.
func download(d *deployment, trouble bool) bool {
	d.startStore(config(int(downloadDeadline.Milliseconds())))
	answer := bytes.Repeat([]byte("a"), downloadBytes)
	var mu sync.Mutex
	ran := map[string]bool{}
	for i := range 4 {
		u := startUpstream(fmt.Sprintf("i-%d", i), []string{"east-a", "east-b"}[i%2], 9)
		u.onRun = func(u *upstream, r *http.Request, _ []byte) {
			mu.Lock()
			defer mu.Unlock()
			ran[r.Header.Get(headers.ID)] = true
			d.record.logf("%s: runs %s", u.id, r.Header.Get(headers.ID))
		}
		u.answer = func(u *upstream, conn net.Conn, r *http.Request, _ []byte) bool {
			time.Sleep(downloadWork)
			ok := u.reply(conn, r, answer)
			d.record.logf("%s: sent the answer to %s, complete %t", u.id, r.Header.Get(headers.ID), ok)
			return ok
		}
		d.register(u)
	}
	d.startEdges(2)
	e := d.edges[0]
	if trouble {
		_ = e.cmd.Process.Signal(syscall.SIGTERM)
		d.record.logf("%s: SIGTERM", e.name)
	}
	cut := 0
	var wg sync.WaitGroup
	for i := range downloadCount {
		wg.Go(func() {
			c := client{front: e.front, wrap: slowLine}
			defer c.close()
			r := c.do(http.MethodGet, fmt.Sprintf("/read/%d", i), "", downloadDeadline)
			mu.Lock()
			defer mu.Unlock()
			d.record.logf("client of %s: sent %s at %.3f, answer %d with %d of %d bytes after %v: %v", e.name, r.id,
				r.sent.Sub(d.record.start).Seconds(), r.status, len(r.body), downloadBytes,
				time.Since(r.sent).Round(time.Millisecond), r.err)
			if ran[r.id] && (r.err != nil || len(r.body) < downloadBytes) {
				cut++
			}
		})
		time.Sleep(downloadGap)
	}
	wg.Wait()
	d.record.logf("%d of %d answers were cut off", cut, downloadCount)
	return cut == 0
}

// slowConn reads at the rate of a slow line.
type slowConn struct {
	net.Conn
}

// slowLine makes a connection that is read at downloadRate, with a small window.
func slowLine(address string) (net.Conn, error) {
	dialer := net.Dialer{Timeout: time.Second, Control: func(_, _ string, c syscall.RawConn) error {
		return c.Control(func(fd uintptr) {
			_ = syscall.SetsockoptInt(int(fd), syscall.IPPROTO_TCP, syscall.TCP_MAXSEG, segmentBytes)
			_ = syscall.SetsockoptInt(int(fd), syscall.SOL_SOCKET, syscall.SO_RCVBUF, receiveBuffer)
		})
	}}
	conn, err := dialer.Dial("tcp", address)
	if err != nil {
		return nil, err
	}
	return slowConn{conn}, nil
}

// Read reads a piece and takes as long as it would take on the line.
func (s slowConn) Read(p []byte) (int, error) {
	n, err := s.Conn.Read(p[:min(len(p), receiveBuffer)])
	time.Sleep(time.Duration(n) * time.Second / downloadRate)
	return n, err
}
