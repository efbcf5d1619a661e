package main

import (
	"bytes"
	"encoding/json"
	"flag"
	"fmt"
	"io"
	"math/rand"
	"net/http"
	"os"
	"path/filepath"
	"strconv"
	"sync"
	"time"
)

const (
	// balanceRate and bundleRate are the requests a second on the route that is added later and on
	// the first one.
	balanceRate = 6.0
	bundleRate  = 6.0
	// nearlyFullFactor is how many times longer an upstream works while it is nearly full.
	nearlyFullFactor = "2.1"
	// burstFactor and burstTime are the largest dose of `burst` of the site file.
	burstFactor = 2.4
	burstTime   = 6600 * time.Millisecond
	// The phases of the case, from the first request on.
	burstAt  = 12 * time.Second
	steadyAt = burstAt + burstTime + 15*time.Second
	latchEnd = steadyAt + 20*time.Second
)

// latchRoute is a route of the case, with the figures of a sheet.
type latchRoute struct {
	name, host, prefix, service string
	deadline, work              time.Duration
	rate                        float64
}

var latchRoutes = []latchRoute{
	{"statement-bundle", "bundles.example", "/bundles/", "statement-store", 4 * time.Second, 720 * time.Millisecond, bundleRate},
	{"balance-lookup", "balance.example", "/balances/", "balance-api", 4 * time.Second, 880 * time.Millisecond, balanceRate},
}

// runLatch runs case 8: a burst, and what a route that was added later gets long after it.
func runLatch(args []string) int {
	fs := flag.NewFlagSet("latch", flag.ExitOnError)
	root := fs.String("root", ".", "root of the repository")
	out := fs.String("record", "record.txt", "file of the record")
	trouble := fs.Bool("trouble", true, "whether there is a burst")
	_ = fs.Parse(args)
	rec, err := newRecord(*out)
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return exitCannotRun
	}
	work, err := os.MkdirTemp("", "latch")
	if err != nil {
		return exitCannotRun
	}
	defer func() { _ = os.RemoveAll(work) }()
	code, err := latch(rec, *root, work, *trouble)
	if err != nil {
		rec.add("can't run: %v", err)
		return exitCannotRun
	}
	return code
}

func latch(rec *record, root, work string, trouble bool) (int, error) {
	self, err := os.Executable()
	if err != nil {
		return 0, err
	}
	var all []*process
	defer func() {
		for _, p := range all {
			p.stop()
		}
	}()
	begin := func(p *process, err error) (*process, error) {
		if err == nil {
			all = append(all, p)
		}
		return p, err
	}
	config := filepath.Join(work, "config.json")
	if err := os.WriteFile(config, wire.LatchFirst, 0o644); err != nil {
		return 0, err
	}
	store, err := freeAddresses("127.0.0.1", 1)
	if err != nil {
		return 0, err
	}
	if _, err := begin(startProcess(rec, root, filepath.Join(work, "store.log"), "store", false, nil,
		"bin/platform", "--listen", store[0], "--config", config)); err != nil {
		return 0, err
	}
	time.Sleep(500 * time.Millisecond)
	names := []string{"east-a"}
	zones := map[string]string{"east-a": "east"}
	var upstreams []string
	for _, z := range names {
		for _, r := range latchRoutes {
			for _, n := range []string{"1", "2"} {
				id := r.service + "-" + z + n
				upstreams = append(upstreams, id)
				if _, err := begin(startProcess(rec, root, filepath.Join(work, id+".log"), id, false, nil,
					self, "target", "--id", id, "--store", store[0], "--service", r.service, "--zone", z,
					"--work", r.work.String(), "--slots", "9", "--queue", "27", "--nearly", nearlyFullFactor)); err != nil {
					return 0, err
				}
			}
		}
	}
	var fronts []string
	var hosts []*process
	for i, z := range names {
		ip := fmt.Sprintf("127.0.0.%d", i+1)
		a, err := freeAddresses(ip, 4)
		if err != nil {
			return 0, err
		}
		p, err := begin(startHost(rec, root, work, hostSettings{
			name: "edge-" + z, ip: ip, zone: z, callers: a[0], directory: a[1], ready: a[2], peer: a[3],
			store: store[0], zones: zones, memory: machineMemory, files: machineFiles,
		}, 0))
		if err != nil {
			return 0, err
		}
		if !awaitReady(a[2], 20*time.Second) {
			return 0, fmt.Errorf("edge-%s isn't ready", z)
		}
		fronts, hosts = append(fronts, a[0]), append(hosts, p)
	}
	time.Sleep(5 * time.Second)
	if err := putConfig(store[0], wire.LatchLater); err != nil {
		return 0, err
	}
	rec.add("one host with two upstreams for each service is ready; version r2 has added the route balance-lookup")
	time.Sleep(4 * time.Second)
	l := &latchLoad{
		rec: rec, fronts: fronts, trouble: trouble, start: time.Now(),
		client: &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 100, IdleConnTimeout: 10 * time.Second}},
		counts: map[string]map[string]int{},
	}
	var wg sync.WaitGroup
	for _, r := range latchRoutes {
		wg.Add(1)
		go func() {
			defer wg.Done()
			l.run(r)
		}()
	}
	wg.Wait()
	for _, id := range upstreams {
		data, err := os.ReadFile(filepath.Join(work, id+".log"))
		if err != nil {
			return 0, err
		}
		last := l.start
		for line := range bytes.SplitSeq(data, []byte("\n")) {
			if ms, err := strconv.ParseInt(string(bytes.SplitN(line, []byte(" "), 2)[0]), 10, 64); err == nil && ms > 0 {
				last = time.UnixMilli(ms)
			}
		}
		rec.add("%s: last request begun or ended %.1f s after the first one", id, last.Sub(l.start).Seconds())
	}
	for _, p := range hosts {
		rec.add("%s has ended by itself %d times", p.name, p.ownEnds())
	}
	first, later := l.share("statement-bundle"), l.share("balance-lookup")
	rec.add("steady state: statement-bundle %v, balance-lookup %v", l.counts["statement-bundle"], l.counts["balance-lookup"])
	if l.total("balance-lookup") >= 20 && later < first/4 {
		rec.add("rule CONFIG is broken: the route that was added later is served %.3f, the first one %.3f", later, first)
		return exitBroken, nil
	}
	rec.add("rule CONFIG holds: the route that was added later is served %.3f, the first one %.3f", later, first)
	return exitHeld, nil
}

