package locator

import (
	"math"
	"math/bits"
	"sort"
)

const (
	bucketCount = 256
	wordCount   = 4
	wordBits    = 64
	// bucketLength is the prefix length of a bucket, the shortest that a chunk holds.
	bucketLength = 16
	// denseLength is the prefix length that has a bitmap in each bucket.
	denseLength = 24
	// noSite marks an address without a block.
	noSite uint16 = math.MaxUint16
	// longer is the set of lengths above denseLength; bit 0 stands for bucketLength.
	longer uint32 = math.MaxUint32 &^ (1<<(denseLength-bucketLength+1) - 1)
)

// cell is an IPv4 block with its site.
type cell struct {
	start  uint32
	site   uint16
	length uint8
}

// sparse is a block of any length but denseLength, within its bucket.
type sparse struct {
	start  uint16
	site   uint16
	length uint8
}

func (s sparse) key() uint32 {
	return uint32(s.length)<<16 | uint32(s.start)
}

// chunk holds the blocks of one top byte: a bucket for each second byte, with a bitmap and packed
// sites for the /24 blocks and a sorted list for the others. It never changes.
type chunk struct {
	bitmaps [bucketCount][wordCount]uint64
	ranks   [bucketCount]uint32
	sites   []uint16
	lengths [bucketCount]uint32
	offsets [bucketCount + 1]uint32
	others  []sparse
}

// newChunk builds a chunk; of two cells with the same block the later one counts.
func newChunk(cells []cell) *chunk {
	if len(cells) == 0 {
		return nil
	}
	c := &chunk{}
	c.fillDense(cells)
	c.fillOthers(cells)
	return c
}

func (c *chunk) fillDense(cells []cell) {
	grid := make([]uint16, bucketCount*bucketCount)
	for i := range grid {
		grid[i] = noSite
	}
	for _, cell := range cells {
		if cell.length == denseLength {
			grid[uint16(cell.start>>8)] = cell.site
		}
	}
	count := 0
	for _, site := range grid {
		if site != noSite {
			count++
		}
	}
	c.sites = make([]uint16, 0, count)
	for bucket := range bucketCount {
		c.ranks[bucket] = uint32(len(c.sites))
		c.fillBucket(bucket, grid[bucket*bucketCount:(bucket+1)*bucketCount])
	}
}

func (c *chunk) fillBucket(bucket int, row []uint16) {
	for i, site := range row {
		if site == noSite {
			continue
		}
		c.bitmaps[bucket][i/wordBits] |= 1 << (i % wordBits)
		c.sites = append(c.sites, site)
	}
}

func (c *chunk) fillOthers(cells []cell) {
	var others []cell
	for _, cell := range cells {
		if cell.length != denseLength {
			others = append(others, cell)
		}
	}
	sort.SliceStable(others, func(i, j int) bool { return less(others[i], others[j]) })
	others = lastOfEach(others)
	c.others = make([]sparse, 0, len(others))
	for _, cell := range others {
		bucket := uint8(cell.start >> 16)
		c.lengths[bucket] |= 1 << (cell.length - bucketLength)
		c.offsets[int(bucket)+1]++
		entry := sparse{start: uint16(cell.start), site: cell.site, length: cell.length}
		c.others = append(c.others, entry)
	}
	for i := range bucketCount {
		c.offsets[i+1] += c.offsets[i]
	}
}

// less orders cells by bucket, length and start.
func less(a, b cell) bool {
	if a.start>>16 != b.start>>16 {
		return a.start>>16 < b.start>>16
	}
	if a.length != b.length {
		return a.length < b.length
	}
	return a.start < b.start
}

// lastOfEach keeps the last of equal blocks in a sorted list.
func lastOfEach(cells []cell) []cell {
	kept := cells[:0]
	for i, c := range cells {
		if i+1 < len(cells) && cells[i+1].start == c.start && cells[i+1].length == c.length {
			continue
		}
		kept = append(kept, c)
	}
	return kept
}

// find returns the site of the longest block that holds an address.
func (c *chunk) find(address uint32) uint16 {
	bucket := uint8(address >> 16)
	lengths := c.lengths[bucket]
	if long := lengths & longer; long != 0 {
		if site := c.findOther(bucket, address, long); site != noSite {
			return site
		}
	}
	if site := c.findDense(bucket, uint8(address>>8)); site != noSite {
		return site
	}
	return c.findOther(bucket, address, lengths&^longer)
}

func (c *chunk) findDense(bucket, low uint8) uint16 {
	words := &c.bitmaps[bucket]
	word := low / wordBits
	bit := uint64(1) << (low % wordBits)
	if words[word]&bit == 0 {
		return noSite
	}
	rank := bits.OnesCount64(words[word] & (bit - 1))
	for i := range word {
		rank += bits.OnesCount64(words[i])
	}
	return c.sites[int(c.ranks[bucket])+rank]
}

// findOther tries the lengths of a set, the longest first.
func (c *chunk) findOther(bucket uint8, address, lengths uint32) uint16 {
	others := c.others[c.offsets[bucket]:c.offsets[int(bucket)+1]]
	for lengths != 0 {
		top := bits.Len32(lengths) - 1
		lengths &^= 1 << top
		length := uint8(top + bucketLength)
		start := uint16(address & (math.MaxUint32 << (32 - length)))
		want := sparse{start: start, length: length}.key()
		i := searchKey(others, want)
		if i < len(others) && others[i].key() == want {
			return others[i].site
		}
	}
	return noSite
}

// searchKey returns the first index whose key isn't below the wanted one.
func searchKey(others []sparse, want uint32) int {
	low, high := 0, len(others)
	for low < high {
		middle := int(uint(low+high) / 2)
		if others[middle].key() < want {
			low = middle + 1
		} else {
			high = middle
		}
	}
	return low
}

// cells lists the chunk's blocks.
func (c *chunk) cells(top uint8) []cell {
	if c == nil {
		return nil
	}
	cells := make([]cell, 0, len(c.sites)+len(c.others)+1)
	next := 0
	for bucket := range bucketCount {
		base := uint32(top)<<24 | uint32(bucket)<<16
		for low := range bucketCount {
			if c.bitmaps[bucket][low/wordBits]&(1<<(low%wordBits)) == 0 {
				continue
			}
			start := base | uint32(low)<<8
			cells = append(cells, cell{start: start, site: c.sites[next], length: denseLength})
			next++
		}
		for _, o := range c.others[c.offsets[bucket]:c.offsets[bucket+1]] {
			start := base | uint32(o.start)
			cells = append(cells, cell{start: start, site: o.site, length: o.length})
		}
	}
	return cells
}
