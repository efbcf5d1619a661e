package main

import (
	"flag"
	"fmt"
	"net/http"
	"os"
	"path/filepath"
	"strings"
	"sync"
	"time"
)

const (
	// uploadBytes is the largest upload of the site file, and uploadDeadline its deadline.
	uploadBytes    = 360_000
	uploadDeadline = 4 * time.Second
	// uploadWork is how long an upstream works on an upload.
	uploadWork = 2200 * time.Millisecond
	// uploadWindow is the receive buffer of the upstreams' connections.
	uploadWindow = 64 << 10
	// uploadCount is the number of uploads, one every uploadGap; the host gets SIGTERM after the
	// first termAfter of them.
	uploadCount = 16
	uploadGap   = 60 * time.Millisecond
	termAfter   = 10
)

const uploadsConfig = `{
  "version": "r1",
  "routes": {"reports": {"host": "woolshed.example", "path_prefix": "/reports/", "kind": "upload",
    "service": "woolshed", "timeout_ms": 4000, "objective_ms": 600, "priority": 1, "attempts": 2, "sticky": false}},
  "services": {"woolshed": {"health_path": "/health", "conn_limit": 390, "cold_s": 3, "cold_per_s": 79}},
  "limits": {"header_bytes": 16384, "body_bytes": 67108864, "header_timeout_ms": 3000, "idle_timeout_ms": 15000}
}`

// upload is what a client has seen of an upload.
type upload struct {
	id     string
	sentAt time.Time
	// status is 0 if there was no complete answer; stamped says that the answer is an upstream's.
	status  int
	stamped bool
	err     error
	endedAt time.Time
}

// runUploads runs case 7: a host is stopped while upstreams work on uploads that they read late.
func runUploads(args []string) int {
	fs := flag.NewFlagSet("uploads", flag.ExitOnError)
	root := fs.String("root", ".", "root of the repository")
	out := fs.String("record", "record.txt", "file of the record")
	trouble := fs.Bool("trouble", true, "whether the upstreams read the bodies late")
	_ = fs.Parse(args)
	rec, err := newRecord(*out)
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return exitCannotRun
	}
	work, err := os.MkdirTemp("", "uploads")
	if err != nil {
		return exitCannotRun
	}
	defer func() { _ = os.RemoveAll(work) }()
	code, err := uploads(rec, *root, work, *trouble)
	if err != nil {
		rec.add("can't run: %v", err)
		return exitCannotRun
	}
	return code
}

func uploads(rec *record, root, work string, trouble bool) (int, error) {
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
	if err := os.WriteFile(config, []byte(uploadsConfig), 0o644); err != nil {
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
	zones := map[string]string{"east-a": "east", "east-b": "east"}
	var targets []string
	for _, z := range []string{"east-a", "east-b"} {
		id := "woolshed-" + z
		targets = append(targets, filepath.Join(work, id+".log"))
		if _, err := begin(startProcess(rec, root, filepath.Join(work, id+".log"), id, false, nil,
			self, "target", "--id", id, "--store", store[0], "--service", "woolshed", "--zone", z,
			"--work", uploadWork.String(), fmt.Sprintf("--late=%v", trouble),
			"--window", fmt.Sprint(uploadWindow))); err != nil {
			return 0, err
		}
	}
	var hosts []*process
	var settings []hostSettings
	for i, z := range []string{"east-a", "east-b"} {
		ip := fmt.Sprintf("127.0.0.%d", i+1)
		a, err := freeAddresses(ip, 4)
		if err != nil {
			return 0, err
		}
		h := hostSettings{
			name: "edge-" + z, ip: ip, zone: z, callers: a[0], directory: a[1], ready: a[2], peer: a[3],
			store: store[0], zones: zones, memory: machineMemory, files: machineFiles,
		}
		p, err := begin(startHost(rec, root, work, h, 0))
		if err != nil {
			return 0, err
		}
		hosts, settings = append(hosts, p), append(settings, h)
	}
	for _, h := range settings {
		if !awaitReady(h.ready, 20*time.Second) {
			return 0, fmt.Errorf("%s isn't ready", h.name)
		}
	}
	time.Sleep(5 * time.Second)
	rec.add("two hosts are ready; %s gets %d uploads of %d bytes, and SIGTERM after %d of them",
		settings[0].name, uploadCount, uploadBytes, termAfter)
	list := make([]*upload, uploadCount)
	var wg sync.WaitGroup
	var termAt time.Time
	for i := range list {
		if i == termAfter {
			termAt = time.Now()
			hosts[0].terminate()
			rec.add("SIGTERM to %s", settings[0].name)
		}
		list[i] = &upload{id: fmt.Sprintf("upload-%02d", i)}
		wg.Add(1)
		go func() {
			defer wg.Done()
			list[i].send(settings[0].callers)
		}()
		time.Sleep(uploadGap)
	}
	wg.Wait()
	time.Sleep(3 * time.Second)
	begun := map[string]string{}
	for _, path := range targets {
		data, err := os.ReadFile(path)
		if err != nil {
			return 0, err
		}
		for line := range strings.SplitSeq(strings.TrimSpace(string(data)), "\n") {
			words := strings.Fields(line)
			if len(words) < 4 {
				continue
			}
			id := words[len(words)-1]
			begun[id] += " | " + strings.Join(words[1:len(words)-1], " ")
		}
	}
	broken := 0
	for _, u := range list {
		took := u.endedAt.Sub(u.sentAt)
		rec.add("%s sent %+.3f s from SIGTERM, ended after %.3f s: status %d, stamped %v, error %v; upstream%s",
			u.id, u.sentAt.Sub(termAt).Seconds(), took.Seconds(), u.status, u.stamped, u.err, begun[u.id])
		// The rule LOST, after a SIGTERM: the upstream had begun, and the host has put an answer of its
		// own, or none, in place of the upstream's, before the deadline and well before the last sixth
		// of the grace period.
		if begun[u.id] != "" && !u.stamped && took < uploadDeadline-500*time.Millisecond &&
			u.endedAt.After(termAt) && u.endedAt.Sub(termAt) < 4500*time.Millisecond {
			broken++
		}
	}
	if broken > 0 {
		rec.add("rule LOST is broken: %d uploads at which an upstream was at work were broken off", broken)
		return exitBroken, nil
	}
	rec.add("rule LOST holds")
	return exitHeld, nil
}

// send sends the upload to a host and reads the answer.
func (u *upload) send(address string) {
	defer func() { u.endedAt = time.Now() }()
	u.sentAt = time.Now()
	c, err := dial(address)
	if err != nil {
		u.err = err
		return
	}
	defer func() { _ = c.Close() }()
	head := fmt.Sprintf("POST /reports/%s HTTP/1.1\r\nHost: woolshed.example\r\nX-Request-Id: %s\r\n"+
		"X-Request-Deadline: %d\r\nContent-Length: %d\r\n\r\n", u.id, u.id, uploadDeadline.Milliseconds(), uploadBytes)
	var resp *http.Response
	resp, _, u.err = c.exchange(head+strings.Repeat("x", uploadBytes), uploadDeadline+time.Second)
	if u.err == nil {
		u.status, u.stamped = resp.StatusCode, resp.Header.Get("X-Server-Stamp") != ""
	}
}
