package queue

import (
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"github.com/fulmarlatch/fulmarlatch/internal/api"
	"github.com/fulmarlatch/fulmarlatch/internal/bundle"
)

// stateMachine makes random calls to a queue and tracks the state of each item.
type stateMachine struct {
	q          *Queue
	now        time.Time
	next       int
	waiting    map[Key]bool // also items to be returned by the next Expire
	dispatched []Item       // includes running items
	started    map[Key]bool
}

func (m *stateMachine) removeWaiting(t *rapid.T, items ...Item) {
	for _, it := range items {
		if !m.waiting[it.Key] {
			t.Fatalf("%v was not waiting", it.Key)
		}
		delete(m.waiting, it.Key)
	}
}

// withDispatched returns an action that calls f with a random dispatched item, which
// is no longer tracked as dispatched unless keep is true.
func (m *stateMachine) withDispatched(keep bool, f func(Item)) func(*rapid.T) {
	return func(t *rapid.T) {
		if len(m.dispatched) == 0 {
			t.Skip("no item is dispatched")
		}
		i := rapid.IntRange(0, len(m.dispatched)-1).Draw(t, "out")
		it := m.dispatched[i]
		if !keep {
			m.dispatched = append(m.dispatched[:i], m.dispatched[i+1:]...)
			delete(m.started, it.Key)
		}
		f(it)
	}
}

func (m *stateMachine) offer(t *rapid.T) {
	m.next++
	it := Item{Key: Key{fmt.Sprint(m.next), 0}, Tasks: rapid.IntRange(1, 3).Draw(t, "tasks"), Submitted: m.now,
		Workspace: rapid.SampledFrom([]string{"x", "y"}).Draw(t, "workspace"),
		Class:     rapid.SampledFrom([]string{"a", "b", "c"}).Draw(t, "class"),
		Kind:      rapid.SampledFrom([]api.Kind{api.KindRequest, api.KindBatch}).Draw(t, "kind"),
		Resources: slots(rapid.Int64Range(0, 9).Draw(t, "slots"))}
	if s := rapid.IntRange(0, 20).Draw(t, "deadline"); s > 0 {
		it.Deadline = m.now.Add(time.Duration(s) * time.Second)
	}
	if m.q.Offer(m.now, it) == nil {
		m.waiting[it.Key] = true
	}
}

func (m *stateMachine) setPolicy(t *rapid.T) {
	classes := []bundle.Class{{Name: "a", QueueBound: 50, Floor: 0.2},
		{Name: "b", Rank: 1, QueueBound: 50, Ceiling: 0.9, Floor: 0.3}, {Name: "c", Rank: 1, QueueBound: 50}}
	workspaces := []bundle.Workspace{{Name: "x", Weight: 1, Quota: slots(25)}, {Name: "y", Weight: 3}}
	classes = classes[:rapid.IntRange(1, 3).Draw(t, "classes")]
	m.removeWaiting(t, m.q.SetPolicy(classes, workspaces[:rapid.IntRange(1, 2).Draw(t, "workspaces")])...)
}

func (m *stateMachine) cancel(t *rapid.T) {
	key := Key{fmt.Sprint(rapid.IntRange(0, m.next).Draw(t, "id")), 0}
	if m.q.Cancel(key) {
		m.removeWaiting(t, Item{Key: key})
	}
	for i, it := range m.dispatched {
		if it.Key == key && !m.started[key] {
			m.dispatched = append(m.dispatched[:i], m.dispatched[i+1:]...)
			return
		}
	}
}

func (m *stateMachine) actions() map[string]func(*rapid.T) {
	putBack := func(put func(Item)) func(*rapid.T) {
		return m.withDispatched(false, func(it Item) { m.waiting[it.Key] = true; put(it) })
	}
	next := func(t *rapid.T) {
		if it, ok := m.q.Next(m.now); ok {
			m.removeWaiting(t, it)
			m.dispatched = append(m.dispatched, it)
		}
	}
	return map[string]func(*rapid.T){
		"offer": m.offer, "offer2": m.offer, "setPolicy": m.setPolicy, "next": next, "next2": next, "cancel": m.cancel,
		"postpone": putBack(func(it Item) { m.q.Postpone(m.now, it, m.now.Add(2*time.Second)) }),
		"requeue":  putBack(func(it Item) { m.q.Requeue(m.now, it) }),
		"started":  m.withDispatched(true, func(it Item) { m.started[it.Key] = true; m.q.Started(m.now, it) }),
		"finished": m.withDispatched(false, func(it Item) { m.q.Finished(m.now, it, time.Second) }),
		"freed":    func(*rapid.T) { m.q.CapacityFreed(m.now) },
		"time": func(t *rapid.T) {
			m.now = m.now.Add(time.Duration(rapid.IntRange(1, 8000).Draw(t, "ms")) * time.Millisecond)
			m.removeWaiting(t, m.q.Expire(m.now)...)
		},
		"": m.check,
	}
}

