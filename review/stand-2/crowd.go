package main

import (
	"flag"
	"fmt"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"time"
)

const (
	// machineFiles and machineMemory are the sheet's figures for the smaller machines.
	machineFiles  = 4100
	machineMemory = 284
	// callersPerHost is what the users' target comes to: 3.9 million blocks of clients on 1,600 nodes.
	callersPerHost = 2437
	// keptLookups is how many of them keep their connection to the directory open.
	keptLookups = 609
	// warmUp is the time until all callers are connected, and trouble when the one host is killed.
	warmUp = 22 * time.Second
	// watched is how long the other hosts are watched from then on.
	watched = 30 * time.Second
	// fatalEnds is the number of ends of a process by itself, and fatalMachines the number of
	// machines, from which the rule Fault is broken.
	fatalEnds     = 3
	fatalMachines = 2
)

// runCrowd runs case 6: three hosts with many callers, of which one is killed for good.
func runCrowd(args []string) int {
	fs := flag.NewFlagSet("crowd", flag.ExitOnError)
	root := fs.String("root", ".", "root of the repository")
	out := fs.String("record", "record.txt", "file of the record")
	trouble := fs.Bool("trouble", true, "whether the host is killed")
	_ = fs.Parse(args)
	rec, err := newRecord(*out)
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return exitCannotRun
	}
	work, err := os.MkdirTemp("", "crowd")
	if err != nil {
		return exitCannotRun
	}
	defer func() { _ = os.RemoveAll(work) }()
	code, err := crowd(rec, *root, work, *trouble)
	if err != nil {
		rec.add("can't run: %v", err)
		return exitCannotRun
	}
	return code
}

func crowd(rec *record, root, work string, trouble bool) (int, error) {
	if err := exec.Command("/bin/sh", "-c", fmt.Sprintf("ulimit -n %d", machineFiles)).Run(); err != nil {
		return 0, fmt.Errorf("no limit of %d descriptors here: %w", machineFiles, err)
	}
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
	if err := os.WriteFile(config, wire.Crowd, 0o644); err != nil {
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
	zones := map[string]string{"east-a": "east", "east-b": "east", "east-c": "east"}
	names := []string{"east-a", "east-b", "east-c"}
	for _, z := range names {
		for i := range 2 {
			id := fmt.Sprintf("saleroom-%s-%d", z, i)
			if _, err := begin(startProcess(rec, root, filepath.Join(work, id+".log"), id, false, nil,
				self, "target", "--id", id, "--store", store[0], "--service", "saleroom", "--zone", z)); err != nil {
				return 0, err
			}
		}
	}
	var hosts []*process
	var settings []hostSettings
	for i, z := range names {
		ip := fmt.Sprintf("127.0.0.%d", i+1)
		a, err := freeAddresses(ip, 4)
		if err != nil {
			return 0, err
		}
		h := hostSettings{
			name: "edge-" + z, ip: ip, zone: z, callers: a[0], directory: a[1], ready: a[2], peer: a[3],
			store: store[0], zones: zones, memory: machineMemory, files: machineFiles,
		}
		p, err := begin(startHost(rec, root, work, h, machineFiles))
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
	rec.add("three hosts are ready, each with %d descriptors; %d callers for each start", machineFiles, callersPerHost)
	stopProbes := make(chan struct{})
	defer close(stopProbes)
	for _, h := range settings {
		go probe(h.ready, stopProbes)
	}
	for i, z := range names {
		order := settings[i].directory
		for j := range settings {
			if j != i {
				order += "," + settings[j].directory
			}
		}
		if _, err := begin(startProcess(rec, root, filepath.Join(work, "callers-"+z+".log"), "callers-"+z, false, nil,
			self, "callers", "--zone", z, "--region", "east", "--host", "saleroom.example", "--path", "/catalogue/",
			"--directories", order, "--count", fmt.Sprint(callersPerHost), "--keep", fmt.Sprint(keptLookups))); err != nil {
			return 0, err
		}
	}
	report := func() {
		for i, p := range hosts {
			rec.add("%s: %d descriptors, ended by itself %d times", settings[i].name, p.descriptors(), p.ownEnds())
		}
		for _, p := range all {
			if len(p.name) > 8 && p.name[:8] == "callers-" {
				rec.add("%s: %s", p.name, p.lastLine())
			}
		}
	}
	time.Sleep(warmUp)
	report()
	if trouble {
		hosts[2].kill()
		rec.add("%s is killed and doesn't come back", settings[2].name)
	}
	for end := time.Now().Add(watched); time.Now().Before(end); {
		time.Sleep(5 * time.Second)
		report()
	}
	broken := 0
	for i, p := range hosts {
		n := p.ownEnds()
		rec.add("%s has ended by itself %d times", settings[i].name, n)
		if n >= fatalEnds {
			broken++
		}
	}
	if broken >= fatalMachines {
		rec.add("rule Fault is broken: processes of %d machines have ended by themselves %d times or more", broken, fatalEnds)
		return exitBroken, nil
	}
	rec.add("rule Fault holds")
	return exitHeld, nil
}

// awaitReady waits until the host's readiness check is answered with 200.
func awaitReady(address string, timeout time.Duration) bool {
	c := http.Client{Timeout: time.Second}
	for end := time.Now().Add(timeout); time.Now().Before(end); time.Sleep(100 * time.Millisecond) {
		resp, err := c.Get("http://" + address + "/v1/readiness")
		if err != nil {
			continue
		}
		_ = resp.Body.Close()
		if resp.StatusCode == http.StatusOK {
			return true
		}
	}
	return false
}

// probe asks for the readiness once a second, as the platform does.
func probe(address string, stop <-chan struct{}) {
	c := http.Client{Timeout: time.Second}
	for {
		select {
		case <-stop:
			return
		case <-time.After(time.Second):
		}
		if resp, err := c.Get("http://" + address + "/v1/readiness"); err == nil {
			_ = resp.Body.Close()
		}
	}
}
