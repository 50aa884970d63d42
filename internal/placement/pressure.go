package placement

import (
	"cmp"
	"maps"
	"slices"
	"time"
)

// Pressure returns the tasks to act on because the tasks on a worker use more memory
// than it has. A task is first throttled, then checkpointed, then stopped; each
// further step requires a newer report of the task while the worker is still over
// its capacity. Tasks that are not idempotent are only throttled, because a retry
// could run them twice.
func (p *Pool) Pressure(now time.Time) []Victim {
	p.advance(now)
	var victims []Victim
	for _, name := range slices.Sorted(maps.Keys(p.pressured)) {
		victims = append(victims, p.pressureVictims(p.pressured[name])...)
	}
	return victims
}

// pressureVictims selects tasks of the worker until their growth covers the memory
// used above its capacity.
func (p *Pool) pressureVictims(w *worker) []Victim {
	var victims []Victim
	over := w.usedMemory - w.Capacity.MemoryMB
	for _, t := range pressureCandidates(w) {
		if over <= 0 {
			break
		}
		step := t.nextPressureStep()
		if step == "" {
			continue
		}
		over -= t.relief()
		if t.reportedAt != t.pressureReportedAt {
			t.pressureStep, t.pressureReportedAt = step, t.reportedAt
			victims = append(victims, Victim{Attempt: t.spec.Attempt, Worker: w.Name, Step: step})
		}
	}
	return victims
}

// pressureCandidates returns the running tasks with measured memory, ordered: first
// those that use more than they declared, then those of preemptible classes, then
// the least urgent, then those with the largest growth. Tasks that use no more than
// declared are only needed if adopted tasks together declare more than the worker has.
func pressureCandidates(w *worker) []*task {
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

// growth returns the measured memory minus the declared size, in mebibytes.
func (t *task) growth() int64 { return t.usedMemory - t.spec.Resources.MemoryMB }

// relief returns the memory that acting on the task is assumed to free, in mebibytes.
func (t *task) relief() int64 {
	if growth := t.growth(); growth > 0 {
		return growth
	}
	return t.usedMemory
}

// nextPressureStep returns the next step against memory pressure, or "" if there is
// none.
func (t *task) nextPressureStep() Step {
	switch {
	case t.pressureStep == "":
		return StepThrottle
	case !t.spec.Idempotent:
		return ""
	case t.pressureStep == StepThrottle:
		return StepCheckpoint
	}
	return StepStop
}
