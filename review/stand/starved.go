package main

import (
	"fmt"
	"math/rand/v2"
	"net"
	"net/http"
	"sync"
	"time"
)

func init() { cases["starved"] = starved }

const (
	lossLead      = 3 * time.Second // before the lost answers
	lossLength    = 4 * time.Second // of the lost answers
	lossShare     = 0.6             // part of the upstreams that lose answers
	lossPart      = 0.4             // part of their answers that they lose
	lossUpstreams = 20
	lossHosts     = 7 // as on the sheet
	lossWork      = 100 * time.Millisecond
	starvedAfter  = 60 * time.Second // after the lost answers
	starvedPause  = 200 * time.Millisecond
	starvedWait   = 3 * time.Second // deadline
	pageClients   = 12              // kept connections to each host, half of them of each tenant
	hotPages      = 1
	growerKey     = "grower-key"
)

// starved plays two tenants while upstreams lose answers for some seconds: one reads the same
// page again and again, the other reads another page each time.
func starved(d *deployment, trouble bool) bool {
	d.startStore(config(int(starvedWait.Milliseconds())))
	var begin time.Time // set before the first request
	for i := range lossUpstreams {
		u := startUpstream(fmt.Sprintf("i-%d", i), []string{"east-a", "east-b"}[i%2], 9)
		loses := trouble && float64(i/2) < lossShare*lossUpstreams/2
		u.onRun = func(u *upstream, r *http.Request, _ []byte) {
			d.record.logf("%s: runs %s", u.id, r.Header.Get(headers.ID))
		}
		u.answer = func(u *upstream, conn net.Conn, r *http.Request, _ []byte) bool {
			time.Sleep(lossWork)
			since := time.Since(begin) - lossLead
			if loses && since > 0 && since < lossLength && rand.Float64() < lossPart {
				d.record.logf("%s: loses the answer to %s", u.id, r.Header.Get(headers.ID))
				_ = conn.(*net.TCPConn).SetLinger(0)
				return false
			}
			return u.reply(conn, r, []byte("page"))
		}
		d.register(u)
	}
	d.startEdges(lossHosts)
	begin = time.Now()
	calm := begin.Add(lossLead + lossLength + time.Second)
	end := begin.Add(lossLead + lossLength + starvedAfter)
	var mu sync.Mutex
	sent, served := map[string]int{}, map[string]int{}
	later := map[string]int{}
	var wg sync.WaitGroup
	for _, e := range d.edges {
		for k := range pageClients {
			wg.Go(func() {
				tenant, cl := "mill", client{front: e.front}
				if k%2 == 1 {
					tenant, cl.key = "grower", growerKey
				}
				defer cl.close()
				for time.Now().Before(end) {
					path := fmt.Sprintf("/read/prices-%d", rand.IntN(hotPages))
					if tenant == "grower" {
						path = "/read/lot-" + nextID()
					}
					r := cl.do(http.MethodGet, path, "", starvedWait)
					d.record.logf("client of %s: sent %s of %s for %s at %.3f, answer %d %v", e.name, r.id, tenant,
						path, r.sent.Sub(d.record.start).Seconds(), r.status, r.err)
					mu.Lock()
					sent[tenant]++
					if r.status == http.StatusOK {
						served[tenant]++
					}
					if r.sent.After(calm) {
						later[fmt.Sprintf("%s %d", tenant, r.status)]++
					}
					mu.Unlock()
					time.Sleep(starvedPause)
				}
			})
		}
	}
	wg.Wait()
	all := float64(served["mill"]+served["grower"]) / float64(sent["mill"]+sent["grower"])
	held := true
	for tenant, n := range sent {
		share := float64(served[tenant]) / float64(n)
		d.record.logf("%s: %d of %d requests were served, %.3f; of all requests, %.3f", tenant, served[tenant], n, share, all)
		held = held && share >= all/4
	}
	d.record.logf("answers by tenant and status from a second after the trouble on: %v", later)
	return held
}
