package placement

import "github.com/fulmarlatch/fulmarlatch/internal/api"

// order is the order in which a search visits feasible workers.
type order int

const (
	leastFreeFirst order = iota // by the sum of the free shares, ascending
	mostFreeFirst               // by the smallest free share, descending
)

// frontierEntry is a worker or a subtree that a search has not visited yet.
type frontierEntry struct {
	bound  float32 // no worker in the entry has a smaller value
	single bool    // the worker only, without its subtree
	w      *worker
}

// search visits the workers in the index with at least need free, in the given
// order, until visit returns false. It is a best-first search over the treap.
func (x *index) search(need api.Resources, o order, visit func(*worker) bool) {
	x.frontier = x.frontier[:0]
	x.pushSubtree(need, o, x.root)
	for len(x.frontier) > 0 {
		e := x.popFrontier()
		if e.single {
			if !visit(e.w) {
				return
			}
			continue
		}
		n := &e.w.node
		if need.Fits(n.free) {
			x.pushFrontier(frontierEntry{bound: o.value(n), single: true, w: e.w})
		}
		x.pushSubtree(need, o, n.left)
		x.pushSubtree(need, o, n.right)
	}
}

func (x *index) pushSubtree(need api.Resources, o order, w *worker) {
	if w != nil && need.Fits(w.node.maxFree) {
		x.pushFrontier(frontierEntry{bound: o.bound(&w.node), w: w})
	}
}

// value returns the sort key of the worker itself; smaller values come first.
func (o order) value(n *node) float32 {
	if o == leastFreeFirst {
		return n.freeSum
	}
	return -n.freeMin
}

// bound returns the smallest value in the subtree.
func (o order) bound(n *node) float32 {
	if o == leastFreeFirst {
		return n.minFreeSum
	}
	return -n.maxFreeMin
}

// less orders entries by bound. Workers come before subtrees of the same bound, so
// that a search among many equal workers does not expand all of them.
func (e frontierEntry) less(f frontierEntry) bool {
	if e.bound != f.bound {
		return e.bound < f.bound
	}
	return e.single && !f.single
}

func (x *index) pushFrontier(e frontierEntry) {
	x.frontier = append(x.frontier, e)
	f := x.frontier
	for i := len(f) - 1; i > 0; {
		parent := (i - 1) / 2
		if !f[i].less(f[parent]) {
			return
		}
		f[i], f[parent] = f[parent], f[i]
		i = parent
	}
}

func (x *index) popFrontier() frontierEntry {
	f := x.frontier
	first, last := f[0], len(f)-1
	f[0] = f[last]
	f = f[:last]
	x.frontier = f
	for i := 0; ; {
		child := 2*i + 1
		if child >= len(f) {
			return first
		}
		if right := child + 1; right < len(f) && f[right].less(f[child]) {
			child = right
		}
		if !f[child].less(f[i]) {
			return first
		}
		f[i], f[child] = f[child], f[i]
		i = child
	}
}
