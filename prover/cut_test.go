package prover

import (
	"encoding/json"
	"net/http"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"
)

// isolate cuts a host from all others and from the platform.
func (f *fleet) isolate(h *host) {
	f.network.cut(h.ip, platformIP)
	for _, other := range f.hosts {
		if other != h {
			f.network.cut(h.ip, other.ip)
		}
	}
}

func (f *fleet) rejoin(h *host) {
	f.network.heal(h.ip, platformIP)
	for _, other := range f.hosts {
		f.network.heal(h.ip, other.ip)
	}
}

// A host that is cut off from the platform alone hears of a withdrawal from its peers.
func TestWithdrawalReachesAHostCutOffFromThePlatform(t *testing.T) {
	f := newFleet(t, smallFleet())
	cut := f.hosts[1]
	f.network.cut(cut.ip, platformIP)
	f.run("keys", "withdraw", "--key", f.key)
	f.eventually("the key is withdrawn on the cut host", func() bool {
		return f.get(cut, "/catalogue").status == http.StatusUnauthorized
	})
}

// A host that is cut off from everyone cannot know of withdrawals: by the standing rule it refuses
// keyed routes once the bound has passed, and open routes go on.
func TestIsolatedHostRefusesKeyedRoutes(t *testing.T) {
	f := newFleet(t, smallFleet())
	cut := f.hosts[0]
	f.isolate(cut)
	f.run("keys", "withdraw", "--key", f.key)
	f.eventually("keyed routes are refused", func() bool {
		a := f.get(cut, "/catalogue")
		return a.status == http.StatusServiceUnavailable && a.reason == "keys stale"
	})
	open := f.call("GET", cut.caller, "/public/prices", "", "", "")
	if open.status != http.StatusOK {
		t.Errorf("open route: %+v", open)
	}
	f.rejoin(cut)
	f.eventually("the withdrawal arrives", func() bool {
		return f.get(cut, "/catalogue").status == http.StatusUnauthorized
	})
}

// In an outage of the platform nobody can withdraw a key, so keyed routes go on past the bound.
func TestPlatformOutageKeepsKeyedRoutes(t *testing.T) {
	f := newFleet(t, smallFleet())
	f.faults(`{"down":true}`)
	for _, h := range f.hosts {
		f.eventually("the standing rule sees an outage on "+h.name, func() bool {
			f.get(h, "/catalogue")
			return h.contains("keys stale in an outage")
		})
		if a := f.get(h, "/catalogue"); a.status != http.StatusOK {
			t.Errorf("%s: %+v", h.name, a)
		}
	}
}

// A host is paused beyond the term of its loans while another one is cut off: the rate holds over
// all hosts together when both return.
func TestRateHoldsThroughAPauseAndACut(t *testing.T) {
	spec := smallFleet()
	spec.rate, spec.burst = 40, 40
	f := newFleet(t, spec)
	tr := startTraffic(8, f.toAllHosts)
	f.await(tr, 40, 0)
	f.hosts[0].signal(t, syscall.SIGSTOP)
	f.isolate(f.hosts[1])
	f.eventually("the others take the paused host for dead", func() bool {
		return f.stateOf(f.hosts[2], f.hosts[0].name) == "dead"
	})
	f.hosts[0].signal(t, syscall.SIGCONT)
	f.rejoin(f.hosts[1])
	f.await(tr, 120, tr.served.Load())
	tr.wantWithinRate(t, spec)
}

// stateOf returns a member's state as a host sees it.
func (f *fleet) stateOf(h *host, member string) string {
	out, err := f.command("status", "--admin", h.admin, "--output", "json")
	if err != nil {
		return ""
	}
	var status struct {
		Members []struct {
			Host  string `json:"host"`
			State string `json:"state"`
		} `json:"members"`
	}
	if json.Unmarshal([]byte(out), &status) != nil {
		return ""
	}
	for _, m := range status.Members {
		if m.Host == member {
			return m.State
		}
	}
	return ""
}