// check compares the use of classes and workspaces with the dispatched items, and the
// number of waiting items with the tracked ones.
func (m *stateMachine) check(t *rapid.T) {
	var use, byClass, byWorkspace api.Resources
	for _, it := range m.dispatched {
		use = use.Add(it.need())
	}
	for _, c := range m.q.classes {
		byClass = byClass.Add(c.use)
	}
	for _, w := range m.q.workspaces {
		byWorkspace = byWorkspace.Add(w.use)
	}
	if use != byClass || use != byWorkspace || use != m.q.use {
		t.Fatalf("use by items %v, by class %v, by workspace %v, total %v", use, byClass, byWorkspace, m.q.use)
	}
	if m.q.Len()+len(m.q.expired) != len(m.waiting) {
		t.Fatalf("%d items waiting, %d expected", m.q.Len(), len(m.waiting))
	}
}

// TestNoItemLost guards against items that are lost or dispatched twice, and against
// use that is not released.
func TestNoItemLost(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		m := &stateMachine{q: New(1), now: epoch, waiting: map[Key]bool{}, started: map[Key]bool{}}
		m.q.SetCapacity(slots(30))
		m.setPolicy(t)
		t.Repeat(m.actions())
	})
}

// TestFloorsHold guards against a flood of any class, with items of any size, that
// takes the share guaranteed to another class with waiting items.
func TestFloorsHold(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		classes := []bundle.Class{{Name: "first", QueueBound: 500, Floor: 0.2},
			{Name: "middle", Rank: 1, QueueBound: 500, Floor: 0.3}, {Name: "last", Rank: 2, QueueBound: 500, Floor: 0.2}}
		var sources []source
		for _, c := range classes { // each class alone offers more than its floor
			load := rapid.SampledFrom([]float64{50, 200}).Draw(t, "load")
			run := time.Duration(rapid.IntRange(500, 2000).Draw(t, "run")) * time.Millisecond
			size := rapid.Int64Range(1, 5).Draw(t, "size")
			sources = append(sources, source{class: c.Name, workspace: "x", size: size, run: run, load: load})
		}
		q := newQueue(100, classes, "x")
		s := newServer(q, 100, sources)
		const samples = 100
		var shares [3]float64
		for i := range samples {
			s.run(at(5 + float64(i)/10))
			for j, stats := range q.Stats() {
				shares[j] += stats.Share / samples
			}
		}
		for j, c := range classes {
			if shares[j] < 0.95*c.Floor {
				t.Fatalf("class %s has %.3f of the capacity, its floor is %.3f", c.Name, shares[j], c.Floor)
			}
		}
	})
}

// TestWideItemStarts guards against a wide item that is overtaken forever, and against
// small urgent items that have to wait until the wide item has started.
func TestWideItemStarts(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		run := time.Duration(rapid.IntRange(300, 3000).Draw(t, "run")) * time.Millisecond
		wide := task("wide", "y", "bulk", rapid.Int64Range(10, 15).Draw(t, "wide"))
		wide.RunTime, wide.Submitted = time.Second, at(5)
		q := newQueue(20, []bundle.Class{{Name: "urgent", QueueBound: 1 << 20}, {Name: "bulk", Rank: 1, QueueBound: 1 << 20},
			{Name: "low", Rank: 2, QueueBound: 1 << 20, Floor: 0.1}}, "x", "y")
		class := rapid.SampledFrom([]string{"bulk", "low"}).Draw(t, "class")
		s := newServer(q, 20, []source{
			{class: "urgent", workspace: "x", size: 1, run: 200 * time.Millisecond, load: 2},
			{class: class, workspace: "x", size: rapid.Int64Range(1, 3).Draw(t, "size"), run: run, load: 60},
		})
		started, urgentWait := false, time.Duration(0)
		s.onStart = func(it Item) {
			started = started || it.Key == wide.Key
			if it.Class == "urgent" && !started {
				urgentWait = max(urgentWait, s.now.Sub(it.Submitted))
			}
		}
		s.run(wide.Submitted)
		assert.NilError(t, q.Offer(s.now, wide))
		// The limit is the sum of guardAge, the time until the items running then have
		// ended, and the time taken by the urgent items that may still overtake.
		s.run(wide.Submitted.Add(guardAge + 2*run + 2*time.Second))
		if !started {
			t.Fatalf("the wide item has not started: %+v", q.Stats())
		}
		if urgentWait > run+200*time.Millisecond {
			t.Fatalf("an urgent item waited %v behind the wide item", urgentWait)
		}
	})
}
