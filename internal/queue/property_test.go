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

// machine drives a queue by random calls and keeps where each item is.
type machine struct {
	q       *Queue
	now     time.Time
	next    int
	waiting map[Key]bool // or put back and left to the next Expire
	out     []Item       // handed out or running
	started map[Key]bool
}

func (m *machine) left(t *rapid.T, items ...Item) {
	for _, it := range items {
		if !m.waiting[it.Key] {
			t.Fatalf("%v was not waiting", it.Key)
		}
		delete(m.waiting, it.Key)
	}
}

// withOut calls f with a random item that is handed out, and forgets the item
// unless it is kept.
func (m *machine) withOut(keep bool, f func(Item)) func(*rapid.T) {
	return func(t *rapid.T) {
		if len(m.out) == 0 {
			t.Skip("nothing handed out")
		}
		i := rapid.IntRange(0, len(m.out)-1).Draw(t, "out")
		it := m.out[i]
		if !keep {
			m.out = append(m.out[:i], m.out[i+1:]...)
			delete(m.started, it.Key)
		}
		f(it)
	}
}

func (m *machine) offer(t *rapid.T) {
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

func (m *machine) setPolicy(t *rapid.T) {
	classes := []bundle.Class{{Name: "a", QueueBound: 50, Floor: 0.2},
		{Name: "b", Rank: 1, QueueBound: 50, Ceiling: 0.9, Floor: 0.3}, {Name: "c", Rank: 1, QueueBound: 50}}
	workspaces := []bundle.Workspace{{Name: "x", Weight: 1, Quota: slots(25)}, {Name: "y", Weight: 3}}
	classes = classes[:rapid.IntRange(1, 3).Draw(t, "classes")]
	m.left(t, m.q.SetPolicy(classes, workspaces[:rapid.IntRange(1, 2).Draw(t, "workspaces")])...)
}

func (m *machine) cancel(t *rapid.T) {
	key := Key{fmt.Sprint(rapid.IntRange(0, m.next).Draw(t, "id")), 0}
	if m.q.Cancel(key) {
		m.left(t, Item{Key: key})
	}
	for i, it := range m.out {
		if it.Key == key && !m.started[key] {
			m.out = append(m.out[:i], m.out[i+1:]...)
			return
		}
	}
}

func (m *machine) actions() map[string]func(*rapid.T) {
	back := func(put func(Item)) func(*rapid.T) {
		return m.withOut(false, func(it Item) { m.waiting[it.Key] = true; put(it) })
	}
	next := func(t *rapid.T) {
		if it, ok := m.q.Next(m.now); ok {
			m.left(t, it)
			m.out = append(m.out, it)
		}
	}
	return map[string]func(*rapid.T){
		"offer": m.offer, "offer2": m.offer, "setPolicy": m.setPolicy, "next": next, "next2": next, "cancel": m.cancel,
		"postpone": back(func(it Item) { m.q.Postpone(m.now, it, m.now.Add(2*time.Second)) }),
		"requeue":  back(func(it Item) { m.q.Requeue(m.now, it) }),
		"started":  m.withOut(true, func(it Item) { m.started[it.Key] = true; m.q.Started(m.now, it) }),
		"finished": m.withOut(false, func(it Item) { m.q.Finished(m.now, it, time.Second) }),
		"freed":    func(*rapid.T) { m.q.RoomFreed(m.now) },
		"time": func(t *rapid.T) {
			m.now = m.now.Add(time.Duration(rapid.IntRange(1, 8000).Draw(t, "ms")) * time.Millisecond)
			m.left(t, m.q.Expire(m.now)...)
		},
		"": m.check,
	}
}

// check compares the use of classes and workspaces with the items handed out.
func (m *machine) check(t *rapid.T) {
	var use, byClass, byWorkspace api.Resources
	for _, it := range m.out {
		use = use.Add(it.need())
	}
	for _, c := range m.q.classes {
		byClass = byClass.Add(c.use)
	}
	for _, tm := range m.q.workspaces {
		byWorkspace = byWorkspace.Add(tm.use)
	}
	if use != byClass || use != byWorkspace || use != m.q.use {
		t.Fatalf("use %v, by class %v, by workspace %v, total %v", use, byClass, byWorkspace, m.q.use)
	}
	if m.q.Len()+len(m.q.overdue) != len(m.waiting) {
		t.Fatalf("%d items waiting, %d expected", m.q.Len(), len(m.waiting))
	}
}

// TestNoItemLost guards against an item that is lost or handed out twice, and
// against use that is not given back.
func TestNoItemLost(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		m := &machine{q: New(1), now: epoch, waiting: map[Key]bool{}, started: map[Key]bool{}}
		m.q.SetCapacity(slots(30))
		m.setPolicy(t)
		t.Repeat(m.actions())
	})
}

// TestFloorsHold guards against a flood of any class, with items of any size,
// that takes the share guaranteed to another class with work waiting.
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
		q := policy(100, classes, "x")
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

// TestWideItemStarts guards against a wide item that is passed for ever, and
// against small urgent work that waits until the wide item has started.
func TestWideItemStarts(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		run := time.Duration(rapid.IntRange(300, 3000).Draw(t, "run")) * time.Millisecond
		wide := task("wide", "y", "bulk", rapid.Int64Range(10, 15).Draw(t, "wide"))
		wide.RunTime, wide.Submitted = time.Second, at(5)
		q := policy(20, []bundle.Class{{Name: "urgent", QueueBound: 1 << 20}, {Name: "bulk", Rank: 1, QueueBound: 1 << 20},
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
		// The bound is the age, the end of what runs then, and the share of
		// the urgent work that still passes.
		s.run(wide.Submitted.Add(ageBound + 2*run + 2*time.Second))
		if !started {
			t.Fatalf("the wide item has not started: %+v", q.Stats())
		}
		if urgentWait > run+200*time.Millisecond {
			t.Fatalf("urgent work waited %v behind the wide item", urgentWait)
		}
	})
}
