package cell

import (
	"testing"

	"gotest.tools/v3/assert"
)

// restart makes a worker return under its ID, as another incarnation.
func (r *rig) restart(id string) {
	*r.workers[id] = fakeWorker{incarnation: r.workers[id].incarnation + 1}
}

// Guards against a restarted worker that stands idle because its former life refused a start.
func TestPauseEndsWithTheLife(t *testing.T) {
	r := newRig(t, 1, Resources{CPUMilli: 1000, MemoryMB: 1000})
	r.workers["w00"].unreachable = true
	r.submit(oneStep(jobID(1), Step{Tasks: 1, Resources: Resources{CPUMilli: 1000}, EstimateMS: 1000}))
	r.s.Started("w00", r.starts[0].Task, r.starts[0].Run, StartUnhealthy)
	r.workers["w00"].unreachable = false
	r.advance(2 * searchIntervalMS)
	assert.Equal(t, len(r.starts), 1, "the worker is paused")
	r.restart("w00")
	r.advance(2 * searchIntervalMS)
	assert.Equal(t, len(r.starts), 2)
}

// Guards against a trial that waits for starts of a former life to be over.
func TestTrialDoesNotWaitForStartsOfAFormerLife(t *testing.T) {
	r := newRig(t, 1, Resources{CPUMilli: 1000, MemoryMB: 1000})
	r.advance(10)
	r.submit(oneStep(jobID(1), Step{Tasks: 1, Resources: Resources{CPUMilli: 1000}, EstimateMS: 1000}))
	r.advance(20)
	r.restart("w00")
	r.advance(20)
	assert.Assert(t, r.s.task(r.starts[0].Task).crashes.suspected)
	r.advance(2 * searchIntervalMS)
	assert.Equal(t, len(r.starts), 2)
}

// Guards against a restarted worker that stands idle for a trial planned on its former life.
func TestWorkerIsNotKeptForATrialOnAFormerLife(t *testing.T) {
	r := newRig(t, 1, Resources{CPUMilli: 1000, MemoryMB: 1000})
	r.advance(10)
	r.submit(oneStep(jobID(1), Step{Tasks: 1, Resources: Resources{CPUMilli: 1000}, EstimateMS: 1000}))
	w := r.s.workers["w00"]
	w.keptFor, w.keptUntil = r.attempt(0, 0).task.step, r.now+crashWindowMS
	r.endLast(EndDone)
	r.submit(oneStep(jobID(2), Step{Tasks: 1, Resources: Resources{CPUMilli: 1000}, EstimateMS: 1000}))
	assert.Equal(t, len(r.starts), 1, "the worker is kept for the step of job 1")
	r.restart("w00")
	r.advance(2 * searchIntervalMS)
	assert.Equal(t, len(r.starts), 2)
}

// Guards against fillers that disturb services at full speed because their worker's former life was throttled.
func TestThrottlingBeginsAnewWithTheLife(t *testing.T) {
	r := newRig(t, 1, Resources{CPUMilli: 1000, MemoryMB: 1000})
	r.advance(10)
	r.submit(oneStep(jobID(1), Step{Tasks: 1, Resources: Resources{CPUMilli: 600}, LongRunning: true, TailTargetMS: 100}))
	r.submit(oneStep(jobID(2), Step{Tasks: 1, Resources: Resources{CPUMilli: 9000}, EstimateMS: 100_000, Filler: true}))
	setLoad := func(load int64) {
		for i := range r.workers["w00"].running {
			r.workers["w00"].running[i].Load = load
		}
	}
	r.advance(2000)
	setLoad(150)
	r.advance(checkIntervalMS)
	assert.Equal(t, len(r.throttles), 1)
	throttled := r.now
	r.restart("w00")
	r.advance(10)
	assert.Equal(t, len(r.workers["w00"].running), 2, "both run in the new life")
	setLoad(150)
	r.advance(checkIntervalMS)
	r.advance(checkIntervalMS)
	assert.Assert(t, r.now-throttled < throttleIntervalMS)
	assert.Equal(t, len(r.throttles), 2)
	assert.Equal(t, r.throttles[1].Percent, 0)
}
