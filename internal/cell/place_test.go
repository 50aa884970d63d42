package cell

import (
	"testing"

	"gotest.tools/v3/assert"
)

// When a service loses a task, it must be restarted before tasks of other jobs, even if
// the service was submitted long ago.
func TestServiceTaskRestartsFirst(t *testing.T) {
	r := newRig(t, 1, Resources{CPUMilli: 1000, MemoryMB: 1000})
	r.submit(oneStep(jobID(1), Step{Tasks: 1, Resources: Resources{CPUMilli: 800}, EstimateMS: 1000, LongRunning: true}))
	r.advance(60000)
	service := r.starts[0]
	r.submit(oneStep(jobID(2), Step{Tasks: 1, Resources: Resources{CPUMilli: 800}, EstimateMS: 1000}))
	r.endRun(service.Worker, service.Task, service.Run, EndFailed)
	r.advance(10)
	assert.Equal(t, len(r.starts), 2)
	assert.Equal(t, r.starts[1].Task, service.Task)
	assert.Equal(t, r.starts[1].Run, service.Run+1)
}

// A worker on which every run fails must not use up the attempts of a task.
func TestFailedTaskTriesAnotherWorker(t *testing.T) {
	r := newRig(t, 4, Resources{CPUMilli: 1000, MemoryMB: 1000})
	r.allow = func(string, string) bool { return true }
	r.submit(Job{ID: jobID(1), Queue: permitQueue(), Steps: []Step{{Tasks: 1, Resources: Resources{CPUMilli: 100}, EstimateMS: 100}}})
	r.endLast(EndFailed)
	assert.Equal(t, len(r.starts), 2)
	assert.Assert(t, r.starts[0].Worker != r.starts[1].Worker)
}

// Workers that have left must be removed from the roster. Otherwise a new holder waits
// for each of them.
func TestRosterDropsDepartedWorkers(t *testing.T) {
	r := newRig(t, 3, Resources{CPUMilli: 1000, MemoryMB: 1000})
	gone := r.infos[0].ID
	r.s.LeaseExpired(gone) // another worker answers at its address; the registry still lists the old one
	r.runActions()
	r.infos = r.infos[1:]
	r.s.SetWorkers(r.infos)
	r.runActions()
	r.takeOver(2)
	assert.Assert(t, r.s.Settled())
}

// Guards against starts that bring a worker over a capacity that has shrunk while tasks run
// there, or are being stopped.
func TestShrunkCapacityIsNotExceeded(t *testing.T) {
	r := newRig(t, 1, Resources{CPUMilli: 8000, MemoryMB: 8000})
	r.submit(oneStep(jobID(1), Step{Tasks: 4, Resources: Resources{CPUMilli: 1000}, EstimateMS: 10_000}))
	r.submit(oneStep(jobID(2), Step{Tasks: 2, Resources: Resources{CPUMilli: 1000}, EstimateMS: 10_000}))
	assert.Equal(t, len(r.starts), 6)
	r.infos[0].Capacity.CPUMilli = 4000
	r.s.SetWorkers(r.infos)
	r.submit(oneStep(jobID(3), Step{Tasks: 3, Resources: Resources{CPUMilli: 1000}, EstimateMS: 10_000}))
	r.submit(oneStep(jobID(4), Step{Tasks: 2, Resources: Resources{CPUMilli: 1000}, EstimateMS: 10_000, Gang: true}))
	r.workers["w00"].unreachable = true // the stops of job 2 are not answered yet
	_, known := r.s.Cancel(jobID(2), Caller{})
	assert.Assert(t, known)
	r.advance(1000)
	assert.Equal(t, len(r.starts), 6)
	r.workers["w00"].unreachable = false
	for _, start := range r.starts[4:6] {
		r.endRun("w00", start.Task, start.Run, EndStopped)
	}
	r.advance(1000)
	assert.Equal(t, len(r.starts), 6, "four tasks still use all of the capacity")
	r.infos[0].Capacity.CPUMilli = 9000
	r.s.SetWorkers(r.infos)
	r.advance(1000)
	assert.Equal(t, len(r.starts), 11)
}

// Guards against a step that is stuck once a run has failed on each worker.
func TestStepReturnsToWorkersWhereRunsFailed(t *testing.T) {
	r := newRig(t, 3, Resources{CPUMilli: 1000, MemoryMB: 1000})
	r.submit(oneStep(jobID(1), Step{Tasks: 12, Resources: Resources{CPUMilli: 1000}, EstimateMS: 1000}))
	failedOn := map[string]bool{}
	failedTask := map[TaskID]bool{}
	for n := 0; n < 40 && r.state(jobID(1)) != Completed; n++ {
		for _, info := range r.infos {
			for _, run := range append([]RunningTask(nil), r.workers[info.ID].running...) {
				kind := EndDone
				if !failedOn[info.ID] && !failedTask[run.Task] {
					failedOn[info.ID], failedTask[run.Task] = true, true
					kind = EndFailed
				}
				r.endRun(info.ID, run.Task, run.Run, kind)
			}
		}
		r.advance(1000)
	}
	assert.Equal(t, r.state(jobID(1)), Completed)
}

// Guards against a step that waits for workers that are gone and avoids the one that is left.
func TestWorkerWhereARunFailedIsTakenIfOthersAreGone(t *testing.T) {
	r := newRig(t, 4, Resources{CPUMilli: 1000, MemoryMB: 1000})
	r.submit(oneStep(jobID(1), Step{Tasks: 1, Resources: Resources{CPUMilli: 1000}, EstimateMS: 1000}))
	failed := r.starts[0].Worker
	r.endLast(EndFailed)
	assert.Equal(t, len(r.starts), 2)
	assert.Assert(t, r.starts[1].Worker != failed)
	for _, info := range r.infos {
		if info.ID != failed {
			r.silence(info.ID)
			r.s.LeaseExpired(info.ID)
		}
	}
	r.advance(searchIntervalMS)
	assert.Equal(t, len(r.starts), 3)
	assert.Equal(t, r.starts[2].Worker, failed)
}

// Guards against a storm of starts to a worker whose clock is estimated wrongly, each refused as too late.
func TestLateStartIsNotRepeatedAtOnce(t *testing.T) {
	r := newRig(t, 1, Resources{CPUMilli: 1000, MemoryMB: 1000})
	r.workers["w00"].unreachable = true
	r.submit(oneStep(jobID(1), Step{Tasks: 1, Resources: Resources{CPUMilli: 1000}, EstimateMS: 1000}))
	for range 20 {
		last := r.starts[len(r.starts)-1]
		r.s.Started("w00", last.Task, last.Run, StartTooLate)
		r.advance(10)
	}
	assert.Equal(t, len(r.starts), 1)
	r.advance(unhealthyPauseMS)
	r.advance(2 * searchIntervalMS)
	assert.Equal(t, len(r.starts), 2)
}
