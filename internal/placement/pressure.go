package placement

import (
	"cmp"
	"maps"
	"slices"
	"time"
)

// Pressure returns the tasks to act on because the measured memory of a
// worker's tasks is above its capacity. A task is throttled first, then
// checkpointed, then stopped: each further step follows a newer report of the
// task while the worker is still over. Tasks that are not idempotent are only
// throttled, because a retry could run them twice.
func (p *Pool) Pressure(now time.Time) []Victim {
	p.advance(now)
	var victims []Victim
	for _, name := range slices.Sorted(maps.Keys(p.pressured)) {
		victims = append(victims, p.pressureOn(p.pressured[name])...)
	}
	return victims
}

// pressureOn acts on as many tasks of the worker as have grown by the amount
// that the worker is over.
func (p *Pool) pressureOn(w *worker) []Victim {
	var victims []Victim
	over := w.usedMemory - w.Capacity.MemoryMB
	for _, t := range pressureOrder(w) {
		if over <= 0 {
			break
		}
		step := t.nextPressure()
		if step == "" {
			continue
		}
		over -= t.relief()
		if t.reportedAt != t.pressedFor {
			t.pressed, t.pressedFor = step, t.reportedAt
			victims = append(victims, Victim{Attempt: t.spec.Attempt, Worker: w.Name, Step: step})
		}
	}
	return victims
}

// pressureOrder lists the running tasks with measured memory: first those that
// use more than they declared, then those of preemptible classes, then the
// least urgent, then those that grew most. Tasks that did not grow only matter
// where adopted tasks together declare more than the worker has.
func pressureOrder(w *worker) []*task {
	var list []*task
	for _, t := range w.tasks {
		if t.running && t.usedMemory > 0 {
			list = append(list, t)
		}
	}
	slices.SortFunc(list, func(a, b *task) int {
		return cmp.Or(
			compareBool(b.growth() > 0, a.growth() > 0),
			compareBool(b.preemptible, a.preemptible),
			cmp.Compare(b.class.policy.Rank, a.class.policy.Rank),
			cmp.Compare(b.growth(), a.growth()),
			cmp.Compare(a.position, b.position))
	})
	return list
}

func compareBool(a, b bool) int {
	switch {
	case a == b:
		return 0
	case a:
		return 1
	}
	return -1
}

// growth is the measured memory above the declared size, in mebibytes.
func (t *task) growth() int64 { return t.usedMemory - t.spec.Resources.MemoryMB }

// relief is the memory that acting on the task is counted for, in mebibytes.
func (t *task) relief() int64 {
	if growth := t.growth(); growth > 0 {
		return growth
	}
	return t.usedMemory
}

// nextPressure returns the next step, or "" if there is none.
func (t *task) nextPressure() Step {
	switch {
	case t.pressed == "":
		return StepThrottle
	case !t.spec.Idempotent:
		return ""
	case t.pressed == StepThrottle:
		return StepCheckpoint
	}
	return StepStop
}
