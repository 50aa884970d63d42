package queue

import (
	"time"

	"github.com/fulmarlatch/fulmarlatch/internal/api"
	"github.com/fulmarlatch/fulmarlatch/internal/bundle"
	"github.com/fulmarlatch/fulmarlatch/internal/fault"
)

// entry is one waiting item. A new entry is made each time an item starts to
// wait, because a heap may still hold the removed entry of an earlier wait.
type entry struct {
	item     Item
	need     api.Resources // total of all tasks
	sequence uint64        // order of arrival
	shape    int           // index in the shapeTable
	key      shapeKey
	flow     *flow
	waiting  bool
	backfill backfill
}

func (e *entry) isPostponed() bool { return !e.backfill.first.IsZero() }

// firstPostponed returns the waiting entry with the earliest first postponement,
// or nil.
func (c *class) firstPostponed() *entry { return c.postponed.peek() }

// workspace holds the policy of a workspace and its resource use in all classes.
type workspace struct {
	policy  bundle.Workspace
	listed  bool          // in the bundle in force
	use     api.Resources // of items dispatched by this process
	peerUse api.Resources // of items coordinated by peers
}

func (w *workspace) weight() float64 {
	if w.policy.Weight > 0 {
		return w.policy.Weight
	}
	return 1
}

// exceeds returns the first dimension in which use is above the quota, and whether
// there is one.
func (w *workspace) exceeds(use api.Resources) (api.Dimension, bool) {
	for d := api.CPU; d < api.NumDimensions; d++ {
		if quota := w.policy.Quota.Get(d); quota > 0 && use.Get(d) > quota {
			return d, true
		}
	}
	return 0, false
}

// inQuota reports whether need fits into the quota in addition to the current use.
func (w *workspace) inQuota(need api.Resources) bool {
	if w.policy.Quota == (api.Resources{}) {
		return true
	}
	_, over := w.exceeds(w.use.Add(w.peerUse).Add(need))
	return !over
}

// bucket holds the waiting entries of one flow and shape in submission order.
type bucket struct {
	shape   int
	entries entryHeap
	waiting int
}

// flow is the waiting work of one workspace in one class, the unit of fair
// queueing.
type flow struct {
	class       *class
	workspace   *workspace
	shapes      shapeSet  // of waiting entries
	buckets     []*bucket // one for each bit of shapes
	waiting     int
	virtualTime float64 // service received: dominant share x seconds / weight
	position    int     // index in class.active, if waiting > 0
}

// bucket returns the bucket of a shape, and creates it if needed.
func (f *flow) bucket(shape int) *bucket {
	for _, b := range f.buckets {
		if b.shape == shape {
			return b
		}
	}
	b := &bucket{shape: shape, entries: entryHeap{before: bySubmission}}
	f.buckets = append(f.buckets, b)
	f.shapes |= 1 << shape
	return b
}

// removeBucket removes the bucket of a shape.
func (f *flow) removeBucket(shape int) {
	f.shapes &^= 1 << shape
	for i, b := range f.buckets {
		if b.shape == shape {
			last := len(f.buckets) - 1
			f.buckets[i] = f.buckets[last]
			f.buckets[last] = nil
			f.buckets = f.buckets[:last]
			return
		}
	}
}

// first returns the earliest submitted entry of the given shapes, or nil.
func (f *flow) first(shapes shapeSet) (first *entry) {
	for _, b := range f.buckets {
		if !shapes.has(b.shape) {
			continue
		}
		if e := b.entries.peek(); e != nil && (first == nil || bySubmission(e, first)) {
			first = e
		}
	}
	return first
}

// class holds the policy and state of one class.
type class struct {
	policy       bundle.Class
	listed       bool // in the bundle in force
	flows        map[string]*flow
	active       []*flow // flows with waiting entries
	activeWeight float64
	waiting      int
	shapes       shapeSet       // of waiting entries
	shapeCount   [maxShapes]int // waiting entries by shape
	blocked      shapeSet       // shapes that fit on no worker now
	postponed    entryHeap      // waiting entries that fitted on no worker
	virtualTime  float64        // virtual time of the last flow served
	use          api.Resources  // of items dispatched by this process
	placing      int            // dispatched, not started
	running      int            // started, not finished
	started      uint64         // attempts started
	refused      map[fault.Kind]uint64
	drain        drainRate
	runTime      time.Duration // moving average of measured run times, 0 if none
	retryTokens  float64
}

