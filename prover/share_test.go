package prover

import (
	"encoding/json"
	"syscall"
	"testing"

	"github.com/fescuethread/fescuethread/reporter"
)

// rate returns a host's share of a customer's rate, as its status page tells.
func (f *fleet) rate(h *host, customer string) float64 {
	resp, err := f.client.Get("http://" + h.admin + "/status")
	if err != nil {
		return 0
	}
	defer func() { _ = resp.Body.Close() }()
	var s reporter.Status
	if err := json.NewDecoder(resp.Body).Decode(&s); err != nil {
		return 0
	}
	for _, a := range s.Accounts {
		if a.Name == "customer/"+customer {
			return a.Rate
		}
	}
	return 0
}

// A host restarts while another one is dead: it gets its home share back from the platform's word.
func TestHostThatRestartsBesideADeadOneHasItsShare(t *testing.T) {
	f := newFleet(t, smallFleet())
	dead, restarted := f.hosts[3], f.hosts[0]
	whole := f.rate(restarted, "mill")
	if whole == 0 {
		t.Fatal("no share before the restart")
	}
	dead.signal(t, syscall.SIGKILL)
	restarted.signal(t, syscall.SIGKILL)
	<-dead.done
	<-restarted.done
	f.startHost(restarted)
	f.awaitReady(restarted)
	f.eventually("the restarted host has its share", func() bool {
		return f.rate(restarted, "mill") == whole
	})
}