// No target ever runs more requests than it has slots while its zone's hosts are paused, killed
// and replaced under load.
func TestSlotsAreNeverHeldTwice(t *testing.T) {
	spec := smallFleet()
	spec.slots = 3
	spec.latency = 20 * time.Millisecond
	f := newFleet(t, spec)
	tr := startTraffic(24, f.toAllHosts)
	f.await(tr, 100, 0)
	f.hosts[2].signal(t, syscall.SIGSTOP)
	f.eventually("the paused host is taken for dead", func() bool {
		return f.stateOf(f.hosts[3], f.hosts[2].name) == "dead"
	})
	f.hosts[1].signal(t, syscall.SIGKILL)
	f.hosts[2].signal(t, syscall.SIGCONT)
	f.startHost(f.hosts[1])
	f.awaitReady(f.hosts[1])
	f.await(tr, 200, tr.served.Load())
	tr.end()
	for _, target := range f.targets {
		if peak := f.runsOf(target).Peak; peak > spec.slots {
			t.Errorf("target %s ran %d requests at once on %d slots", target, peak, spec.slots)
		}
	}
}

// A host that stops hands its operations to a successor, which gives the kept answer to a caller
// who sends the operation again.
func TestStoppedHostHandsItsOperationsOver(t *testing.T) {
	f := newFleet(t, smallFleet())
	owner := f.hosts[2]
	ran := f.issue(owner)
	waiting := f.issue(owner)
	first := f.call("POST", owner.caller, "/bids", f.key, ran, "{}")
	owner.signal(t, syscall.SIGTERM)
	<-owner.done
	again := f.call("POST", f.hosts[0].caller, "/bids", f.key, ran, "{}")
	if again.body != first.body || again.outcome != "answered" {
		t.Errorf("first %+v, again %+v", first, again)
	}
	late := f.call("POST", f.hosts[1].caller, "/bids", f.key, waiting, `{"lot":2}`)
	if late.status != http.StatusOK {
		t.Errorf("identity that was not used before the stop: %+v", late)
	}
	if n := f.atMostOnce(); n != 2 {
		t.Errorf("%d operations ran", n)
	}
}

// A drained target gets no new work; a cancelled drain gives it work again.
func TestDrainedTargetGetsNoNewWork(t *testing.T) {
	f := newFleet(t, smallFleet())
	h := f.hosts[2]
	name := "west-a-target-1"
	f.run("drain", "target", name)
	f.eventually("the drain is in force", func() bool {
		out, err := f.command("explain", "--admin", h.admin, "--service", service)
		return err == nil && strings.Contains(out, name) && strings.Contains(out, "draining, 0 of")
	})
	target := f.targets[2]
	before := f.runsOf(target).Total
	for range 30 {
		if a := f.get(h, "/catalogue"); a.status != http.StatusOK {
			t.Fatalf("%+v", a)
		}
	}
	if n := f.runsOf(target).Total; n != before {
		t.Errorf("the drained target ran %d more requests", n-before)
	}
	f.run("drain", "target", name, "--undo")
	f.eventually("the target serves again", func() bool {
		var wg sync.WaitGroup
		for range 2 * f.spec.slots {
			wg.Add(1)
			go func() {
				defer wg.Done()
				f.get(h, "/catalogue")
			}()
		}
		wg.Wait()
		return f.runsOf(target).Total > before
	})
}

// A target that reports a drain of its own gets no new work once the report has arrived.
func TestTargetThatReportsADrainGetsNoNewWork(t *testing.T) {
	f := newFleet(t, smallFleet())
	h := f.hosts[2]
	target := f.targets[2]
	f.behave(target, `{"draining":true}`)
	f.eventually("the report has arrived", func() bool {
		out, err := f.command("explain", "--admin", h.admin, "--service", service)
		return err == nil && strings.Contains(out, "draining, 0 of")
	})
	before := f.runsOf(target).Total
	for range 30 {
		if a := f.get(h, "/catalogue"); a.status != http.StatusOK {
			t.Fatalf("%+v", a)
		}
	}
	if n := f.runsOf(target).Total; n != before {
		t.Errorf("the draining target ran %d more requests", n-before)
	}
}
