package locator

import (
	"encoding/binary"
	"fmt"
	"math/rand"
	"net/netip"
	"runtime"
	"sort"
	"testing"

	"pgregory.net/rapid"
)

// naive is the plain longest prefix match that the table must agree with.
type naive map[netip.Prefix]uint16

func (n naive) find(addr netip.Addr) (uint16, bool) {
	best := -1
	var site uint16
	for prefix, s := range n {
		if prefix.Contains(addr) && prefix.Bits() > best {
			best, site = prefix.Bits(), s
		}
	}
	return site, best >= 0
}

// drawAddr draws from few octets, so that blocks nest and neighbour each other.
func drawAddr(t *rapid.T) netip.Addr {
	octet := rapid.SampledFrom([]byte{0, 1, 2, 63, 64, 127, 128, 255})
	if rapid.IntRange(0, 4).Draw(t, "six") == 0 {
		var a [16]byte
		a[0] = 0x20
		for i := 1; i < len(a); i++ {
			a[i] = octet.Draw(t, "octet")
		}
		return netip.AddrFrom16(a)
	}
	a := [4]byte{rapid.SampledFrom([]byte{0, 10, 255}).Draw(t, "top")}
	for i := 1; i < len(a); i++ {
		a[i] = octet.Draw(t, "octet")
	}
	return netip.AddrFrom4(a)
}

func drawPrefix(t *rapid.T) netip.Prefix {
	addr := drawAddr(t)
	length := rapid.IntRange(0, addr.BitLen()).Draw(t, "length")
	if addr.Is4() && rapid.Bool().Draw(t, "dense") {
		length = denseLength
	}
	prefix, err := addr.Prefix(length)
	if err != nil {
		t.Fatal(err)
	}
	return prefix
}

func TestFindMatchesNaive(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		model := naive{}
		var entries []Entry
		for range rapid.IntRange(0, 40).Draw(t, "entries") {
			e := Entry{Prefix: drawPrefix(t), Site: uint16(rapid.IntRange(0, 379).Draw(t, "site"))}
			entries = append(entries, e)
			model[e.Prefix] = e.Site
		}
		blocks := NewBlocks(entries)
		for range rapid.IntRange(0, 10).Draw(t, "changes") {
			prefix := drawPrefix(t)
			if rapid.Bool().Draw(t, "remove") {
				delete(model, prefix)
				blocks = blocks.Without(prefix)
				continue
			}
			site := uint16(rapid.IntRange(0, 379).Draw(t, "site"))
			model[prefix] = site
			blocks = blocks.With(Entry{Prefix: prefix, Site: site})
		}
		for range 50 {
			addr := drawAddr(t)
			site, ok := blocks.Find(addr)
			want, found := model.find(addr)
			if ok != found || ok && site != want {
				t.Fatalf("%v: site %d %v, want %d %v", addr, site, ok, want, found)
			}
		}
	})
}

func TestChangesLeaveTheOldTable(t *testing.T) {
	prefix := netip.MustParsePrefix("10.1.2.0/24")
	old := NewBlocks([]Entry{{Prefix: prefix, Site: 1}})
	old.With(Entry{Prefix: prefix, Site: 2})
	old.Without(prefix)
	if site, ok := old.Find(prefix.Addr()); !ok || site != 1 {
		t.Errorf("site %d %v after changes to copies", site, ok)
	}
}

const siteCount = 380

// mixes are the block lengths of the benchmarks: all /24, and lengths spread as in routing tables.
var mixes = map[string]func(r *rand.Rand) int{
	"dense": func(*rand.Rand) int { return denseLength },
	"mixed": func(r *rand.Rand) int {
		if r.Intn(10) < 6 {
			return denseLength
		}
		return 16 + r.Intn(9)
	},
}

func randomEntries(count int, length func(*rand.Rand) int) []Entry {
	r := rand.New(rand.NewSource(1))
	seen := make(map[netip.Prefix]bool, count)
	entries := make([]Entry, 0, count)
	for len(entries) < count {
		var a [4]byte
		binary.BigEndian.PutUint32(a[:], r.Uint32())
		prefix, _ := netip.AddrFrom4(a).Prefix(length(r))
		if seen[prefix] {
			continue
		}
		seen[prefix] = true
		entries = append(entries, Entry{Prefix: prefix, Site: uint16(r.Intn(siteCount))})
	}
	return entries
}

