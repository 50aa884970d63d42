package queue

import (
	"maps"
	"math/rand/v2"
	"time"

	"github.com/fulmarlatch/fulmarlatch/internal/api"
	"github.com/fulmarlatch/fulmarlatch/internal/bundle"
)

// GangTask is the value of Key.Task that stands for all tasks of a gang.
const GangTask = -1

// Key identifies an item.
type Key struct {
	JobID string
	Task  int // GangTask for a gang
}

// Item is a unit of work that is placed as a whole: a task, or all tasks of a gang.
type Item struct {
	Key       Key
	Workspace string
	Class     string
	Kind      api.Kind
	Resources api.Resources // of each task
	Tasks     int           // tasks placed together, 1 except for gangs
	Submitted time.Time
	Deadline  time.Time     // latest start; zero for none
	RunTime   time.Duration // declared by the caller, 0 if unknown
	Retry     bool          // not the first attempt
}

// need returns the total resources of all tasks.
func (it *Item) need() api.Resources { return it.Resources.Scale(int64(max(it.Tasks, 1))) }

// Queue holds the waiting items of one entry process and accounts for the use of
// classes and workspaces by the items that it dispatched. It is not safe for
// concurrent use.
type Queue struct {
	random           *rand.Rand
	now              time.Time // latest time passed in
	sequence         uint64
	classes          map[string]*class
	order            []*class // listed classes by rank, then name
	workspaces       map[string]*workspace
	waiting          map[Key]*entry
	dispatched       map[Key]*charge
	deadlines        entryHeap
	expired          []Item // to be returned by the next Expire
	shapes           shapeTable
	blocks           []block
	capacity         api.Resources // of all known workers
	peerUse          api.Resources // by items that peers coordinate
	workspacePeerUse map[string]api.Resources
	use              api.Resources // by items dispatched by this process
	shareCapacity    api.Resources // capacity to which the shares of classes refer
	chargeCapacity   api.Resources // capacity to which virtual times refer
}

// New returns an empty queue without classes or workspaces. The seed determines the
// jitter of suggested retry delays.
func New(seed uint64) *Queue {
	return &Queue{
		random:     rand.New(rand.NewPCG(seed, seed)),
		classes:    map[string]*class{},
		workspaces: map[string]*workspace{},
		waiting:    map[Key]*entry{},
		dispatched: map[Key]*charge{},
		deadlines:  entryHeap{before: byDeadline},
	}
}

// Len returns the number of waiting items.
func (q *Queue) Len() int { return len(q.waiting) }

// Requeue puts an item into the queue without admission checks, for example for a
// retry, after a reservation timed out, or when its job is adopted; use Postpone if
// the item fitted on no worker. If the item was dispatched, its use is released and
// it keeps its position. If its class or workspace has been removed, the next Expire
// returns the item. Requeue does not add a key that is already waiting.
func (q *Queue) Requeue(now time.Time, it Item) {
	q.advance(now)
	if e := q.putBack(it); e != nil {
		q.insert(e)
	}
}

// putBack releases the use of an item that was dispatched and returns a new entry with
// its earlier sequence number and backfill state. It returns nil if the item is already
// waiting.
func (q *Queue) putBack(it Item) *entry {
	old := q.release(it.Key)
	if q.waiting[it.Key] != nil {
		return nil
	}
	e := q.newEntry(it)
	if old != nil {
		e.sequence = old.sequence
		e.backfill = old.backfill
	}
	return e
}

// Cancel removes a waiting item in O(1) amortised and reports whether it was
// waiting. For an item that was dispatched but has not started, it releases the use
// and returns false. A started item is not affected.
func (q *Queue) Cancel(key Key) bool {
	if e := q.waiting[key]; e != nil {
		q.remove(e)
		return true
	}
	if ch := q.dispatched[key]; ch != nil && !ch.started {
		q.release(key)
	}
	return false
}

// Expire removes and returns the waiting items whose deadline is not after now, the
// earliest first, in O(log n) each. It also returns items that were put back after
// their class or workspace had been removed.
func (q *Queue) Expire(now time.Time) []Item {
	q.advance(now)
	q.collectExpired()
	items := q.expired
	q.expired = nil
	return items
}

// collectExpired moves the waiting items past their deadline to q.expired.
func (q *Queue) collectExpired() {
	for {
		e := q.deadlines.peek()
		if e == nil || e.item.Deadline.After(q.now) {
			return
		}
		q.remove(e)
		q.expired = append(q.expired, e.item)
	}
}

// advance sets the current time, which never moves back.
func (q *Queue) advance(now time.Time) {
	if now.After(q.now) {
		q.now = now
	}
}

func (q *Queue) newEntry(it Item) *entry {
	q.sequence++
	return &entry{item: it, need: it.need(), sequence: q.sequence}
}

// insert adds e to the waiting entries, or to q.expired if its class or workspace is
// not in the bundle.
func (q *Queue) insert(e *entry) {
	c, w := q.classes[e.item.Class], q.workspaces[e.item.Workspace]
	if c == nil || w == nil || !c.listed || !w.listed {
		q.expired = append(q.expired, e.item)
		return
	}
	e.flow = c.flow(w)
	e.key = shapeOf(&e.item)
	e.waiting = true
	fresh := false
	e.shape, fresh = q.shapes.acquire(e.key)
	if fresh {
		q.refreshBlocks()
	}
	q.waiting[e.item.Key] = e
	c.insert(q.now, e)
	if !e.item.Deadline.IsZero() {
		q.deadlines.add(e)
	}
}

// remove removes e from the waiting entries.
func (q *Queue) remove(e *entry) {
	e.waiting = false
	delete(q.waiting, e.item.Key)
	e.flow.class.remove(q.now, e)
	if !e.item.Deadline.IsZero() {
		q.deadlines.markRemoved()
	}
	if q.shapes.release(e.shape) {
		q.refreshBlocks()
	}
}

// SetCapacity sets the total capacity of all known workers. Floors, ceilings and
// dominant shares refer to it.
func (q *Queue) SetCapacity(capacity api.Resources) {
	q.capacity = capacity
	q.updateShareCapacity()
	q.updateChargeCapacity()
}

// SetPeerUse sets the use of each workspace by items that peers coordinate.
func (q *Queue) SetPeerUse(use map[string]api.Resources) {
	q.peerUse = api.Resources{}
	q.workspacePeerUse = maps.Clone(use)
	for name, w := range q.workspaces {
		w.peerUse = use[name]
	}
	for _, amount := range use {
		q.peerUse = q.peerUse.Add(amount)
	}
	q.updateShareCapacity()
}

// SetPolicy replaces the classes and workspaces. It returns the waiting items whose
// class or workspace has been removed, in order of arrival. All other items keep
// waiting, even if the new policy would not admit them.
func (q *Queue) SetPolicy(classes []bundle.Class, workspaces []bundle.Workspace) (removed []Item) {
	q.setWorkspaces(workspaces)
	q.setClasses(classes)
	return q.removeUnlisted()
}
