package main

import (
	"bytes"
	"fmt"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"strconv"
	"strings"
	"sync"
	"time"
)

func init() { cases["endless"] = endless }

const (
	endlessUpstreams = 20
	endlessShare     = 0.6              // part of the upstreams that spoil answers
	endlessPart      = 0.05             // part of their answers that they spoil
	endlessRate      = 1300 << 10       // bytes a second of a spoiled answer
	endlessTimeout   = 12 * time.Second // of the route
	endlessDeadline  = 25 * time.Second // of the clients
	endlessWork      = 200 * time.Millisecond
	endlessClients   = 70 // kept connections to each host: the 400 requests a second of the sheet
	endlessPause     = 150 * time.Millisecond
	endlessLength    = 6 * time.Second  // of a time of spoiled answers
	endlessInterval  = 20 * time.Second // from one such time to the next
	endlessDuration  = 2 * endlessInterval
	endlessLead      = 3 * time.Second // before the first such time
	restartDelay     = time.Second
)

// endless plays upstreams that spoil a part of their answers: bytes that are no answer come without
// end, until the caller closes. Machines are killed where they exceed their memory, as the
// platform does.
func endless(d *deployment, trouble bool) bool {
	d.startStore(config(int(endlessTimeout.Milliseconds())))
	var begin time.Time // set before the first request
	var mu sync.Mutex
	soundRuns := map[string]string{}
	for i := range endlessUpstreams {
		u := startUpstream(fmt.Sprintf("i-%d", i), []string{"east-a", "east-b"}[i%2], 9)
		faulty := trouble && float64(i/2) < endlessShare*endlessUpstreams/2
		u.answer = func(u *upstream, conn net.Conn, r *http.Request, _ []byte) bool {
			time.Sleep(endlessWork)
			since := time.Since(begin)
			if faulty && since >= 0 && since%endlessInterval < endlessLength && rand.Float64() < endlessPart {
				d.record.logf("%s: spoils its answer to %s", u.id, r.Header.Get(headers.ID))
				spoil(u, conn, r)
				return false
			}
			return u.reply(conn, r, bytes.Repeat([]byte("a"), 5000))
		}
		u.onRun = func(u *upstream, r *http.Request, _ []byte) {
			d.record.logf("%s: runs %s", u.id, r.Header.Get(headers.ID))
			if !faulty {
				mu.Lock()
				soundRuns[r.Header.Get(headers.ID)] = u.id
				mu.Unlock()
			}
		}
		d.register(u)
	}
	d.startEdges(2)
	begin = time.Now().Add(endlessLead)
	end := begin.Add(endlessDuration)
	var wg sync.WaitGroup
	lost := make([]int, len(d.edges))
	answered, failed := 0, 0
	ends := make([]int, len(d.edges))
	for i, e := range d.edges {
		wg.Go(func() { ends[i] = d.enforceMemory(e, end) })
		for range endlessClients {
			wg.Go(func() {
				c := client{front: e.front}
				defer c.close()
				for time.Now().Before(end) {
					r := c.do(http.MethodGet, fmt.Sprintf("/read/lot-%d", rand.IntN(100000)), "", endlessDeadline)
					d.record.logf("client of %s: sent %s at %.3f on a kept connection %t, answer %d %v",
						e.name, r.id, r.sent.Sub(d.record.start).Seconds(), r.kept, r.status, r.err)
					mu.Lock()
					_, ran := soundRuns[r.id]
					switch {
					case r.err == nil && r.status == 200:
						answered++
					case r.err != nil && r.kept && ran:
						lost[i]++
						d.record.logf("%s: LOST: %s ran at the sound %s, the connection ended: %v",
							e.name, r.id, soundRuns[r.id], r.err)
					default:
						failed++
					}
					mu.Unlock()
					time.Sleep(endlessPause)
				}
			})
		}
	}
	wg.Wait()
	held := true
	for i, e := range d.edges {
		d.record.logf("%s: ended for its memory %d times; %d requests from kept connections were passed "+
			"on to a sound upstream and got no answer", e.name, ends[i], lost[i])
		held = held && lost[i] <= 3
	}
	d.record.logf("%d requests were answered 200, %d otherwise", answered, failed)
	return held
}

// spoil sends the head of an answer in chunks, then bytes that are no chunk, until the caller
// closes.
func spoil(u *upstream, conn net.Conn, r *http.Request) {
	if _, err := conn.Write([]byte(u.head(r, "Transfer-Encoding: chunked") + "5;")); err != nil {
		return
	}
	const steps = 50
	part := bytes.Repeat([]byte("x"), endlessRate/steps)
	for {
		if _, err := conn.Write(part); err != nil {
			return
		}
		time.Sleep(time.Second / steps)
	}
}

// enforceMemory does what the platform does: it kills a process that exceeds its memory and
// starts it again after a short delay. It returns how often.
func (d *deployment) enforceMemory(e *edge, end time.Time) int {
	kills, peak := 0, 0
	for time.Now().Before(end) {
		time.Sleep(10 * time.Millisecond)
		mb := residentMB(e.cmd.Process.Pid)
		peak = max(peak, mb)
		if mb <= d.memoryMB {
			continue
		}
		kills++
		d.record.logf("%s: process %d has %d MB of %d, killed", e.name, e.cmd.Process.Pid, mb, d.memoryMB)
		_ = e.cmd.Process.Kill()
		_ = e.cmd.Wait()
		time.Sleep(restartDelay)
		d.startEdge(e)
	}
	d.record.logf("%s: peak of the memory %d MB", e.name, peak)
	return kills
}

// residentMB returns the memory of a process without the pages of its program file.
func residentMB(pid int) int {
	data, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", pid))
	if err != nil {
		return 0
	}
	_, rest, _ := strings.Cut(string(data), "RssAnon:")
	fields := strings.Fields(rest)
	if len(fields) == 0 {
		return 0
	}
	kb, _ := strconv.Atoi(fields[0])
	return kb / 1024
}
