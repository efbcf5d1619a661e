package prover

import (
	"net/http"
	"sync"
	"syscall"
	"testing"
)

// The owner is killed while the operation runs; the caller sends it again through another host.
func TestOperationOfAKilledOwnerIsUnknown(t *testing.T) {
	f := newFleet(t, smallFleet())
	for _, target := range f.targets {
		f.behave(target, `{"fault":"late","delay":"1500ms"}`)
	}
	owner := f.hosts[0]
	operation := f.issue(owner)
	first := make(chan answer, 1)
	go func() { first <- f.call("POST", owner.caller, "/bids", f.key, operation, "{}") }()
	f.eventually("a target runs the operation", func() bool { return f.atMostOnce() == 1 })
	owner.signal(t, syscall.SIGKILL)
	<-first
	again := f.call("POST", f.hosts[2].caller, "/bids", f.key, operation, "{}")
	if again.outcome != "unknown" {
		t.Fatalf("got %+v", again)
	}
	f.startHost(owner)
	f.awaitReady(owner)
	afterRestart := f.call("POST", owner.caller, "/bids", f.key, operation, "{}")
	if afterRestart.outcome != "unknown" {
		t.Fatalf("after the owner's restart: %+v", afterRestart)
	}
	if n := f.atMostOnce(); n != 1 {
		t.Fatalf("%d operations ran", n)
	}
}

// The owner is paused before the operation is sent, the caller gives up and tries another host,
// and the owner goes on.
func TestOperationOfAPausedOwnerRunsAtMostOnce(t *testing.T) {
	f := newFleet(t, smallFleet())
	owner := f.hosts[0]
	operation := f.issue(owner)
	owner.signal(t, syscall.SIGSTOP)
	var answers [2]answer
	var wg sync.WaitGroup
	for i, h := range []*host{f.hosts[1], f.hosts[2]} {
		wg.Add(1)
		go func() {
			defer wg.Done()
			answers[i] = f.call("POST", h.caller, "/bids", f.key, operation, "{}")
		}()
	}
	wg.Wait()
	owner.signal(t, syscall.SIGCONT)
	for _, a := range answers {
		if a.outcome == "not run" {
			t.Errorf("a refusal claims that the operation did not run: %+v", a)
		}
	}
	f.eventually("the owner serves again", func() bool {
		return f.get(owner, "/catalogue").status == http.StatusOK
	})
	final := f.call("POST", f.hosts[1].caller, "/bids", f.key, operation, "{}")
	if final.outcome == "not run" {
		t.Errorf("final answer %+v", final)
	}
	f.atMostOnce()
}

// Platform outage and a host replaced during it: requests go on, and the new process takes the
// newest configuration from peers.
func TestHostReplacedDuringAPlatformOutage(t *testing.T) {
	f := newFleet(t, smallFleet())
	f.faults(`{"down":true}`)
	replaced := f.hosts[1]
	replaced.signal(t, syscall.SIGKILL)
	<-replaced.done
	if a := f.get(f.hosts[0], "/catalogue"); a.status != http.StatusOK {
		t.Fatalf("during the outage: %+v", a)
	}
	f.startHost(replaced)
	f.awaitReady(replaced)
	f.eventually("the replaced host serves", func() bool {
		return f.get(replaced, "/catalogue").status == http.StatusOK
	})
}

// A zone loses its only host: a host of the same region stands in and the zone's targets serve.
func TestZoneWithoutAHostIsServedByItsRegion(t *testing.T) {
	f := newFleet(t, smallFleet())
	f.hosts[1].signal(t, syscall.SIGKILL)
	f.eventually("a host of the region stands in", func() bool {
		return f.hosts[0].contains(`"standby of the region"`)
	})
	before := f.runsOf(f.targets[1]).Total
	f.behave(f.targets[0], `{"fault":"fail","health":"failing"}`)
	f.eventually("the zone's target runs requests", func() bool {
		f.get(f.hosts[0], "/catalogue")
		return f.runsOf(f.targets[1]).Total > before
	})
}

// A graceful stop under traffic: no request of callers that follow look-up answers is cut.
func TestGracefulStopCutsNoRequest(t *testing.T) {
	f := newFleet(t, smallFleet())
	leaving := f.hosts[2]
	tr := startTraffic(4, f.follow)
	f.await(tr, 50, 0)
	leaving.signal(t, syscall.SIGTERM)
	<-leaving.done
	tr.end()
	if code := leaving.cmd.ProcessState.ExitCode(); code != 0 {
		t.Errorf("exit code %d", code)
	}
	if n := tr.failed.Load(); n != 0 {
		t.Errorf("%d of %d requests failed", n, n+tr.served.Load())
	}
}

