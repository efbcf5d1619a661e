package main

import (
	"fmt"
	"math/rand/v2"
	"net"
	"net/http"
	"sync"
	"syscall"
	"time"
)

func init() { cases["emptyok"] = emptyOK }

const (
	poolClients  = 1500 // kept connections to each host
	poolShortest = 4 * time.Second
	poolLongest  = 11 * time.Second // idle: four fifths of idle_timeout_ms are 12 s
	poolWork     = 50 * time.Millisecond
	poolDeadline = 4 * time.Second
	stopGap      = 2 * time.Second // between two stops
	stopCount    = 9
)

// emptyOK plays clients that use their kept connections every few seconds, while hosts are stopped
// and started in turn.
func emptyOK(d *deployment, trouble bool) bool {
	d.startStore(config(int(poolDeadline.Milliseconds())))
	var mu sync.Mutex
	ran := map[string]bool{}
	for i := range 20 {
		u := startUpstream(fmt.Sprintf("i-%d", i), []string{"east-a", "east-b"}[i%2], 9)
		u.onRun = func(u *upstream, r *http.Request, _ []byte) {
			id := r.Header.Get(headers.ID)
			d.record.logf("%s: runs %s", u.id, id)
			mu.Lock()
			defer mu.Unlock()
			ran[id] = true
		}
		u.answer = func(u *upstream, conn net.Conn, r *http.Request, _ []byte) bool {
			time.Sleep(poolWork)
			return u.reply(conn, r, []byte("sold"))
		}
		d.register(u)
	}
	d.startEdges(2)
	done := make(chan struct{})
	var wg sync.WaitGroup
	false200, neverRan := 0, 0
	statuses := map[int]int{}
	for i := range poolClients * len(d.edges) {
		wg.Go(func() {
			c := client{front: d.edges[i%len(d.edges)].front}
			defer c.close()
			for {
				idle := poolShortest + rand.N(poolLongest-poolShortest)
				if c.conn == nil && c.dial() != nil {
					// The host is away; try the other one soon.
					c.front = d.edges[rand.IntN(len(d.edges))].front
					idle = time.Second
				}
				select {
				case <-done:
					return
				case <-time.After(idle):
				}
				if c.conn == nil {
					continue
				}
				if c.closedByPeer() {
					c.close()
					continue
				}
				method, path, body := http.MethodGet, "/read/lot", ""
				if i%4 < 2 {
					method, path, body = http.MethodPost, "/sale/lot", "bid"
				}
				r := c.do(method, path+"-"+nextID(), body, poolDeadline)
				d.record.logf("client of %s: sent %s %s at %.3f, answer %d %v", c.front, method, r.id,
					r.sent.Sub(d.record.start).Seconds(), r.status, r.err)
				mu.Lock()
				statuses[r.status]++
				if r.err == nil && r.status == http.StatusOK && r.header.Get(headers.Stamp) == "" {
					false200++
					if !ran[r.id] {
						neverRan++
					}
					d.record.logf("MIXED: %s %s on a kept connection to %s: 200 without a stamp, %d bytes, ran: %t, header %v",
						method, r.id, c.front, len(r.body), ran[r.id], r.header)
				}
				mu.Unlock()
			}
		})
	}
	for i := range stopCount {
		time.Sleep(stopGap)
		e := d.edges[i%len(d.edges)]
		if !trouble {
			time.Sleep(6 * time.Second)
			continue
		}
		d.record.logf("%s: SIGTERM", e.name)
		_ = e.cmd.Process.Signal(syscall.SIGTERM)
		kill := time.AfterFunc(6*time.Second, func() { _ = e.cmd.Process.Kill() })
		err := e.cmd.Wait()
		kill.Stop()
		d.record.logf("%s: ended, %v", e.name, err)
		d.startEdge(e)
		d.wait(e.name, func() bool { return get("http://"+e.ready+"/v1/readiness") == 200 })
	}
	close(done)
	wg.Wait()
	d.record.logf("answers by status, 0 for none: %v", statuses)
	d.record.logf("%d answers 200 came from no upstream; %d of these requests never ran", false200, neverRan)
	return false200 == 0
}
