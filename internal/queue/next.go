package queue

import (
	"time"

	"github.com/fulmarlatch/fulmarlatch/internal/api"
)

// shareTolerance absorbs rounding in comparisons of shares.
const shareTolerance = 1e-9

// Next removes and returns the item to place next, or false if none may start.
// Classes below their floor come first, by rank, then all others by rank. Within a
// class, workspaces share by weight, and the items of a workspace are ordered by
// submission. The item counts as use of its class and workspace until Finished,
// Requeue, Postpone or Cancel is called for it. Items past their deadline are
// returned by Expire instead.
func (q *Queue) Next(now time.Time) (Item, bool) {
	q.advance(now)
	q.collectExpired()
	q.removeExpiredBlocks()
	e := q.pick()
	if e == nil {
		return Item{}, false
	}
	q.countOvertakes(e)
	c := e.flow.class
	if e != q.guardedEntry(c) { // a guarded entry is served out of its fair-share order
		c.virtualTime = max(c.virtualTime, e.flow.virtualTime)
	}
	q.remove(e)
	q.dispatch(e)
	return e.item, true
}

// pick returns the next entry that may start, or nil.
func (q *Queue) pick() *entry {
	for _, belowFloor := range [...]bool{true, false} {
		for i, c := range q.order {
			if c.waiting == 0 || q.isBelowFloor(c) != belowFloor {
				continue
			}
			if e := q.pickFrom(i, belowFloor); e != nil {
				return e
			}
		}
	}
	return nil
}

// isBelowFloor reports whether the class has less than its guaranteed share.
func (q *Queue) isBelowFloor(c *class) bool {
	return c.policy.Floor > 0 && c.use.DominantShare(q.shareCapacity) < c.policy.Floor-shareTolerance
}

// pickFrom returns the next entry that the i-th class may start, or nil.
func (q *Queue) pickFrom(i int, belowFloor bool) *entry {
	c := q.order[i]
	allowed := c.allowed(q.guardedShapes(i, belowFloor))
	if allowed == 0 {
		return nil
	}
	e := q.guardedEntry(c)
	if e != nil && !allowed.has(e.shape) {
		allowed &^= q.shapes.overlapping(e.key)
		e = nil
	}
	if allowed == 0 {
		return nil
	}
	if e == nil {
		e = c.next(allowed)
		c.drain.setBusy(q.now, e != nil)
	}
	if e == nil || !q.inCeiling(c, e) || (!belowFloor && !q.respectsFloors(c, e)) {
		return nil
	}
	return e
}

// inCeiling reports whether the class may start e within its ceiling. A ceiling
// of 0 is unset. One of 1 is not checked either: the holders of the worker leases
// enforce the capacity exactly, while the capacity known here may be out of date.
func (q *Queue) inCeiling(c *class, e *entry) bool {
	ceiling := c.policy.Ceiling
	if ceiling <= 0 || ceiling >= 1 {
		return true
	}
	return c.use.Add(e.need).DominantShare(q.shareCapacity) <= ceiling+shareTolerance
}

// guardedEntry returns the entry of the class that must not be overtaken now,
// or nil. An entry that its quota or the class's ceiling keeps from starting is not
// waiting for capacity, so other entries may overtake it.
func (q *Queue) guardedEntry(c *class) *entry {
	e := c.firstPostponed()
	if e == nil || !e.backfill.isGuarded(q.now) || !q.mayStart(c, e) {
		return nil
	}
	return e
}

// mayStart reports whether e can start once enough capacity is free: its need is at
// most the known capacity, and quota and ceiling allow it.
func (q *Queue) mayStart(c *class, e *entry) bool {
	fits := q.capacity == (api.Resources{}) || e.need.Fits(q.capacity)
	return fits && e.flow.workspace.inQuota(e.need) && q.inCeiling(c, e)
}

// guardedShapes returns the shapes that the i-th class must not start, because they
// would overtake a guarded entry of another class of the same or a more urgent rank.
func (q *Queue) guardedShapes(i int, belowFloor bool) (set shapeSet) {
	c := q.order[i]
	for j, other := range q.order {
		if other.policy.Rank > c.policy.Rank {
			break
		}
		// Of two classes of one rank with guarded entries, the first in order wins.
		if j == i || other.firstPostponed() == nil || (j > i && q.guardedEntry(c) != nil) {
			continue
		}
		e := q.guardedEntry(other)
		if e == nil || (belowFloor && !e.backfill.isStrict(q.now)) {
			continue
		}
		set |= q.shapes.overlapping(e.key)
	}
	return set
}

// respectsFloors reports whether starting e, of a class above its floor, leaves enough
// free for the postponed entries of classes below their floor. Without this check,
// a flood of small urgent items would take each freed slot before a wide entry of
// another class fits, and the floor would not be kept. The share left free for a class
// is at most its floor, because the entry may never fit.
func (q *Queue) respectsFloors(c *class, e *entry) bool {
	reserved := 0.0
	for _, other := range q.order {
		waiting := other.firstPostponed()
		if waiting == nil || other == c || !q.isBelowFloor(other) || !q.mayStart(other, waiting) {
			continue
		}
		reserved += min(waiting.need.DominantShare(q.capacity), other.policy.Floor)
	}
	if reserved == 0 {
		return true
	}
	used := q.use.Add(q.peerUse).Add(e.need).DominantShare(q.capacity)
	return used+reserved <= 1+shareTolerance
}

// countOvertakes counts that e overtakes the first postponed entry of each class of
// the same or a more urgent rank.
func (q *Queue) countOvertakes(e *entry) {
	rank := e.flow.class.policy.Rank
	for _, c := range q.order {
		if c.policy.Rank > rank {
			return
		}
		if waiting := c.firstPostponed(); waiting != nil && waiting != e && waiting.key.overlaps(e.key) {
			waiting.backfill.overtakes++
		}
	}
}
