package placement

import (
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"github.com/fulmarlatch/fulmarlatch/internal/api"
	"github.com/fulmarlatch/fulmarlatch/internal/bundle"
)

// stateMachine makes random calls to a Pool and recomputes its sums.
type stateMachine struct {
	p       *Pool
	now     time.Time
	next    int
	adopted map[string]bool // workers with adopted tasks, which may exceed the capacity
}

var testClasses = []bundle.Class{
	{Name: "a", Rank: 1, Ceiling: 0.5},
	{Name: "b", Rank: 2, Floor: 0.3, Ceiling: 1},
	{Name: "c", Rank: 3, Ceiling: 1, Preemptible: true},
}

func (m *stateMachine) request(t *rapid.T) Request {
	m.next++
	class := rapid.SampledFrom(testClasses).Draw(t, "class")
	r := request(m.next, class.Name, size(rapid.Int64Range(0, 9000).Draw(t, "cpu"), rapid.Int64Range(0, 17<<10).Draw(t, "memory")))
	r.Rank = class.Rank
	r.Spec.Resources.Accelerators = rapid.Int64Range(0, 1).Draw(t, "accelerators")
	return r
}

func (m *stateMachine) worker(t *rapid.T) string {
	return fmt.Sprint("w", rapid.IntRange(0, 7).Draw(t, "worker"))
}

// attempt draws one of the last attempts, or one that was never requested.
func (m *stateMachine) attempt(t *rapid.T) api.AttemptID {
	return request(rapid.IntRange(max(1, m.next-30), m.next+1).Draw(t, "attempt"), "a", api.Resources{}).Spec.Attempt
}

func (m *stateMachine) actions() map[string]func(*rapid.T) {
	return map[string]func(*rapid.T){
		"add": func(t *rapid.T) {
			shape := rapid.SampledFrom([]api.Resources{smallShape, largeShape}).Draw(t, "shape")
			shape.Accelerators = rapid.Int64Range(0, 2).Draw(t, "accelerators")
			name := m.worker(t)
			delete(m.adopted, name)
			m.p.Add(m.now, Worker{Name: name, Rack: name[:1], Capacity: shape})
		},
		"remove": func(t *rapid.T) { m.p.Remove(m.worker(t)) },
		"reserve": func(t *rapid.T) {
			r := m.request(t)
			feasible := firstFit(m.p, m.p.newQuery(r, m.now)) != nil
			_, err := m.p.Reserve(m.now, r, m.now.Add(time.Second))
			if feasible != (err == nil) {
				t.Fatalf("a scan finds a worker: %v, Reserve returns the error: %v", feasible, err)
			}
		},
		"gang": func(t *rapid.T) {
			before := len(m.p.tasks)
			rs := []Request{m.request(t), m.request(t), m.request(t)}
			_, err := m.p.ReserveAll(m.now, rs, m.now.Add(time.Second))
			if want := before + len(rs); err == nil && len(m.p.tasks) != want || err != nil && len(m.p.tasks) != before {
				t.Fatalf("the gang was placed in part: %d tasks, %d before, error: %v", len(m.p.tasks), before, err)
			}
		},
		"adopt": func(t *rapid.T) {
			name := m.worker(t)
			m.adopted[name] = true
			m.p.Adopt(m.now, name, m.request(t).Spec)
		},
		"start":   func(t *rapid.T) { m.p.Start(m.now, m.attempt(t)) },
		"release": func(t *rapid.T) { m.p.Release(m.attempt(t)) },
		"leave":   func(t *rapid.T) { m.p.SetLeaving(m.worker(t), rapid.Bool().Draw(t, "leaving")) },
		"expire": func(t *rapid.T) {
			m.now = m.now.Add(rapid.SampledFrom([]time.Duration{0, time.Second / 3, time.Minute}).Draw(t, "pause"))
			m.p.Expire(m.now)
		},
		"use": func(t *rapid.T) {
			a := m.attempt(t)
			if known, ok := m.p.tasks[a]; ok {
				used := size(rapid.Int64Range(0, 20_000).Draw(t, "cpu"), rapid.Int64Range(0, 40<<10).Draw(t, "memory"))
				m.p.RecordUse(m.now, known.worker.Name, a, used)
			}
		},
		"outcome": func(t *rapid.T) { m.p.RecordOutcome(m.now, m.worker(t), "a", "t", rapid.Bool().Draw(t, "ok")) },
		"preempt": func(t *rapid.T) {
			m.p.Victims(m.now, m.request(t))
			m.p.Pressure(m.now)
		},
		"policy": func(t *rapid.T) {
			classes := append([]bundle.Class(nil), testClasses...)
			classes[2].Preemptible = rapid.Bool().Draw(t, "preemptible")
			m.p.SetPolicy(classes, bundle.Fleet{PackingWeight: rapid.Float64Range(0, 1).Draw(t, "weight"), Drain: []string{m.worker(t)}})
		},
		"": m.check,
	}
}

// check compares all sums with values recomputed from the tasks.
func (m *stateMachine) check(t *rapid.T) {
	var use, capacity, free api.Resources
	count, preemptible := 0, 0
	m.p.updateIndex()
	for name, w := range m.p.workers {
		var charged, excess api.Resources
		reservations, memory, hasPreemptible := 0, int64(0), 0
		for i, task := range w.tasks {
			charged, excess = charged.Add(task.charge), excess.Add(task.excess)
			memory += task.usedMemory
			if task.position != i || m.p.tasks[task.spec.Attempt] != task {
				t.Fatalf("%s lists a task at a wrong position or one that is not in the pool", name)
			}
			if !task.running {
				reservations++
			}
			if task.preemptible {
				hasPreemptible = 1
			}
		}
		if charged != w.charged || excess != w.excess || reservations != w.reservations || memory != w.usedMemory {
			t.Fatalf("%s: the sums differ from its tasks", name)
		}
		if !m.adopted[name] && !charged.Fits(w.Capacity) {
			t.Fatalf("%s is over capacity: %s of %s", name, charged, w.Capacity)
		}
		if w.accepting {
			use, capacity = use.Add(charged), capacity.Add(w.Capacity)
		}
		if w.node.indexed {
			free = free.Add(positive(w.free()))
		}
		count += len(w.tasks)
		preemptible += hasPreemptible
	}
	if use != m.p.classes.use || capacity != m.p.Capacity() || free != m.p.index.free || count != len(m.p.tasks) || preemptible != len(m.p.preemptible) {
		t.Fatalf("the totals differ from the workers")
	}
}

// TestAccounting guards against sums that drift, workers over capacity, partially
// placed gangs and feasible workers that the index misses.
func TestAccounting(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		m := &stateMachine{p: New(1), now: start, adopted: make(map[string]bool)}
		m.p.SetPolicy(testClasses, bundle.Fleet{PackingWeight: 0.5})
		t.Repeat(m.actions())
		for a := range m.p.tasks {
			m.p.Release(a)
		}
		assert.Equal(t, m.p.classes.use, api.Resources{})
		for _, w := range m.p.Dump() {
			assert.Equal(t, w.Free, w.Capacity)
			assert.Equal(t, w.UsedMemory, int64(0))
		}
		assert.Equal(t, len(m.p.pressured)+len(m.p.preemptible), 0)
	})
}
