package main

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"syscall"
	"time"
)

func init() { cases["upload"] = upload }

const (
	uploadBytes    = 360_000         // the largest body on the sheet
	uploadWork     = 2 * time.Second // the sheet's longest is 2.28 s
	uploadDeadline = 4 * time.Second
	uploadCount    = 8
	uploadGap      = 100 * time.Millisecond
)

// upload plays upstreams that work on an upload before they read the rest of its body, around a
// planned stop of the host.
func upload(d *deployment, trouble bool) bool {
	d.startStore(config(int(uploadDeadline.Milliseconds())))
	var mu sync.Mutex
	ran := map[string]bool{}
	for i := range 4 {
		u := startLateReader(d, fmt.Sprintf("i-%d", i), []string{"east-a", "east-b"}[i%2], func(id string) {
			mu.Lock()
			defer mu.Unlock()
			ran[id] = true
		})
		d.register(u)
	}
	d.startEdges(2)
	e := d.edges[0]
	clients := make([]client, uploadCount)
	for i := range clients {
		// A first small upload on each connection, so that it is a kept one.
		clients[i].front = e.front
		clients[i].do(http.MethodPost, "/sale/first", "x", uploadDeadline)
	}
	if trouble {
		_ = e.cmd.Process.Signal(syscall.SIGTERM)
		d.record.logf("%s: SIGTERM", e.name)
	}
	brokenOff, others := 0, 0
	var wg sync.WaitGroup
	for i := range clients {
		wg.Go(func() {
			r := clients[i].do(http.MethodPost, fmt.Sprintf("/sale/%d", i), strings.Repeat("b", uploadBytes), uploadDeadline)
			defer clients[i].close()
			mu.Lock()
			defer mu.Unlock()
			d.record.logf("client of %s: sent %s at %.3f, answer %d %s %v after %v, an upstream worked on it: %t",
				e.name, r.id, r.sent.Sub(d.record.start).Seconds(), r.status, strings.TrimSpace(string(r.body)),
				r.err, time.Since(r.sent).Round(time.Millisecond), ran[r.id])
			// The deadline isn't reached and the upstream breaks off nothing.
			if ran[r.id] && r.status != 200 && time.Since(r.sent) < uploadDeadline {
				brokenOff++
			} else {
				others++
			}
		})
		time.Sleep(uploadGap)
	}
	wg.Wait()
	d.record.logf("%d uploads were broken off while their upstream was at work, %d not", brokenOff, others)
	// The rule judges this only around planned work.
	return !trouble || brokenOff == 0
}

// startLateReader starts an upstream that runs a request once it has read its head, works, then
// reads the body and answers.
func startLateReader(d *deployment, id, zone string, onRun func(request string)) *upstream {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		fatal("upstream: %v", err)
	}
	u := &upstream{id: id, address: l.Addr().String(), zone: zone, slots: 9}
	go func() {
		for {
			conn, err := l.Accept()
			if err != nil {
				return
			}
			go func() {
				defer conn.Close()
				in := bufio.NewReader(conn)
				for {
					r, err := http.ReadRequest(in)
					if err != nil {
						return
					}
					request := r.Header.Get(headers.ID)
					onRun(request)
					d.record.logf("%s: runs %s", id, request)
					if r.ContentLength > 1 {
						time.Sleep(uploadWork)
					}
					n, err := io.Copy(io.Discard, r.Body)
					d.record.logf("%s: read %d bytes of the body of %s: %v", id, n, request, err)
					if err != nil || !u.reply(conn, r, []byte("stored")) {
						return
					}
				}
			}()
		}
	}()
	return u
}
