package detector

import (
	"fmt"
	"testing"
	"time"
)

// BenchmarkMembers measures the listing of all members, which the surveyor makes for each request.
func BenchmarkMembers(b *testing.B) {
	for _, size := range []struct{ zones, hosts int }{{6, 7}, {12, 70}, {24, 400}, {92, 1600}} {
		b.Run(fmt.Sprintf("hosts=%d", size.hosts), func(b *testing.B) {
			f := newFleet(size.zones, size.hosts)
			for i := range f.hosts {
				dress(f.table(i), f.now)
			}
			f.run(3 * time.Second)
			t := f.table(0)
			b.ReportAllocs()
			for b.Loop() {
				t.Members(f.now)
			}
		})
	}
}