// clientsOf draws addresses that blocks cover, in random order.
func clientsOf(entries []Entry) []uint32 {
	r := rand.New(rand.NewSource(2))
	clients := make([]uint32, 1<<20)
	for i := range clients {
		clients[i] = number(entries[r.Intn(len(entries))].Prefix.Addr()) | 1
	}
	return clients
}

func heapBytes() uint64 {
	runtime.GC()
	runtime.GC()
	var stats runtime.MemStats
	runtime.ReadMemStats(&stats)
	return stats.HeapAlloc
}

// finder is a table under measurement: ours or a baseline.
type finder interface {
	find4(address uint32) uint16
}

// sortedSlice is the baseline of one slice of /24 blocks, ordered by address.
type sortedSlice struct {
	starts []uint32
	sites  []uint16
}

func (s *sortedSlice) find4(address uint32) uint16 {
	start := address &^ 0xff
	i := sort.Search(len(s.starts), func(i int) bool { return s.starts[i] >= start })
	if i == len(s.starts) || s.starts[i] != start {
		return noSite
	}
	return s.sites[i]
}

func newSortedSlice(entries []Entry) finder {
	sort.Slice(entries, func(i, j int) bool {
		return entries[i].Prefix.Addr().Less(entries[j].Prefix.Addr())
	})
	s := &sortedSlice{
		starts: make([]uint32, 0, len(entries)),
		sites:  make([]uint16, 0, len(entries)),
	}
	for _, e := range entries {
		s.starts = append(s.starts, number(e.Prefix.Addr()))
		s.sites = append(s.sites, e.Site)
	}
	return s
}

// with copies the slice for a change, as an immutable table must.
func (s *sortedSlice) with(e Entry) *sortedSlice {
	start := number(e.Prefix.Addr())
	i := sort.Search(len(s.starts), func(i int) bool { return s.starts[i] >= start })
	next := &sortedSlice{
		starts: append(make([]uint32, 0, len(s.starts)+1), s.starts[:i]...),
		sites:  append(make([]uint16, 0, len(s.sites)+1), s.sites[:i]...),
	}
	next.starts = append(append(next.starts, start), s.starts[i:]...)
	next.sites = append(append(next.sites, e.Site), s.sites[i:]...)
	return next
}

// plainMap is the baseline of one map of /24 blocks.
type plainMap map[uint32]uint16

func (m plainMap) find4(address uint32) uint16 {
	site, ok := m[address&^0xff]
	if !ok {
		return noSite
	}
	return site
}

func newPlainMap(entries []Entry) finder {
	m := make(plainMap)
	for _, e := range entries {
		m[number(e.Prefix.Addr())] = e.Site
	}
	return m
}

func newFinder(entries []Entry) finder {
	return NewBlocks(entries)
}

var sizes = []int{100_000, 1_000_000, 3_900_000}

func BenchmarkFind(b *testing.B) {
	tables := []struct {
		name  string
		mix   string
		build func([]Entry) finder
	}{
		{"chunks", "dense", newFinder},
		{"chunks", "mixed", newFinder},
		{"slice", "dense", newSortedSlice},
		{"map", "dense", newPlainMap},
	}
	for _, size := range sizes {
		for _, table := range tables {
			b.Run(fmt.Sprintf("%s/%s/%d", table.name, table.mix, size), func(b *testing.B) {
				entries := randomEntries(size, mixes[table.mix])
				clients := clientsOf(entries)
				before := heapBytes()
				f := table.build(entries)
				used := heapBytes() - before
				runtime.KeepAlive(entries)
				b.ResetTimer()
				for i := range b.N {
					f.find4(clients[i%len(clients)])
				}
				b.ReportMetric(float64(used)/float64(size), "bytes/block")
				b.ReportMetric(float64(used)/1e6, "MB")
			})
		}
	}
}

func BenchmarkChange(b *testing.B) {
	for _, size := range sizes {
		entries := randomEntries(size, mixes["dense"])
		changes := randomEntries(1<<10, mixes["dense"])
		b.Run(fmt.Sprintf("chunks/dense/%d", size), func(b *testing.B) {
			blocks := NewBlocks(entries)
			b.ReportAllocs()
			b.ResetTimer()
			for i := range b.N {
				blocks.With(changes[i%len(changes)])
			}
		})
		b.Run(fmt.Sprintf("slice/dense/%d", size), func(b *testing.B) {
			slice, ok := newSortedSlice(entries).(*sortedSlice)
			if !ok {
				b.Fatal("no slice")
			}
			b.ReportAllocs()
			b.ResetTimer()
			for i := range b.N {
				slice.with(changes[i%len(changes)])
			}
		})
	}
}
