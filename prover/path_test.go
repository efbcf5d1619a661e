package prover

import (
	"net/http"
	"strings"
	"testing"
	"time"
)

func smallFleet() fleetSpec {
	return fleetSpec{
		zones: []zoneSpec{
			{name: "east-a", region: "east", hosts: 1, targets: 1},
			{name: "east-b", region: "east", hosts: 1, targets: 1},
			{name: "west-a", region: "west", hosts: 2, targets: 2},
		},
		rate:    2000,
		burst:   2000,
		slots:   9,
		latency: time.Millisecond,
	}
}

func TestRequestsRunThroughSeparateProcesses(t *testing.T) {
	f := newFleet(t, smallFleet())
	for _, h := range f.hosts {
		a := f.get(h, "/catalogue?lot=7&copy="+f.key)
		if a.status != http.StatusOK || a.outcome != "answered" {
			t.Fatalf("%s: %+v", h.name, a)
		}
		if strings.Contains(a.body, f.key) {
			t.Fatalf("the key reached a target: %s", a.body)
		}
	}
	h := f.hosts[0]
	tests := []struct {
		name   string
		answer answer
		status int
		reason string
	}{
		{"open", f.call("GET", h.caller, "/public/prices", "", "", ""), 200, ""},
		{"no key", f.call("GET", h.caller, "/catalogue", "", "", ""), 401, "key"},
		{"wrong key", f.call("GET", h.caller, "/catalogue", "wrong", "", ""), 401, "key"},
		{"escaped open path", f.call("GET", h.caller, "/public/%2e%2e/catalogue", "", "", ""), 401, "key"},
		{"no identity", f.call("POST", h.caller, "/bids", f.key, "", "{}"), 428, "operation identity"},
		{"forged identity", f.call("POST", h.caller, "/bids", f.key, "AAAA", "{}"), 400, "operation identity"},
	}
	for _, tt := range tests {
		if tt.answer.status != tt.status || tt.answer.reason != tt.reason {
			t.Errorf("%s: got %+v", tt.name, tt.answer)
		}
	}
}

func TestWithdrawnKeyStopsOnOpenConnections(t *testing.T) {
	f := newFleet(t, smallFleet())
	for _, h := range f.hosts {
		if a := f.get(h, "/catalogue"); a.status != http.StatusOK {
			t.Fatalf("%s: %+v", h.name, a)
		}
	}
	f.run("keys", "withdraw", "--key", f.key)
	for _, h := range f.hosts {
		f.eventually("the key is withdrawn on "+h.name, func() bool {
			return f.get(h, "/catalogue").status == http.StatusUnauthorized
		})
	}
}

func TestOperationRunsOnceThroughTwoHosts(t *testing.T) {
	f := newFleet(t, smallFleet())
	operation := f.issue(f.hosts[0])
	first := f.call("POST", f.hosts[0].caller, "/bids", f.key, operation, `{"lot":7}`)
	second := f.call("POST", f.hosts[3].caller, "/bids", f.key, operation, `{"lot":7}`)
	if first.status != http.StatusOK || second.status != http.StatusOK || first.body != second.body {
		t.Fatalf("first %+v, second %+v", first, second)
	}
	other := f.call("POST", f.hosts[1].caller, "/bids", f.key, operation, `{"lot":8}`)
	if other.status != http.StatusConflict || other.outcome != "unknown" ||
		other.reason != "identity conflict" {
		t.Fatalf("another body under the same identity: %+v", other)
	}
	if n := f.atMostOnce(); n != 1 {
		t.Fatalf("%d operations ran", n)
	}
}

// A customer whose rate is smaller than the number of hosts is served at each of them: whole units
// of its burst go to where it is.
func TestSmallCustomerIsServedAtEveryHost(t *testing.T) {
	spec := smallFleet()
	spec.rate, spec.burst = 2, 2
	f := newFleet(t, spec)
	for _, h := range f.hosts {
		f.eventually("the customer is served by "+h.name, func() bool {
			return f.get(h, "/catalogue").status == http.StatusOK
		})
	}
}
