package queue

import (
	"time"

	"github.com/fulmarlatch/fulmarlatch/internal/api"
	"github.com/fulmarlatch/fulmarlatch/internal/bundle"
	"github.com/fulmarlatch/fulmarlatch/internal/fault"
)

// entry is one waiting item. A new entry is made whenever an item starts to
// wait, so that a stale reference in a heap never comes back to life.
type entry struct {
	item     Item
	need     api.Resources // of all tasks
	sequence uint64        // order of arrival
	shape    int           // index in the shapeTable
	key      shapeKey
	flow     *flow
	waiting  bool
	backfill backfill
}

func (e *entry) isPostponed() bool { return !e.backfill.first.IsZero() }

// oldest returns the waiting entry that was postponed first, or nil.
func (c *class) oldest() *entry { return c.postponed.peek() }

// workspace is the policy and use of one workspace across classes.
type workspace struct {
	policy    bundle.Workspace
	live      bool          // in the bundle in force
	use       api.Resources // of items handed out by this process
	elsewhere api.Resources // coordinated by peers
}

func (t *workspace) weight() float64 {
	if t.policy.Weight > 0 {
		return t.policy.Weight
	}
	return 1
}

// exceeds returns the first dimension in which use would be over the quota.
func (t *workspace) exceeds(use api.Resources) (api.Dimension, bool) {
	for d := api.CPU; d < api.NumDimensions; d++ {
		if quota := t.policy.Quota.Get(d); quota > 0 && use.Get(d) > quota {
			return d, true
		}
	}
	return 0, false
}

// inQuota reports whether need fits into the quota besides present use.
func (t *workspace) inQuota(need api.Resources) bool {
	if t.policy.Quota == (api.Resources{}) {
		return true
	}
	_, over := t.exceeds(t.use.Add(t.elsewhere).Add(need))
	return !over
}

// bucket holds the waiting entries of one flow and shape by submission.
type bucket struct {
	shape   int
	entries entryHeap
	waiting int
}

// flow is the waiting work of one workspace in one class.
type flow struct {
	class       *class
	workspace   *workspace
	shapes      shapeSet
	buckets     []*bucket // one for each bit of shapes
	waiting     int
	virtualTime float64 // service received, in share-seconds by weight
	position    int     // in class.active, if waiting > 0
}

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

// drop removes an empty bucket.
func (f *flow) drop(shape int) {
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

// first returns the entry submitted first among the given shapes, or nil.
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

// class is the policy and state of one class.
type class struct {
	policy       bundle.Class
	live         bool // in the bundle in force
	flows        map[string]*flow
	active       []*flow // flows with waiting entries
	activeWeight float64
	waiting      int
	shapes       shapeSet       // of waiting entries
	shapeCount   [maxShapes]int // waiting entries by shape
	blocked      shapeSet       // shapes without room at present
	postponed    entryHeap      // waiting entries that found no room
	virtualTime  float64        // of the flow served last
	use          api.Resources  // of items handed out by this process
	placing      int            // handed out, not started
	running      int            // started, not finished
	started      uint64         // attempts started
	refused      map[fault.Kind]uint64
	drain        drainRate
	runTime      time.Duration // moving average of measured run times
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

func (c *class) refuse(kind fault.Kind) { c.refused[kind]++ }

func (c *class) flow(t *workspace) *flow {
	f := c.flows[t.policy.Name]
	if f == nil {
		f = &flow{class: c, workspace: t}
		c.flows[t.policy.Name] = f
	}
	return f
}

// insert adds a waiting entry. A flow that was idle starts at the class's
// virtual time, so that idle time earns no credit.
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

// remove takes an entry that has stopped waiting out of the counts.
func (c *class) remove(now time.Time, e *entry) {
	f := e.flow
	b := f.bucket(e.shape)
	b.entries.discard()
	b.waiting--
	f.waiting--
	c.waiting--
	c.shapeCount[e.shape]--
	if b.waiting == 0 {
		f.drop(e.shape)
	}
	if c.shapeCount[e.shape] == 0 {
		c.shapes &^= 1 << e.shape
	}
	if f.waiting == 0 {
		c.deactivate(f)
	}
	if e.isPostponed() {
		c.postponed.discard()
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
		c.activeWeight = 0 // sheds rounding errors
	}
}

// allowed returns the waiting shapes that have room and are not held.
func (c *class) allowed(held shapeSet) shapeSet { return c.shapes &^ c.blocked &^ held }

// next returns the entry to serve by fair share among workspaces: the flow with the
// least virtual time whose workspace is in its quota, and its first entry.
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

// isBelowShare reports whether one more item keeps the workspace within its part, by
// weight among the workspaces that wait, of the class's bound. Such items are admitted
// beyond the bound, so that one workspace's flood does not shut out the others. The
// parts add up to the bound, so at most twice the bound waits.
func (c *class) isBelowShare(f *flow) bool {
	weight, total := f.workspace.weight(), c.activeWeight
	if f.waiting == 0 {
		total += weight
	}
	return float64(f.waiting+1) <= float64(c.policy.QueueBound)*weight/total
}

// ahead estimates how many waiting items start before a new one of flow f.
// Fair share bounds it by the flow's own backlog, so that the flood of one
// workspace does not cause refusals for the others.
func (c *class) ahead(f *flow) float64 {
	weight, total := f.workspace.weight(), c.activeWeight
	if f.waiting == 0 {
		total += weight
	}
	turn := float64(f.waiting+1)*total/weight - 1
	return min(float64(c.waiting), turn)
}