// putConfig writes a version of the desired state, as the operator does.
func putConfig(store string, config json.RawMessage) error {
	data, err := json.Marshal(map[string]any{"metadata": map[string]any{"name": "main"}, "specification": config})
	if err != nil {
		return err
	}
	req, err := http.NewRequest(http.MethodPut, "http://"+store+"/v1/objects/config/main", bytes.NewReader(data))
	if err != nil {
		return err
	}
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		return err
	}
	defer func() { _ = resp.Body.Close() }()
	if resp.StatusCode != http.StatusOK {
		return fmt.Errorf("the store answers %d", resp.StatusCode)
	}
	return nil
}

// latchLoad sends the requests of the case and counts how those of the steady state end.
type latchLoad struct {
	rec     *record
	fronts  []string
	trouble bool
	start   time.Time
	client  *http.Client

	mu     sync.Mutex
	counts map[string]map[string]int
}

// run sends a route's requests at its rate, each to one of the hosts.
func (l *latchLoad) run(r latchRoute) {
	var wg sync.WaitGroup
	window := map[string]int{}
	reported := time.Now()
	for i := 0; time.Since(l.start) < latchEnd; i++ {
		at := time.Since(l.start)
		rate := r.rate
		if l.trouble && at >= burstAt && at < burstAt+burstTime {
			rate *= burstFactor
		}
		// Evenly spread, by up to half a pause earlier or later.
		time.Sleep(time.Duration((0.5 + rand.Float64()) / rate * float64(time.Second)))
		wg.Add(1)
		go func() {
			defer wg.Done()
			sent := time.Since(l.start)
			end := l.call(r, i)
			l.mu.Lock()
			defer l.mu.Unlock()
			window[end]++
			if sent < steadyAt {
				return
			}
			if l.counts[r.name] == nil {
				l.counts[r.name] = map[string]int{}
			}
			l.counts[r.name][end]++
		}()
		if time.Since(reported) > 5*time.Second {
			reported = time.Now()
			l.mu.Lock()
			l.rec.add("%s, %.0f s after the first request: ended in the last 5 s: %v", r.name, at.Seconds(), window)
			clear(window)
			l.mu.Unlock()
		}
	}
	wg.Wait()
}

// call sends a request and, as the sheet says, repeats it once: after Retry-After, of which at most a
// third of the time left counts.
func (l *latchLoad) call(r latchRoute, n int) string {
	start := time.Now()
	end, after := l.attempt(r, fmt.Sprintf("%s-%d-a", r.name, n), r.deadline)
	if end == "200" {
		return end
	}
	left := r.deadline - time.Since(start)
	time.Sleep(min(after, left/3))
	if left = r.deadline - time.Since(start); left < 50*time.Millisecond {
		return end
	}
	end, _ = l.attempt(r, fmt.Sprintf("%s-%d-b", r.name, n), left)
	return end
}

func (l *latchLoad) attempt(r latchRoute, id string, left time.Duration) (string, time.Duration) {
	req, err := http.NewRequest(http.MethodGet, "http://"+l.fronts[rand.Intn(len(l.fronts))]+r.prefix+id, nil)
	if err != nil {
		return err.Error(), 0
	}
	req.Host = r.host
	req.Header.Set("X-Request-Id", id)
	req.Header.Set(wire.Headers.Deadline, strconv.FormatInt(left.Milliseconds(), 10))
	req.Header.Set("Cookie", fmt.Sprintf("%s=%d", wire.Headers.Object, rand.Intn(100)))
	c := http.Client{Transport: l.client.Transport, Timeout: left}
	resp, err := c.Do(req)
	if err != nil {
		return "no answer", 0
	}
	defer func() { _ = resp.Body.Close() }()
	_, _ = io.Copy(io.Discard, resp.Body)
	seconds, _ := strconv.ParseFloat(resp.Header.Get("Retry-After"), 64)
	return strconv.Itoa(resp.StatusCode), time.Duration(seconds * float64(time.Second))
}

func (l *latchLoad) total(route string) int {
	n := 0
	for _, c := range l.counts[route] {
		n += c
	}
	return n
}

func (l *latchLoad) share(route string) float64 {
	return float64(l.counts[route]["200"]) / float64(max(l.total(route), 1))
}
