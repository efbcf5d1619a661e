package locator

import (
	"encoding/binary"
	"maps"
	"net/netip"
	"slices"
)

const (
	chunkCount = 256
	maxLength6 = 128
)

// MaxSites bounds the number of sites; sites are numbered from 0.
const MaxSites = int(noSite)

// Entry assigns a client block to a site.
type Entry struct {
	// Prefix is the client block without host bits.
	Prefix netip.Prefix
	// Site is the number of the site.
	Site uint16
}

// Blocks maps addresses to sites by the longest matching block; it never changes.
//
// IPv4 blocks from /16 on are held in a chunk for each top byte, so that a change rebuilds one
// chunk. Shorter IPv4 blocks are painted over a table of all /16 blocks. IPv6 blocks are held in a
// map.
type Blocks struct {
	chunks   [chunkCount]*chunk
	short    []cell
	fallback []uint16
	long     map[netip.Prefix]uint16
	lengths  [maxLength6 + 1]int
}

// NewBlocks builds a table; of two entries with the same block the later one counts.
func NewBlocks(entries []Entry) *Blocks {
	b := &Blocks{long: make(map[netip.Prefix]uint16)}
	var groups [chunkCount][]cell
	for _, e := range entries {
		if !e.Prefix.Addr().Is4() {
			b.putLong(e)
			continue
		}
		c := newCell(e)
		if c.length < bucketLength {
			b.short = append(b.short, c)
			continue
		}
		groups[c.start>>24] = append(groups[c.start>>24], c)
	}
	for top := range groups {
		b.chunks[top] = newChunk(groups[top])
		groups[top] = nil
	}
	b.short = sortShort(b.short)
	b.paint()
	return b
}

func newCell(e Entry) cell {
	return cell{start: number(e.Prefix.Addr()), site: e.Site, length: uint8(e.Prefix.Bits())}
}

func number(addr netip.Addr) uint32 {
	octets := addr.As4()
	return binary.BigEndian.Uint32(octets[:])
}

func sortShort(cells []cell) []cell {
	slices.SortStableFunc(cells, func(a, b cell) int {
		if a.length != b.length {
			return int(a.length) - int(b.length)
		}
		if a.start < b.start {
			return -1
		}
		if a.start > b.start {
			return 1
		}
		return 0
	})
	return lastOfEach(cells)
}

// paint fills the table of /16 blocks, the shortest blocks first.
func (b *Blocks) paint() {
	b.fallback = nil
	if len(b.short) == 0 {
		return
	}
	b.fallback = make([]uint16, 1<<bucketLength)
	for i := range b.fallback {
		b.fallback[i] = noSite
	}
	for _, c := range b.short {
		first := int(c.start >> bucketLength)
		for i := range 1 << (bucketLength - c.length) {
			b.fallback[first+i] = c.site
		}
	}
}

func (b *Blocks) putLong(e Entry) {
	if _, ok := b.long[e.Prefix]; !ok {
		b.lengths[e.Prefix.Bits()]++
	}
	b.long[e.Prefix] = e.Site
}

// Find returns the site of the longest block that holds an address.
func (b *Blocks) Find(addr netip.Addr) (uint16, bool) {
	addr = addr.Unmap()
	if addr.Is4() {
		site := b.find4(number(addr))
		return site, site != noSite
	}
	return b.find6(addr)
}

func (b *Blocks) find4(address uint32) uint16 {
	if c := b.chunks[address>>24]; c != nil {
		if site := c.find(address); site != noSite {
			return site
		}
	}
	if b.fallback == nil {
		return noSite
	}
	return b.fallback[address>>bucketLength]
}

func (b *Blocks) find6(addr netip.Addr) (uint16, bool) {
	addr = addr.WithZone("")
	for length := maxLength6; length >= 0; length-- {
		if b.lengths[length] == 0 {
			continue
		}
		prefix, err := addr.Prefix(length)
		if err != nil {
			return 0, false
		}
		if site, ok := b.long[prefix]; ok {
			return site, true
		}
	}
	return 0, false
}

// With returns a table in which the entry replaces the one of its block.
func (b *Blocks) With(e Entry) *Blocks {
	next := *b
	if !e.Prefix.Addr().Is4() {
		next.long = maps.Clone(b.long)
		next.putLong(e)
		return &next
	}
	c := newCell(e)
	if c.length < bucketLength {
		next.short = sortShort(append(slices.Clone(b.short), c))
		next.paint()
		return &next
	}
	top := uint8(c.start >> 24)
	next.chunks[top] = newChunk(append(b.chunks[top].cells(top), c))
	return &next
}

// Without returns a table that lacks a block.
func (b *Blocks) Without(prefix netip.Prefix) *Blocks {
	next := *b
	if !prefix.Addr().Is4() {
		next.dropLong(b, prefix)
		return &next
	}
	gone := newCell(Entry{Prefix: prefix})
	same := func(c cell) bool { return c.start == gone.start && c.length == gone.length }
	if gone.length < bucketLength {
		next.short = slices.DeleteFunc(slices.Clone(b.short), same)
		next.paint()
		return &next
	}
	top := uint8(gone.start >> 24)
	next.chunks[top] = newChunk(slices.DeleteFunc(b.chunks[top].cells(top), same))
	return &next
}

func (b *Blocks) dropLong(old *Blocks, prefix netip.Prefix) {
	if _, ok := old.long[prefix]; !ok {
		return
	}
	b.long = maps.Clone(old.long)
	delete(b.long, prefix)
	b.lengths[prefix.Bits()]--
}
