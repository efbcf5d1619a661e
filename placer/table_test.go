package placer

import (
	"fmt"
	"math"
	"math/rand/v2"
	"testing"

	"pgregory.net/rapid"
)

const (
	// maxShareError is how far a node's share of the objects may be from its part of the weights.
	maxShareError = 0.05
	// maxMoves limits the objects that move when nodes join or leave, as a multiple of the
	// unavoidable ones.
	maxMoves = 1.1
)

// broken holds ways to choose an object's node that must fail the checks.
var broken = map[string]func(object uint64, nodes []Node) int{
	"modulo": func(object uint64, nodes []Node) int { return int(Mix(object) % uint64(len(nodes))) },
	"unweighted": func(object uint64, nodes []Node) int {
		same := make([]Node, len(nodes))
		for i, n := range nodes {
			same[i] = Node{Hash: n.Hash, Weight: 1}
		}
		return first(object, same)
	},
}

func none(int) bool { return false }

func first(object uint64, nodes []Node) int {
	r := New(nodes).Rank(object, 1, none)
	return r.Index(0)
}

// nodesOf returns n nodes of three sizes.
func nodesOf(rng *rand.Rand, n int) []Node {
	nodes := make([]Node, n)
	for i := range nodes {
		nodes[i] = Node{Hash: rng.Uint64(), Weight: float64([]int{3, 4, 9}[rng.IntN(3)])}
	}
	return nodes
}

// placeAll returns the hash of the node of each object.
func placeAll(objects []uint64, nodes []Node) []uint64 {
	t := New(nodes)
	placed := make([]uint64, len(objects))
	for i, o := range objects {
		r := t.Rank(o, 1, none)
		placed[i] = nodes[r.Index(0)].Hash
	}
	return placed
}

func objectsOf(rng *rand.Rand, n int) []uint64 {
	objects := make([]uint64, n)
	for i := range objects {
		objects[i] = rng.Uint64()
	}
	return objects
}

// shareError returns how far the objects of the nodes of one size are from the sizes' part, at
// worst. Single nodes are compared where there are few, since chance alone moves a node's share by
// the square root of its number of objects.
func shareError(nodes []Node, count map[uint64]int, objects int, single bool) float64 {
	total, worst := 0.0, 0.0
	weights, counts := map[string]float64{}, map[string]int{}
	for _, n := range nodes {
		total += n.Weight
		key := fmt.Sprint(n.Weight)
		if single {
			key = fmt.Sprint(n.Hash)
		}
		weights[key] += n.Weight
		counts[key] += count[n.Hash]
	}
	for key, w := range weights {
		worst = max(worst, math.Abs(float64(counts[key])*total/(w*float64(objects))-1))
	}
	return worst
}

// TestSharesFollowSizes guards against shares that ignore the targets' sizes: a target of nine slots
// that gets as many objects as one of four.
func TestSharesFollowSizes(t *testing.T) {
	for _, n := range []int{20, 320, 893} {
		rng := rand.New(rand.NewPCG(1, uint64(n)))
		nodes, objects := nodesOf(rng, n), objectsOf(rng, 200_000)
		count := map[uint64]int{}
		for _, h := range placeAll(objects, nodes) {
			count[h]++
		}
		if e := shareError(nodes, count, len(objects), n == 20); e > maxShareError {
			t.Errorf("%d nodes: a share is off by %.3f, want at most %.2f", n, e, maxShareError)
		}
	}
}

// TestSharesOfBrokenVariant shows that the check of shares finds a choice without weights.
func TestSharesOfBrokenVariant(t *testing.T) {
	rng := rand.New(rand.NewPCG(1, 20))
	nodes, objects := nodesOf(rng, 20), objectsOf(rng, 20_000)
	count := map[uint64]int{}
	for _, o := range objects {
		count[nodes[broken["unweighted"](o, nodes)].Hash]++
	}
	if e := shareError(nodes, count, len(objects), true); e <= maxShareError {
		t.Errorf("shares without weights pass with an error of %.3f", e)
	}
}

// moved compares two placements: how many objects moved, as a multiple of the unavoidable ones,
// and whether one moved between nodes that are in both lists.
func moved(before, after []uint64, old, fresh []Node) (ratio float64, needless int) {
	in := func(nodes []Node) map[uint64]bool {
		set := map[uint64]bool{}
		for _, n := range nodes {
			set[n.Hash] = true
		}
		return set
	}
	was, is := in(old), in(fresh)
	left, leftWeight, oldWeight := 0, 0.0, 0.0
	for i := range before {
		if before[i] == after[i] {
			continue
		}
		left++
		if is[before[i]] && was[after[i]] {
			needless++
		}
	}
	for _, n := range old {
		oldWeight += n.Weight
		if !is[n.Hash] {
			leftWeight += n.Weight
		}
	}
	joinedWeight, freshWeight := 0.0, 0.0
	for _, n := range fresh {
		freshWeight += n.Weight
		if !was[n.Hash] {
			joinedWeight += n.Weight
		}
	}
	unavoidable := leftWeight/oldWeight + (1-leftWeight/oldWeight)*joinedWeight/freshWeight
	return float64(left) / float64(len(before)) / unavoidable, needless
}