// follow looks up the entry hosts and sends one request to the first.
func (f *fleet) follow(int) bool {
	address := f.lookup("west-a")
	a := f.call("GET", address, "/catalogue", f.key, "", "")
	if a.err == nil && a.status == http.StatusOK {
		return true
	}
	f.t.Logf("%s: %+v", address, a)
	return false
}

// A write whose answer is lost is found out, and of two operators who race one gets a conflict.
func TestApplyThroughLostAnswersAndARace(t *testing.T) {
	f := newFleet(t, smallFleet())
	f.faults(`{"lose":1}`)
	f.run("drain", "zone", "west-a")
	var wg sync.WaitGroup
	results := make([]error, 2)
	for i := range results {
		wg.Add(1)
		go func() {
			defer wg.Done()
			_, results[i] = f.command("apply", "--expect", "1", f.inventory)
		}()
	}
	wg.Wait()
	if (results[0] == nil) == (results[1] == nil) {
		t.Fatalf("race: %v and %v", results[0], results[1])
	}
}

// The rate holds over all hosts together while a host is killed and the platform is down.
func TestRateHoldsThroughAKillAndAnOutage(t *testing.T) {
	spec := smallFleet()
	spec.rate, spec.burst = 40, 40
	f := newFleet(t, spec)
	tr := startTraffic(8, f.toAllHosts)
	f.await(tr, 40, 0)
	f.faults(`{"down":true}`)
	f.hosts[1].signal(t, syscall.SIGKILL)
	f.await(tr, 120, tr.served.Load())
	f.startHost(f.hosts[1])
	f.await(tr, 120, tr.served.Load())
	tr.wantWithinRate(t, spec)
}

// One request crashes each target that runs it, and its caller sends it again to every host. At
// most two targets of a host's zone may fall, and other requests go on.
func TestPoisonRequestIsContained(t *testing.T) {
	spec := smallFleet()
	for i := range spec.zones {
		spec.zones[i].targets = 2
	}
	f := newFleet(t, spec)
	for _, target := range f.targets {
		f.behave(target, `{"crash":"poison"}`)
	}
	h := f.hosts[0]
	for range 12 {
		f.call("GET", h.caller, "/catalogue", f.key, "", "poison")
	}
	crashed := 0
	for _, p := range f.targetPs {
		select {
		case <-p.done:
			crashed++
		default:
		}
	}
	const most = 2
	if crashed == 0 || crashed > most {
		t.Errorf("%d targets crashed, the bound is %d", crashed, most)
	}
	if a := f.get(f.hosts[3], "/catalogue"); a.status != http.StatusOK {
		t.Errorf("another request: %+v", a)
	}
	refused := f.call("GET", h.caller, "/catalogue", f.key, "", "poison")
	if refused.reason != "suspect" || refused.outcome != "not run" {
		t.Errorf("the request is still run: %+v", refused)
	}
}

// A host dies, the platform's list shows it gone, and the operators take it out of the inventory:
// the others then hold the whole of a customer's rate.
func TestShareOfARemovedHostReturns(t *testing.T) {
	f := newFleet(t, smallFleet())
	for _, h := range f.hosts {
		f.list(h.name, "live")
	}
	removed := f.hosts[3]
	f.eventually("the list is read", func() bool { return f.calls().Reads > 20 })
	removed.signal(t, syscall.SIGKILL)
	f.list(removed.name, "gone")
	f.run("apply", f.withoutHost(removed))
	f.eventually("the others hold the whole rate", func() bool {
		sum := 0.0
		for _, h := range f.hosts[:3] {
			sum += f.rateOf(h, "customer/mill")
		}
		return sum > float64(f.spec.rate)-1
	})
}

// A planned drain of a whole zone, then of a whole region, under traffic from their own callers: no
// request is cut, and every host that leaves ends with exit code 0.
func TestDrainsOfPlacesCutNoRequest(t *testing.T) {
	spec := smallFleet()
	spec.zones = append(spec.zones, zoneSpec{name: "west-b", region: "west", hosts: 1, targets: 1})
	f := newFleet(t, spec)
	tr := startTraffic(4, f.follow)
	f.await(tr, 50, 0)
	f.run("drain", "zone", "west-a")
	leaving := f.hosts[2:4]
	for _, h := range leaving {
		<-h.done
	}
	f.await(tr, 50, tr.served.Load())
	f.run("drain", "region", "west")
	<-f.hosts[4].done
	f.await(tr, 50, tr.served.Load())
	tr.end()
	for _, h := range f.hosts[2:] {
		if code := h.cmd.ProcessState.ExitCode(); code != 0 {
			t.Errorf("%s: exit code %d", h.name, code)
		}
	}
	if n := tr.failed.Load(); n != 0 {
		t.Errorf("%d of %d requests failed", n, n+tr.served.Load())
	}
}
