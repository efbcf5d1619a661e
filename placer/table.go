package placer

import (
	"math"
	"sort"
)

// MaxRank is the largest number of nodes that Rank returns.
const MaxRank = 4

// Node is something that objects are placed on.
type Node struct {
	// Hash identifies the node.
	Hash uint64
	// Weight is the node's size, relative to those of the other nodes; nodes without a positive
	// weight get no objects.
	Weight float64
}

// Table is an immutable set of nodes; tables of the same nodes rank them alike on every host.
type Table struct {
	classes []class
}

// class holds the nodes of one weight. Inside a class the largest score wins, so that costs, which
// take a logarithm, are compared only between classes.
type class struct {
	weight  float64
	hashes  []uint64
	indexes []int
}

// New returns a table of the nodes.
func New(nodes []Node) *Table {
	byWeight := map[float64]*class{}
	var weights []float64
	for i, n := range nodes {
		if n.Weight <= 0 {
			continue
		}
		c, ok := byWeight[n.Weight]
		if !ok {
			c = &class{weight: n.Weight}
			byWeight[n.Weight] = c
			weights = append(weights, n.Weight)
		}
		c.hashes = append(c.hashes, n.Hash)
		c.indexes = append(c.indexes, i)
	}
	sort.Float64s(weights)
	t := &Table{}
	for _, w := range weights {
		t.classes = append(t.classes, *byWeight[w])
	}
	return t
}

// Ranking holds the first nodes of an object, best first.
type Ranking struct {
	indexes [MaxRank]int
	costs   [MaxRank]float64
	n       int
}

// Len returns the number of nodes.
func (r *Ranking) Len() int {
	return r.n
}

// Index returns the position of the node with the given rank in the list that New got.
func (r *Ranking) Index(rank int) int {
	return r.indexes[rank]
}

// insert adds a node if it is among the best.
func (r *Ranking) insert(index int, cost float64, limit int) {
	if r.n == limit {
		if cost >= r.costs[limit-1] {
			return
		}
		r.n--
	}
	at := r.n
	for at > 0 && r.costs[at-1] > cost {
		r.indexes[at], r.costs[at] = r.indexes[at-1], r.costs[at-1]
		at--
	}
	r.indexes[at], r.costs[at] = index, cost
	r.n++
}

// Rank returns the first nodes of an object, at most limit and MaxRank, without those that skip
// reports.
func (t *Table) Rank(object uint64, limit int, skip func(index int) bool) Ranking {
	limit = min(limit, MaxRank)
	var r Ranking
	for i := range t.classes {
		t.classes[i].rank(object, limit, skip, &r)
	}
	return r
}

// rank adds the best nodes of the class to the ranking.
func (c *class) rank(object uint64, limit int, skip func(index int) bool, r *Ranking) {
	var scores [MaxRank]uint64
	var best [MaxRank]int
	n := 0
	for i, hash := range c.hashes {
		score := Mix(hash ^ object)
		if n == limit && score <= scores[n-1] || skip(c.indexes[i]) {
			continue
		}
		if n < limit {
			n++
		}
		at := n - 1
		for at > 0 && scores[at-1] < score {
			scores[at], best[at] = scores[at-1], best[at-1]
			at--
		}
		scores[at], best[at] = score, c.indexes[i]
	}
	for i := range n {
		r.insert(best[i], Cost(scores[i], c.weight), limit)
	}
}

// Cost turns a score into an exponentially distributed cost with the weight as its rate: each node
// has the lowest cost of all for a fraction of the objects in proportion to its weight.
func Cost(score uint64, weight float64) float64 {
	return -math.Log((float64(score>>11)+0.5)/(1<<53)) / weight
}

// Mix is the 64-bit finalizer of MurmurHash3: every input bit affects every output bit.
func Mix(v uint64) uint64 {
	v ^= v >> 33
	v *= 0xff51afd7ed558ccd
	v ^= v >> 33
	v *= 0xc4ceb9fe1a85ec53
	return v ^ v>>33
}