// change removes the first nodes and adds others.
func change(rng *rand.Rand, old []Node, gone, joined int) []Node {
	return append(append([]Node(nil), old[gone:]...), nodesOf(rng, joined)...)
}

// TestObjectsStayOnNodesThatStay guards against objects that move between two targets that were
// there before and after a change: any nodes join and leave.
func TestObjectsStayOnNodesThatStay(t *testing.T) {
	for _, n := range []int{20, 320, 893} {
		t.Run(fmt.Sprint(n), func(t *testing.T) {
			rapid.Check(t, func(t *rapid.T) {
				rng := rand.New(rand.NewPCG(rapid.Uint64().Draw(t, "seed"), uint64(n)))
				old := nodesOf(rng, n)
				fresh := change(rng, old, rapid.IntRange(0, n-1).Draw(t, "gone"),
					rapid.IntRange(1, n).Draw(t, "joined"))
				objects := objectsOf(rng, 200)
				_, needless := moved(placeAll(objects, old), placeAll(objects, fresh), old, fresh)
				if needless > 0 {
					t.Fatalf("%d objects moved between nodes that stayed", needless)
				}
			})
		})
	}
}

// TestMovesFollowSizes guards against more moves than the sizes of what joins and leaves ask for.
func TestMovesFollowSizes(t *testing.T) {
	for _, n := range []int{20, 320, 893} {
		rng := rand.New(rand.NewPCG(2, uint64(n)))
		old := nodesOf(rng, n)
		objects := objectsOf(rng, 50_000)
		before := placeAll(objects, old)
		for name, fresh := range map[string][]Node{
			"leave": old[n/8:], "join": change(rng, old, 0, n/8), "both": change(rng, old, n/8, n/8),
		} {
			if ratio, _ := moved(before, placeAll(objects, fresh), old, fresh); ratio > maxMoves {
				t.Errorf("%d nodes, %s: %.3f times the unavoidable moves, want at most %.1f",
					n, name, ratio, maxMoves)
			}
		}
	}
}

// TestMovesOfBrokenVariant shows that the checks of moves find a choice by the number of nodes.
func TestMovesOfBrokenVariant(t *testing.T) {
	rng := rand.New(rand.NewPCG(3, 20))
	old := nodesOf(rng, 20)
	fresh := old[1:]
	objects := objectsOf(rng, 2000)
	place := func(nodes []Node) []uint64 {
		placed := make([]uint64, len(objects))
		for i, o := range objects {
			placed[i] = nodes[broken["modulo"](o, nodes)].Hash
		}
		return placed
	}
	if ratio, needless := moved(place(old), place(fresh), old, fresh); needless == 0 || ratio <= maxMoves {
		t.Errorf("a choice by the number of nodes passes: ratio %.2f, %d needless", ratio, needless)
	}
}

// TestObjectsSpreadAndReturn guards against a removed target whose objects all go to one other, and
// against objects that don't come back with it.
func TestObjectsSpreadAndReturn(t *testing.T) {
	rng := rand.New(rand.NewPCG(4, 20))
	all := nodesOf(rng, 20)
	objects := objectsOf(rng, 100_000)
	before := placeAll(objects, all)
	without := placeAll(objects, all[1:])
	heirs, sum := map[uint64]int{}, 0
	for i := range before {
		if before[i] == all[0].Hash {
			heirs[without[i]]++
			sum++
		}
	}
	weight := 0.0
	for _, n := range all[1:] {
		weight += n.Weight
	}
	for _, n := range all[1:] {
		// Twice the part by size leaves room for chance only.
		if float64(heirs[n.Hash]) > 2*n.Weight/weight*float64(sum) || heirs[n.Hash] == 0 {
			t.Errorf("a node of weight %.0f gets %d of %d objects", n.Weight, heirs[n.Hash], sum)
		}
	}
	again := append(append([]Node(nil), all[1:]...), all[0])
	for i, h := range placeAll(objects, again) {
		if h != before[i] {
			t.Fatal("an object didn't return with its node")
		}
	}
}

// TestSkippedNodesKeepTheOrder guards against a doubted target that changes the place of objects of
// other targets: without it, the rest of an object's ranking is the same.
func TestSkippedNodesKeepTheOrder(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		rng := rand.New(rand.NewPCG(rapid.Uint64().Draw(t, "seed"), 1))
		table := New(nodesOf(rng, 30))
		object := rng.Uint64()
		all := table.Rank(object, MaxRank, none)
		skipped := all.Index(rapid.IntRange(0, MaxRank-1).Draw(t, "rank"))
		rest := table.Rank(object, MaxRank, func(i int) bool { return i == skipped })
		at := 0
		for i := range all.Len() {
			if all.Index(i) == skipped {
				continue
			}
			if rest.Index(at) != all.Index(i) {
				t.Fatalf("rank %d is node %d, want %d", at, rest.Index(at), all.Index(i))
			}
			at++
		}
	})
}

func BenchmarkRank(b *testing.B) {
	table := New(nodesOf(rand.New(rand.NewPCG(1, 893)), 893))
	b.ReportAllocs()
	for i := range b.N {
		table.Rank(Mix(uint64(i)), 2, none)
	}
}
