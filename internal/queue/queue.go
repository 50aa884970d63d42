package queue

import (
	"maps"
	"math/rand/v2"
	"time"

	"github.com/fulmarlatch/fulmarlatch/internal/api"
	"github.com/fulmarlatch/fulmarlatch/internal/bundle"
)

// GangTask is the Task of a Key that stands for all tasks of a gang.
const GangTask = -1

// Key names a waiting item.
type Key struct {
	JobID string
	Task  int // GangTask for a gang
}

// Item is work that is placed in one step: a task, or all tasks of a gang.
type Item struct {
	Key       Key
	Workspace string
	Class     string
	Kind      api.Kind
	Resources api.Resources // of each task
	Tasks     int           // tasks placed together, 1 except for gangs
	Submitted time.Time
	Deadline  time.Time     // latest start; zero for none
	RunTime   time.Duration // declared, 0 if unknown
	Retry     bool          // not the first attempt
}

// need returns the resources of all tasks.
func (it *Item) need() api.Resources { return it.Resources.Scale(int64(max(it.Tasks, 1))) }

// Queue is the waiting work of one entry process, and the use of classes and
// workspaces by the work that it handed out. The control goroutine owns it.
type Queue struct {
	random              *rand.Rand
	now                 time.Time // latest time seen
	sequence            uint64
	classes             map[string]*class
	order               []*class // live classes by rank, then name
	workspaces          map[string]*workspace
	waiting             map[Key]*entry
	handedOut           map[Key]*charge
	deadlines           entryHeap
	overdue             []Item // for the next Expire
	shapes              shapeTable
	blocks              []block
	cell                api.Resources // capacity of the cell
	elsewhere           api.Resources // use coordinated by peers
	workspacesElsewhere map[string]api.Resources
	use                 api.Resources // use by items handed out here
	base                api.Resources // capacity to which the shares of classes refer
	scale               api.Resources // capacity to which virtual times refer
}

// New returns an empty queue without classes or workspaces. The seed determines the
// jitter of advised retry times.
func New(seed uint64) *Queue {
	return &Queue{
		random:     rand.New(rand.NewPCG(seed, seed)),
		classes:    map[string]*class{},
		workspaces: map[string]*workspace{},
		waiting:    map[Key]*entry{},
		handedOut:  map[Key]*charge{},
		deadlines:  entryHeap{before: byDeadline},
	}
}

// Len returns the number of waiting items.
func (q *Queue) Len() int { return len(q.waiting) }

// Requeue puts an item back without admission. The item keeps its age and its
// use is given back. It suits a retry and a reservation that timed out; Postpone
// suits an item for which there is no room. If the item's class or workspace has
// vanished, the next Expire returns it. A key that is waiting already is left
// as it is.
func (q *Queue) Requeue(now time.Time, it Item) {
	q.observe(now)
	if e := q.putBack(it); e != nil {
		q.insert(e)
	}
}

// putBack gives the use of an item back and returns a new entry with its age,
// or nil if the item is waiting already.
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
// waiting. For an item that was handed out and not started it gives back the
// use and returns false. A started item is not affected.
func (q *Queue) Cancel(key Key) bool {
	if e := q.waiting[key]; e != nil {
		q.remove(e)
		return true
	}
	if ch := q.handedOut[key]; ch != nil && !ch.started {
		q.release(key)
	}
	return false
}

// Expire removes and returns the items whose deadline is not after now, the
// earliest first, in O(log n) each. It also returns items put back after their
// class or workspace had vanished.
func (q *Queue) Expire(now time.Time) []Item {
	q.observe(now)
	q.collectOverdue()
	items := q.overdue
	q.overdue = nil
	return items
}

// collectOverdue moves items past their deadline out of the waiting work.
func (q *Queue) collectOverdue() {
	for {
		e := q.deadlines.peek()
		if e == nil || e.item.Deadline.After(q.now) {
			return
		}
		q.remove(e)
		q.overdue = append(q.overdue, e.item)
	}
}

// observe records the latest time; time never moves back.
func (q *Queue) observe(now time.Time) {
	if now.After(q.now) {
		q.now = now
	}
}

func (q *Queue) newEntry(it Item) *entry {
	q.sequence++
	return &entry{item: it, need: it.need(), sequence: q.sequence}
}

// insert makes e wait, or leaves it to the next Expire if its class or workspace is
// not in force.
func (q *Queue) insert(e *entry) {
	c, t := q.classes[e.item.Class], q.workspaces[e.item.Workspace]
	if c == nil || t == nil || !c.live || !t.live {
		q.overdue = append(q.overdue, e.item)
		return
	}
	e.flow = c.flow(t)
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

// remove ends the waiting of e.
func (q *Queue) remove(e *entry) {
	e.waiting = false
	delete(q.waiting, e.item.Key)
	e.flow.class.remove(q.now, e)
	if !e.item.Deadline.IsZero() {
		q.deadlines.discard()
	}
	if q.shapes.release(e.shape) {
		q.refreshBlocks()
	}
}

// SetCapacity sets the capacity of all workers that the process knows of.
// Floors, ceilings and dominant shares refer to it.
func (q *Queue) SetCapacity(cell api.Resources) {
	q.cell = cell
	q.rebase()
	q.rescale()
}

// SetUseElsewhere sets the use of each workspace that peers coordinate.
func (q *Queue) SetUseElsewhere(use map[string]api.Resources) {
	q.elsewhere = api.Resources{}
	q.workspacesElsewhere = maps.Clone(use)
	for name, t := range q.workspaces {
		t.elsewhere = use[name]
	}
	for _, amount := range use {
		q.elsewhere = q.elsewhere.Add(amount)
	}
	q.rebase()
}

// SetPolicy puts classes and workspaces in force and returns the waiting items
// whose class or workspace has vanished, in the order of arrival. All other items
// keep waiting, also those that the new policy would not admit.
func (q *Queue) SetPolicy(classes []bundle.Class, workspaces []bundle.Workspace) (removed []Item) {
	q.setWorkspaces(workspaces)
	q.setClasses(classes)
	return q.removeVanished()
}
