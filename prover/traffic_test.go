package prover

import (
	"net/http"
	"sync"
	"sync/atomic"
	"testing"
	"time"
)

// traffic is requests that go on until it is ended.
type traffic struct {
	served atomic.Int64
	failed atomic.Int64
	start  time.Time
	stop   chan struct{}
	wg     sync.WaitGroup
}

// startTraffic runs workers that send one request after the other; send tells whether it was served.
func startTraffic(workers int, send func(worker int) bool) *traffic {
	tr := &traffic{start: time.Now(), stop: make(chan struct{})}
	for i := range workers {
		tr.wg.Add(1)
		go func() {
			defer tr.wg.Done()
			tr.work(func() bool { return send(i) })
		}()
	}
	return tr
}

func (tr *traffic) work(send func() bool) {
	for {
		select {
		case <-tr.stop:
			return
		default:
		}
		if send() {
			tr.served.Add(1)
		} else {
			tr.failed.Add(1)
		}
	}
}

// end stops the workers and returns how long they have run.
func (tr *traffic) end() time.Duration {
	close(tr.stop)
	tr.wg.Wait()
	return time.Since(tr.start)
}

// await waits until n more requests than before have been served.
func (f *fleet) await(tr *traffic, n, before int64) {
	f.t.Helper()
	f.eventually("requests are served", func() bool { return tr.served.Load() > before+n })
}

// toAllHosts sends look-ups of the customer to the hosts in turn.
func (f *fleet) toAllHosts(worker int) bool {
	a := f.get(f.hosts[worker%len(f.hosts)], "/catalogue")
	return a.err == nil && a.status == http.StatusOK
}

// wantWithinRate fails when more was served than the customer's burst and rate allow.
func (tr *traffic) wantWithinRate(t *testing.T, spec fleetSpec) {
	t.Helper()
	took := tr.end()
	most := float64(spec.burst) + float64(spec.rate)*took.Seconds()
	if n := float64(tr.served.Load()); n > most {
		t.Errorf("admitted %.0f, the bound is %.0f", n, most)
	}
}
