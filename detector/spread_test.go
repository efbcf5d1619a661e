package detector

import (
	"fmt"
	"testing"
	"time"

	"github.com/fescuethread/fescuethread/messenger"
)

// spreadBound ends a measurement that doesn't.
const spreadBound = 200

// BenchmarkSpread reports the seconds until all hosts hold a new document, take a stopped host for
// dead and a leaving one for leaving.
func BenchmarkSpread(b *testing.B) {
	for _, size := range []struct{ zones, hosts int }{{6, 7}, {12, 70}, {24, 400}, {92, 1600}} {
		b.Run(fmt.Sprintf("hosts=%d", size.hosts), func(b *testing.B) {
			for b.Loop() {
				spread(b, size.zones, size.hosts)
			}
		})
	}
}

func spread(b *testing.B, zones, hosts int) {
	f := newFleet(zones, hosts)
	f.run(60 * time.Second)
	f.publish(hosts-1, 1)
	b.ReportMetric(f.until(func(t *Table) bool { return f.fetch(t) == 1 }), "document-s")
	f.table(1).SetState(messenger.State_STATE_LEAVING)
	b.ReportMetric(f.until(f.sees("h0001", StateLeaving)), "leaving-s")
	f.down["h0002"] = true
	b.ReportMetric(f.until(f.sees("h0002", StateDead)), "dead-s")
}

func (f *fleet) publish(host int, version uint64) {
	f.table(host).SetDocuments([]*messenger.DocumentVersion{{Name: "keys", Version: version}})
}

// fetch lets a table hold the highest version that it heard of, as if fetching took no time.
func (f *fleet) fetch(t *Table) uint64 {
	own := ownVersion(t)
	if highest, holders := t.Highest(f.now, "keys"); highest > own && len(holders) > 0 {
		f.publish(f.index[t.cfg.Host], highest)
	}
	return own
}

func ownVersion(t *Table) uint64 {
	for _, d := range t.self.Documents {
		return d.Version
	}
	return 0
}

func (f *fleet) sees(host string, want State) func(*Table) bool {
	return func(t *Table) bool { return t.State(f.now, host) == want }
}

// until returns the seconds until holds is true of all running hosts.
func (f *fleet) until(holds func(*Table) bool) float64 {
	for second := range spreadBound {
		all := true
		for _, info := range f.hosts {
			all = (f.down[info.Name] || holds(f.tables[info.Name])) && all
		}
		if all {
			return float64(second)
		}
		f.run(time.Second)
	}
	return spreadBound
}
