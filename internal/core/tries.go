package core

import (
	"container/heap"
	"time"
)

// leaseTry is a scheduled request for the lease of a worker.
type leaseTry struct {
	at     time.Time
	worker *workerState
}

// leaseTries is a heap of lease requests ordered by time and worker name, so that a
// Tick costs nothing for workers that are not due. An entry is valid only while it is
// the latest of its worker and the role still needs the lease.
type leaseTries []leaseTry

func (t leaseTries) Len() int { return len(t) }

func (t leaseTries) Less(i, k int) bool {
	if !t[i].at.Equal(t[k].at) {
		return t[i].at.Before(t[k].at)
	}
	return t[i].worker.vm.Name < t[k].worker.vm.Name
}

func (t leaseTries) Swap(i, k int) { t[i], t[k] = t[k], t[i] }

// Push adds a leaseTry. It implements heap.Interface.
func (t *leaseTries) Push(x any) { *t = append(*t, x.(leaseTry)) }

// Pop removes the last entry. It implements heap.Interface.
func (t *leaseTries) Pop() any {
	last := len(*t) - 1
	x := (*t)[last]
	(*t)[last] = leaseTry{}
	*t = (*t)[:last]
	return x
}

// next removes the earliest valid entry that is due and returns its worker, or nil.
func (t *leaseTries) next(now time.Time) *workerState {
	for len(*t) > 0 && !(*t)[0].at.After(now) {
		try := heap.Pop(t).(leaseTry)
		w := try.worker
		if w.nextTry.Equal(try.at) && (w.role == rolePreferred || w.role == roleFallback) {
			return w
		}
	}
	return nil
}

// tryAt sets the time of the next request for a worker's lease.
func (c *Core) tryAt(w *workerState, at time.Time) {
	w.nextTry = at
	heap.Push(&c.workers.tries, leaseTry{at, w})
}
