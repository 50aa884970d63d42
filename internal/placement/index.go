package placement

import (
	"math/rand/v2"

	"github.com/fulmarlatch/fulmarlatch/internal/api"
)

// levelBits is the number of bits for each dimension in the key of the index.
const levelBits = 6

// index is a treap of the workers that currently accept new work. Its key
// interleaves the bits of the free share in each dimension (Z-order), so that a
// subtree holds workers with similar free amounts. Each subtree records its largest
// free amount per dimension, so that a search skips subtrees without a feasible
// worker and never misses a feasible one.
type index struct {
	root     *worker
	rng      *rand.Rand
	free     api.Resources   // sum over the workers in the index, negative amounts counted as 0
	frontier []frontierEntry // a heap, reused by all searches
}

// node is the index entry of a worker.
type node struct {
	indexed     bool
	left, right *worker
	priority    uint32
	key         uint64
	free        api.Resources // at the time of insertion
	freeSum     float32       // sum of the free shares
	freeMin     float32       // smallest free share
	// Aggregates over the subtree:
	maxFree    api.Resources
	minFreeSum float32
	maxFreeMin float32
}

// insert adds w with its current free amounts.
func (x *index) insert(w *worker) {
	n := &w.node
	n.indexed = true
	n.left, n.right = nil, nil
	n.priority = x.rng.Uint32()
	n.free = w.free()
	n.setKey(w.Capacity)
	x.free = x.free.Add(positive(n.free))
	n.aggregate()
	left, right := split(x.root, w)
	x.root = merge(merge(left, w), right)
}

// remove removes w from the index.
func (x *index) remove(w *worker) {
	x.root = cut(x.root, w)
	x.free = x.free.Sub(positive(w.node.free))
	w.node.indexed = false
}

// setKey computes the key, freeSum and freeMin from the free amounts.
func (n *node) setKey(capacity api.Resources) {
	free, total := vector(n.free), vector(capacity)
	var levels [api.NumDimensions]uint64
	n.freeSum, n.freeMin = 0, 1
	for d := range free {
		if total[d] <= 0 {
			continue
		}
		part := float32(free[d]) / float32(total[d])
		n.freeSum += part
		n.freeMin = min(n.freeMin, part)
		levels[d] = uint64(max(part, 0) * (1<<levelBits - 1))
	}
	n.key = interleave(levels)
}

// interleave merges the levels bit by bit, highest bits first.
func interleave(levels [api.NumDimensions]uint64) uint64 {
	key := uint64(0)
	for bit := levelBits - 1; bit >= 0; bit-- {
		for _, level := range levels {
			key = key<<1 | level>>bit&1
		}
	}
	return key
}

// before orders workers in the index by key, then by order of addition.
func before(a, b *worker) bool {
	if a.node.key != b.node.key {
		return a.node.key < b.node.key
	}
	return a.sequence < b.sequence
}

// aggregate recomputes the values over the subtree from the children.
func (n *node) aggregate() {
	n.maxFree, n.minFreeSum, n.maxFreeMin = n.free, n.freeSum, n.freeMin
	n.include(n.left)
	n.include(n.right)
}

func (n *node) include(child *worker) {
	if child == nil {
		return
	}
	n.maxFree = n.maxFree.Max(child.node.maxFree)
	n.minFreeSum = min(n.minFreeSum, child.node.minFreeSum)
	n.maxFreeMin = max(n.maxFreeMin, child.node.maxFreeMin)
}

// split divides the subtree of t into the workers ordered before w and the others.
func split(t, w *worker) (left, right *worker) {
	if t == nil {
		return nil, nil
	}
	if before(t, w) {
		t.node.right, right = split(t.node.right, w)
		t.node.aggregate()
		return t, right
	}
	left, t.node.left = split(t.node.left, w)
	t.node.aggregate()
	return left, t
}

// merge joins two subtrees; all workers of left must be ordered before those of right.
func merge(left, right *worker) *worker {
	switch {
	case left == nil:
		return right
	case right == nil:
		return left
	case left.node.priority > right.node.priority:
		left.node.right = merge(left.node.right, right)
		left.node.aggregate()
		return left
	}
	right.node.left = merge(left, right.node.left)
	right.node.aggregate()
	return right
}

// cut returns the subtree of t without w, which must be in it.
func cut(t, w *worker) *worker {
	if t == w {
		return merge(t.node.left, t.node.right)
	}
	if before(w, t) {
		t.node.left = cut(t.node.left, w)
	} else {
		t.node.right = cut(t.node.right, w)
	}
	t.node.aggregate()
	return t
}
