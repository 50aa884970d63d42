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

// Guards against a faulty VM that gets a clean record with each crash, and against a probation that crashes prolong.
func TestProbationOutlivesRestartsAndEnds(t *testing.T) {
	r := newRig(t, 1, Resources{CPUMilli: 1000, MemoryMB: 1000})
	r.advance(10)
	w := r.s.workers["w00"]
	w.health.startProbation(r.now)
	began, pause := r.now, Instant(w.health.pauseMS)
	for w.health.probation && r.now-began < 2*(pause+quietProbationMS) {
		r.restart("w00")
		r.advance(500)
	}
	lasted := r.now - began
	assert.Assert(t, lasted >= pause+quietProbationMS && lasted <= pause+quietProbationMS+1000, "it lasted %d ms", lasted)
}

// Guards against a slow VM that is preferred because it has restarted.
func TestSlownessOutlivesRestart(t *testing.T) {
	r, slow := slowRig(t, Step{})
	for _, start := range r.starts[:4] {
		r.endRun(start.Worker, start.Task, start.Run, EndDone)
	}
	r.advance(10)
	r.restart(slow)
	r.advance(10)
	r.submit(oneStep(jobID(2), Step{Tasks: 5, Resources: Resources{CPUMilli: 600}, EstimateMS: 100}))
	assert.Equal(t, r.starts[len(r.starts)-1].Worker, slow, "used last")
	assert.Assert(t, !r.s.workers[slow].speed.isSlow(r.now+speedRecoveryMS))
}

// Guards against tasks on a VM under maintenance whose worker has restarted.
func TestMaintenanceOutlivesRestart(t *testing.T) {
	r := newRig(t, 1, Resources{CPUMilli: 1000, MemoryMB: 1000})
	r.s.Drain("w00", true)
	r.restart("w00")
	r.submit(oneStep(jobID(1), Step{Tasks: 1, Resources: Resources{CPUMilli: 1000}, EstimateMS: 1000}))
	r.advance(2 * searchIntervalMS)
	assert.Equal(t, len(r.starts), 0)
	r.s.Undrain("w00")
	r.advance(2 * searchIntervalMS)
	assert.Equal(t, len(r.starts), 1)
}

// Guards against tasks on a restarted worker that the stored roster lists as closed, for which the next holder would not wait.
func TestRestartedWorkerWaitsForRoster(t *testing.T) {
	r := newRig(t, 1, Resources{CPUMilli: 1000, MemoryMB: 1000})
	r.silence("w00")
	r.submit(oneStep(jobID(1), Step{Tasks: 1, Resources: Resources{CPUMilli: 1000}, EstimateMS: 1000}))
	r.logDown = true
	r.restart("w00")
	r.advance(2 * searchIntervalMS)
	assert.Equal(t, len(r.starts), 0, "the roster does not list the worker as open yet")
	r.s.Stored(r.s.seq)
	r.runActions()
	assert.Equal(t, len(r.starts), 1)
}

// Guards against other steps' starts beside a suspected task that the new life may still carry out.
func TestTrialOutlivesRestartWhileItsStartIsOpen(t *testing.T) {
	r := newRig(t, 1, Resources{CPUMilli: 2000, MemoryMB: 2000})
	r.advance(10)
	r.workers["w00"].unreachable = true // the start is sent but not answered
	r.submit(oneStep(jobID(1), Step{Tasks: 1, Resources: Resources{CPUMilli: 1000}, EstimateMS: 60_000}))
	a := r.attempt(0, 0)
	r.s.setSuspected(a.task, true)
	r.s.beginTrial(a)
	r.s.Started("w00", a.task.id(), a.run, StartUnanswered)
	r.submit(oneStep(jobID(2), Step{Tasks: 1, Resources: Resources{CPUMilli: 1000}, EstimateMS: 60_000}))
	r.restart("w00")
	r.now += 2 * searchIntervalMS
	r.s.Tick(r.now, r.unixMS)
	r.sendListing("w00")
	stopped := false
	for _, action := range r.s.Actions() {
		_, started := action.(Start)
		assert.Assert(t, !started, "a start before the stop is answered")
		_, isStop := action.(Stop)
		stopped = stopped || isStop
		r.perform(action)
	}
	assert.Assert(t, stopped)
	for range 10 {
		r.advance(2 * searchIntervalMS)
	}
	assert.DeepEqual(t, r.startedTasks(), map[string]int{jobID(1) + ".0.0.0": 2, jobID(2) + ".0.0.0": 1})
}

// Guards against more tasks than a restarted worker of a smaller kind has room for.
func TestRestartedWorkerWaitsForItsEntry(t *testing.T) {
	r := newRig(t, 1, Resources{CPUMilli: 1000, MemoryMB: 1000})
	r.infos[0].Incarnation = 1
	r.s.SetWorkers(r.infos)
	r.restart("w00")
	r.advance(10)
	r.submit(oneStep(jobID(1), Step{Tasks: 2, Resources: Resources{CPUMilli: 500}, EstimateMS: 1000}))
	r.advance(2 * searchIntervalMS)
	assert.Equal(t, len(r.starts), 0, "the entry is about the former life")
	r.infos[0].Incarnation, r.infos[0].Capacity.CPUMilli = 2, 500
	r.s.SetWorkers(r.infos)
	r.advance(2 * searchIntervalMS)
	assert.Equal(t, len(r.starts), 1)
}

// Guards against a gang that is stopped, and a task suspected of a crash, because a run that the new life of its worker carries counts as one of the former life.
func TestRunThatTheNewLifeListsGoesOn(t *testing.T) {
	r := newRig(t, 2, Resources{CPUMilli: 1000, MemoryMB: 1000})
	r.advance(10)
	for id := range r.workers {
		r.workers[id].incarnation++ // not noticed by the holder
	}
	r.s.Tick(r.now+10, r.unixMS)
	r.now += 10
	r.submit(oneStep(jobID(1), Step{Tasks: 2, Gang: true, Resources: Resources{CPUMilli: 1000}, EstimateMS: 60_000}))
	assert.Equal(t, len(r.starts), 2)
	r.advance(10)
	r.advance(searchIntervalMS)
	assert.Equal(t, len(r.stops), 0)
	assert.Equal(t, len(r.starts), 2)
	for _, start := range r.starts {
		assert.Equal(t, r.s.task(start.Task).crashes, crashes{})
	}
}

// Guards against a run of a cancelled job that goes on because the former life of its worker answered the stop before the new one carried out the start.
func TestLateStartOnTheNewLifeIsStopped(t *testing.T) {
	r := newRig(t, 1, Resources{CPUMilli: 1000, MemoryMB: 1000})
	r.advance(10)
	r.workers["w00"].unreachable = true
	r.submit(oneStep(jobID(1), Step{Tasks: 1, Resources: Resources{CPUMilli: 1000}, EstimateMS: 60_000}))
	first := r.starts[0]
	r.advance(400)
	r.s.Cancel(jobID(1), Caller{})
	r.runActions()
	r.s.Stopped("w00", first.Task, first.Run) // by the former life
	r.advance(10)
	*r.workers["w00"] = fakeWorker{incarnation: 1, running: []RunningTask{{Task: first.Task, Run: first.Run}}}
	r.advance(10)
	assert.Equal(t, len(r.stops), 2)
}
