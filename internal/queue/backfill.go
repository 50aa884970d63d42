package queue

import "time"

const (
	// guardAge is the time after an item's first postponement at which the item
	// becomes guarded: no item of the same or a less urgent class that needs one
	// of the same dimensions may then overtake it. Classes below their floor are
	// exempt until strictGuardAge.
	guardAge = 5 * time.Second
	// maxOvertakes is the number of such items that may overtake an item before
	// it becomes guarded, even if it has not reached guardAge.
	maxOvertakes = 1000
	// strictGuardAge is the time after the first postponement from which classes
	// below their floor may not overtake a guarded item either.
	strictGuardAge = time.Minute
	// guardWindow is the first period for which an item is guarded. If the item
	// has not started by then, it may be overtaken for the same time, and is then
	// guarded for twice as long. Without these pauses, an item that fits on no
	// worker would block its class forever. An item still starts if the items in
	// its way end within maxGuardWindow.
	guardWindow = 2 * time.Minute
	// maxGuardWindow is the longest period for which an item is guarded.
	maxGuardWindow = time.Hour
)

// backfill tracks an item that was postponed because it fitted on no worker, to limit
// how long and how often other items overtake it.
type backfill struct {
	first     time.Time     // first postponement, zero if never
	overtakes int           // items of the same or less urgent classes that overtook it
	guarded   time.Time     // start of the last guard window, zero if never guarded
	window    time.Duration // length of that window and of the pause after it
}

// isGuarded reports whether the item must not be overtaken at time now.
func (b *backfill) isGuarded(now time.Time) bool {
	if b.first.IsZero() {
		return false
	}
	if b.guarded.IsZero() {
		if b.overtakes < maxOvertakes && now.Sub(b.first) < guardAge {
			return false
		}
		b.guarded, b.window = now, guardWindow
	}
	for now.Sub(b.guarded) >= 2*b.window {
		b.guarded = b.guarded.Add(2 * b.window)
		b.window = min(2*b.window, maxGuardWindow)
	}
	return now.Sub(b.guarded) < b.window
}

// isStrict reports whether classes below their floor must not overtake the item
// either.
func (b *backfill) isStrict(now time.Time) bool {
	return !b.first.IsZero() && now.Sub(b.first) >= strictGuardAge
}

// block records that items of a shape fit on no worker. It applies to classes of the
// rank and less urgent ones; more urgent classes may preempt, so they still try.
type block struct {
	rank  int
	key   shapeKey
	until time.Time
}

// Postpone puts an item back into the queue because it fits on no worker now.
// Next does not return this item, or any item of the same or a less urgent class that
// needs at least as much, until the given time or a call of CapacityFreed. Smaller items
// may overtake it.
func (q *Queue) Postpone(now time.Time, it Item, until time.Time) {
	q.advance(now)
	e := q.putBack(it)
	if e == nil {
		return
	}
	if !e.isPostponed() {
		e.backfill.first = q.now
	}
	q.insert(e)
	if e.waiting {
		q.addBlock(block{rank: e.flow.class.policy.Rank, key: e.key, until: until})
	}
}

func (q *Queue) addBlock(b block) {
	for i := range q.blocks {
		if old := &q.blocks[i]; old.rank == b.rank && old.key == b.key {
			if b.until.After(old.until) {
				old.until = b.until
			}
			q.refreshBlocks()
			return
		}
	}
	q.blocks = append(q.blocks, b)
	q.refreshBlocks()
}

// CapacityFreed makes postponed items eligible again.
func (q *Queue) CapacityFreed(now time.Time) {
	q.advance(now)
	q.blocks = q.blocks[:0]
	q.refreshBlocks()
}

// removeExpiredBlocks removes the blocks whose time has passed.
func (q *Queue) removeExpiredBlocks() {
	kept := q.blocks[:0]
	for _, b := range q.blocks {
		if b.until.After(q.now) {
			kept = append(kept, b)
		}
	}
	if len(kept) < len(q.blocks) {
		q.blocks = kept
		q.refreshBlocks()
	}
}

// refreshBlocks recomputes the blocked shapes of each class.
func (q *Queue) refreshBlocks() {
	for _, c := range q.order {
		c.blocked = 0
	}
	for i := range q.blocks {
		shapes := q.shapes.atLeast(q.blocks[i].key)
		for _, c := range q.order {
			if c.policy.Rank >= q.blocks[i].rank {
				c.blocked |= shapes
			}
		}
	}
}
