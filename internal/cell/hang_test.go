package cell

import (
	"testing"

	"gotest.tools/v3/assert"
)

// setPercent sets the progress that every running task reports, by the index of the
// task.
func (r *rig) setPercent(percent func(index int) int) {
	for _, w := range r.workers {
		for i := range w.running {
			w.running[i].Percent = percent(w.running[i].Task.Index)
		}
	}
}

// The members of a gang end together. A member that has done its own work waits at 100
// percent for the others, and must not be taken for hung: that ended whole gangs shortly
// before they were done, on days without any fault.
func TestGangMemberThatWaitsForOthersIsNotHung(t *testing.T) {
	r := newRig(t, 4, Resources{CPUMilli: 1000, MemoryMB: 1000})
	r.submit(oneStep(jobID(1), Step{Tasks: 4, Resources: Resources{CPUMilli: 1000}, EstimateMS: 10000, Gang: true}))
	assert.Equal(t, len(r.starts), 4)
	for n := range 130 {
		r.setPercent(func(index int) int {
			if index == 0 {
				return n * 2 / 3
			}
			return min(n, 100) // done, and waits for member 0, from 10 s on
		})
		r.advance(100)
	}
	r.setPercent(func(index int) int { return 100 })
	for range 40 {
		r.advance(100)
	}
	assert.Equal(t, len(r.stops), 0, "a gang that makes progress was stopped")
	for _, w := range r.s.workers {
		assert.Assert(t, !w.health.probation)
	}
}

// A gang member that stands still before it is done must be stopped, with its gang.
func TestHungGangMemberIsStopped(t *testing.T) {
	r := newRig(t, 8, Resources{CPUMilli: 1000, MemoryMB: 1000})
	r.submit(oneStep(jobID(1), Step{Tasks: 4, Resources: Resources{CPUMilli: 1000}, EstimateMS: 10000, Gang: true}))
	hung := r.starts[0]
	for n := range 70 {
		r.setPercent(func(index int) int {
			if index == hung.Task.Index {
				return min(n, 20)
			}
			return n
		})
		r.advance(100)
		if len(r.stops) > 0 {
			break
		}
	}
	assert.Assert(t, len(r.stops) > 0)
	assert.Equal(t, r.stops[0].Worker, hung.Worker)
	probation := 0
	for _, w := range r.s.workers {
		if w.health.probation {
			probation++
			assert.Equal(t, w.ID, hung.Worker)
		}
	}
	assert.Equal(t, probation, 1)
}

// All members of a gang end with the slowest one. Capacity of a member that is done with
// its own work is not free before, and must not be planned for other gangs.
func TestGangEndsWithItsSlowestMember(t *testing.T) {
	r := newRig(t, 2, Resources{CPUMilli: 1000, MemoryMB: 1000})
	r.submit(oneStep(jobID(1), Step{Tasks: 2, Resources: Resources{CPUMilli: 1000}, EstimateMS: 1000, Gang: true}))
	for n := range 40 {
		r.setPercent(func(index int) int { return min((n+1)*(2-index)*2, 100) })
		r.advance(100)
	}
	fast, slow := r.attempt(0, 0), r.attempt(0, 1)
	assert.Assert(t, fast.estimatedEnd < r.now)
	assert.Assert(t, slow.estimatedEnd > r.now)
	assert.Equal(t, fast.freeAt(), slow.freeAt())
	assert.Equal(t, slow.freeAt(), slow.estimatedEnd)
}

// attempt returns the first attempt of a task of job 1.
func (r *rig) attempt(step, index int) *attempt {
	return r.s.task(TaskID{Job: jobID(1), Step: step, Index: index}).attempts[0]
}

// A worker whose VM is suspended for some seconds makes no progress meanwhile. Its runs
// must not be taken for hung when it answers again, which threw their work away.
func TestSuspendedWorkerIsNotHung(t *testing.T) {
	r := newRig(t, 1, Resources{CPUMilli: 1000, MemoryMB: 1000})
	r.submit(oneStep(jobID(1), Step{Tasks: 1, Resources: Resources{CPUMilli: 1000}, EstimateMS: 5000}))
	percent := 0
	report := func(ms int, step int) {
		for range ms / 100 {
			percent += step
			r.setPercent(func(int) int { return percent })
			r.advance(100)
		}
	}
	report(1000, 2)
	r.workers["w00"].unreachable = true
	report(4000, 0)
	r.workers["w00"].unreachable = false
	report(1000, 0)
	assert.Equal(t, len(r.stops), 0, "the run was given up")
	assert.Assert(t, !r.s.workers["w00"].health.probation)
	report(2500, 0)
	assert.Equal(t, len(r.stops), 1, "a run that stands still while its worker answers is hung")
}