func newClass() *class {
	return &class{
		flows:       map[string]*flow{},
		refused:     map[fault.Kind]uint64{},
		retryTokens: retryBurst,
		postponed:   entryHeap{before: byPostponement},
	}
}

func (c *class) countRefusal(kind fault.Kind) { c.refused[kind]++ }

// flow returns the flow of a workspace, and creates it if needed.
func (c *class) flow(w *workspace) *flow {
	f := c.flows[w.policy.Name]
	if f == nil {
		f = &flow{class: c, workspace: w}
		c.flows[w.policy.Name] = f
	}
	return f
}

// insert adds a waiting entry. A flow that was idle starts at the virtual time of
// the class, so that a workspace gains no credit while it is idle.
func (c *class) insert(now time.Time, e *entry) {
	f := e.flow
	if f.waiting == 0 {
		f.virtualTime = max(f.virtualTime, c.virtualTime)
		f.position = len(c.active)
		c.active = append(c.active, f)
		c.activeWeight += f.workspace.weight()
	}
	b := f.bucket(e.shape)
	b.entries.add(e)
	b.waiting++
	f.waiting++
	c.waiting++
	c.shapeCount[e.shape]++
	c.shapes |= 1 << e.shape
	if e.isPostponed() {
		c.postponed.add(e)
	}
	if c.waiting == 1 {
		c.drain.setBusy(now, true)
	}
}

// remove updates the counts for an entry that has stopped waiting. The heaps drop
// the entry later.
func (c *class) remove(now time.Time, e *entry) {
	f := e.flow
	b := f.bucket(e.shape)
	b.entries.markRemoved()
	b.waiting--
	f.waiting--
	c.waiting--
	c.shapeCount[e.shape]--
	if b.waiting == 0 {
		f.removeBucket(e.shape)
	}
	if c.shapeCount[e.shape] == 0 {
		c.shapes &^= 1 << e.shape
	}
	if f.waiting == 0 {
		c.deactivate(f)
	}
	if e.isPostponed() {
		c.postponed.markRemoved()
	}
	if c.waiting == 0 {
		c.drain.setBusy(now, false)
	}
}

func (c *class) deactivate(f *flow) {
	last := len(c.active) - 1
	moved := c.active[last]
	c.active[f.position] = moved
	moved.position = f.position
	c.active[last] = nil
	c.active = c.active[:last]
	c.activeWeight -= f.workspace.weight()
	if last == 0 {
		c.activeWeight = 0 // clears rounding errors
	}
}

// allowed returns the waiting shapes that are neither blocked nor guarded.
func (c *class) allowed(guarded shapeSet) shapeSet { return c.shapes &^ c.blocked &^ guarded }

// next returns the entry to serve by fair share among workspaces, or nil: the
// first entry of the flow with the least virtual time whose workspace has quota
// for it.
func (c *class) next(shapes shapeSet) (best *entry) {
	for _, f := range c.active {
		if f.shapes&shapes == 0 || (best != nil && f.virtualTime > best.flow.virtualTime) {
			continue
		}
		e := f.first(shapes)
		if e == nil || !f.workspace.inQuota(e.need) {
			continue
		}
		if best == nil || f.virtualTime < best.flow.virtualTime || bySubmission(e, best) {
			best = e
		}
	}
	return best
}

// isWithinQueueShare reports whether one more item keeps the workspace within its
// share of the class's queue bound, by weight among the workspaces with waiting
// items. Such items are admitted beyond the bound, so that a flood of one workspace
// does not shut out the others. The shares add up to the bound, so at most twice
// the bound waits.
func (c *class) isWithinQueueShare(f *flow) bool {
	weight, total := f.workspace.weight(), c.activeWeight
	if f.waiting == 0 {
		total += weight
	}
	return float64(f.waiting+1) <= float64(c.policy.QueueBound)*weight/total
}

// itemsAhead estimates how many waiting items start before a new item of flow f.
// With fair share it depends on the flow's own backlog, so that a flood of one
// workspace does not cause refusals for the others.
func (c *class) itemsAhead(f *flow) float64 {
	weight, total := f.workspace.weight(), c.activeWeight
	if f.waiting == 0 {
		total += weight
	}
	ahead := float64(f.waiting+1)*total/weight - 1
	return min(float64(c.waiting), ahead)
}
