package queue

import (
	"time"

	"github.com/fulmarlatch/fulmarlatch/internal/api"
)

// shareTolerance absorbs rounding in comparisons of shares.
const shareTolerance = 1e-9

// Next removes and returns the item to place next, or false if none may start.
// Classes below their floor come first, by rank, then all others by rank.
// Within a class, workspaces share by weight, and a workspace's items go by submission.
// The item counts as use of its class and workspace until Finished, Requeue,
// Postpone or Cancel. Items past their deadline are left to Expire.
func (q *Queue) Next(now time.Time) (Item, bool) {
	q.observe(now)
	q.collectOverdue()
	q.liftBlocks()
	e := q.pick()
	if e == nil {
		return Item{}, false
	}
	q.countPass(e)
	c := e.flow.class
	if e != q.guardOf(c) { // a guarded entry is served out of turn
		c.virtualTime = max(c.virtualTime, e.flow.virtualTime)
	}
	q.remove(e)
	q.handOut(e)
	return e.item, true
}

func (q *Queue) pick() *entry {
	for _, floors := range [...]bool{true, false} {
		for i, c := range q.order {
			if c.waiting == 0 || q.isBelowFloor(c) != floors {
				continue
			}
			if e := q.pickFrom(i, floors); e != nil {
				return e
			}
		}
	}
	return nil
}

// isBelowFloor reports whether the class has less than its guaranteed share.
func (q *Queue) isBelowFloor(c *class) bool {
	return c.policy.Floor > 0 && c.use.DominantShare(q.base) < c.policy.Floor-shareTolerance
}

// pickFrom returns the entry that the i-th class may start, or nil.
func (q *Queue) pickFrom(i int, belowFloor bool) *entry {
	c := q.order[i]
	allowed := c.allowed(q.held(i, belowFloor))
	if allowed == 0 {
		return nil
	}
	e := q.guardOf(c)
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
	if e == nil || !q.inCeiling(c, e) || (!belowFloor && !q.leavesFloors(c, e)) {
		return nil
	}
	return e
}

// inCeiling reports whether the class may start e within its ceiling. A ceiling
// of 0 is unset, and one of 1 is no bound: the capacity itself is enforced by
// exact accounting at the holders, and the figure here lags behind.
func (q *Queue) inCeiling(c *class, e *entry) bool {
	ceiling := c.policy.Ceiling
	if ceiling <= 0 || ceiling >= 1 {
		return true
	}
	return c.use.Add(e.need).DominantShare(q.base) <= ceiling+shareTolerance
}

// guardOf returns the entry of the class that must not be passed at present,
// or nil. An entry held back by its quota or ceiling is not waiting for room
// and stops nobody.
func (q *Queue) guardOf(c *class) *entry {
	e := c.oldest()
	if e == nil || !e.backfill.isGuarded(q.now) || !q.mayStart(c, e) {
		return nil
	}
	return e
}

// mayStart reports whether quota and ceiling let e start.
func (q *Queue) mayStart(c *class, e *entry) bool {
	fits := q.cell == (api.Resources{}) || e.need.Fits(q.cell)
	return fits && e.flow.workspace.inQuota(e.need) && q.inCeiling(c, e)
}

// held returns the shapes that the i-th class must not start, because an entry
// of another class of the same or a more urgent rank would be passed.
func (q *Queue) held(i int, belowFloor bool) (set shapeSet) {
	c := q.order[i]
	for j, other := range q.order {
		if other.policy.Rank > c.policy.Rank {
			break
		}
		// Of two guarded entries of one rank, the first class goes first.
		if j == i || other.oldest() == nil || (j > i && q.guardOf(c) != nil) {
			continue
		}
		e := q.guardOf(other)
		if e == nil || (belowFloor && !e.backfill.isStrict(q.now)) {
			continue
		}
		set |= q.shapes.overlapping(e.key)
	}
	return set
}

// leavesFloors reports whether e, of a class above its floor, leaves the room
// that postponed entries of classes below their floor wait for. Without this,
// a flood of small urgent work would take each freed slot before a wide entry
// of another class fits, and the floor would not hold. The room kept is at most
// the floor, because the entry may never fit.
func (q *Queue) leavesFloors(c *class, e *entry) bool {
	kept := 0.0
	for _, other := range q.order {
		waits := other.oldest()
		if waits == nil || other == c || !q.isBelowFloor(other) || !q.mayStart(other, waits) {
			continue
		}
		kept += min(waits.need.DominantShare(q.cell), other.policy.Floor)
	}
	if kept == 0 {
		return true
	}
	used := q.use.Add(q.elsewhere).Add(e.need).DominantShare(q.cell)
	return used+kept <= 1+shareTolerance
}

// countPass counts e as passing the oldest postponed entry of each class of
// the same or a more urgent rank.
func (q *Queue) countPass(e *entry) {
	rank := e.flow.class.policy.Rank
	for _, c := range q.order {
		if c.policy.Rank > rank {
			return
		}
		if waits := c.oldest(); waits != nil && waits != e && waits.key.overlaps(e.key) {
			waits.backfill.passes++
		}
	}
}
