package core

import (
	"container/heap"
	"time"
)

// leaseTry is the time at which a worker is asked for its lease.
type leaseTry struct {
	at     time.Time
	worker *workerState
}

// leaseTries is a heap of tries in order of time and name, so that a Tick costs
// nothing for workers whose time has not come. A try counts only while it is the
// worker's latest and the lease is still wanted.
type leaseTries []leaseTry

func (t leaseTries) Len() int { return len(t) }

func (t leaseTries) Less(i, k int) bool {
	if !t[i].at.Equal(t[k].at) {
		return t[i].at.Before(t[k].at)
	}
	return t[i].worker.vm.Name < t[k].worker.vm.Name
}

func (t leaseTries) Swap(i, k int) { t[i], t[k] = t[k], t[i] }

// Push adds a leaseTry; it is called by package heap.
func (t *leaseTries) Push(x any) { *t = append(*t, x.(leaseTry)) }

// Pop removes the last entry; it is called by package heap.
func (t *leaseTries) Pop() any {
	last := len(*t) - 1
	x := (*t)[last]
	(*t)[last] = leaseTry{}
	*t = (*t)[:last]
	return x
}

// next removes and returns a worker whose time has come, or nil.
func (t *leaseTries) next(now time.Time) *workerState {
	for len(*t) > 0 && !(*t)[0].at.After(now) {
		try := heap.Pop(t).(leaseTry)
		w := try.worker
		if w.nextTry.Equal(try.at) && (w.role == roleWanted || w.role == roleFallback) {
			return w
		}
	}
	return nil
}

// tryAt sets the time at which a worker is asked for its lease.
func (c *Core) tryAt(w *workerState, at time.Time) {
	w.nextTry = at
	heap.Push(&c.workers.tries, leaseTry{at, w})
}
