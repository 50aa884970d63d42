package queue

import "time"

const (
	// ageBound is the time after the first postponement from which no item of
	// the same or a less urgent class with overlapping need passes an item.
	// Below floors are exempt until strictAge.
	ageBound = 5 * time.Second
	// maxPasses is the number of such passes with the same effect.
	maxPasses = 1000
	// strictAge is the time after the first postponement from which classes
	// below their floor do not pass either.
	strictAge = time.Minute
	// guardWindow is the time for which an aged item is first guarded. If the
	// item has not started by then, it may be passed again for as long, and is
	// then guarded for twice the time. An item that no worker can ever hold
	// would otherwise stop its class for good, while any item whose blockers
	// end within maxGuardWindow starts.
	guardWindow = 2 * time.Minute
	// maxGuardWindow bounds the doubling.
	maxGuardWindow = time.Hour
)

// backfill is the history of an item that found no room.
type backfill struct {
	first   time.Time     // first postponement, zero if never
	passes  int           // items of the same or less urgent classes that passed
	guarded time.Time     // start of the present window, zero if not yet aged
	window  time.Duration // length of the present window, followed by a pause
}

// isGuarded reports whether the item must not be passed at present.
func (b *backfill) isGuarded(now time.Time) bool {
	if b.first.IsZero() {
		return false
	}
	if b.guarded.IsZero() {
		if b.passes < maxPasses && now.Sub(b.first) < ageBound {
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

// isStrict reports whether classes below their floor must not pass either.
func (b *backfill) isStrict(now time.Time) bool {
	return !b.first.IsZero() && now.Sub(b.first) >= strictAge
}

// block records that items of a shape found no room in classes of a rank and
// all less urgent ones. More urgent classes may preempt and still try.
type block struct {
	rank  int
	key   shapeKey
	until time.Time
}

// Postpone puts an item back for which there is no room. It and all items of
// its class and less urgent classes that need at least as much are not handed
// out before until or RoomFreed; smaller items may pass.
func (q *Queue) Postpone(now time.Time, it Item, until time.Time) {
	q.observe(now)
	e := q.putBack(it)
	if e == nil {
		return
	}
	if !e.isPostponed() {
		e.backfill.first = q.now
	}
	q.insert(e)
	if e.waiting {
		q.block(block{rank: e.flow.class.policy.Rank, key: e.key, until: until})
	}
}

func (q *Queue) block(b block) {
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

// RoomFreed lets postponed items be tried again.
func (q *Queue) RoomFreed(now time.Time) {
	q.observe(now)
	q.blocks = q.blocks[:0]
	q.refreshBlocks()
}

// liftBlocks removes the blocks whose time is over.
func (q *Queue) liftBlocks() {
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

// refreshBlocks applies the blocks to the shapes in use.
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
