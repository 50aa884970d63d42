package cell

import (
	"slices"
	"testing"

	"gotest.tools/v3/assert"
)

// Guards against tasks that run twice because a worker that answers a new holder stays out of the registry beyond Config.RestoreUntil.
func TestRunsOfWorkerThatStaysUnregisteredAreKept(t *testing.T) {
	r := newRig(t, 2, Resources{CPUMilli: 1000, MemoryMB: 1000})
	r.submit(oneStep(jobID(1), Step{Tasks: 1, Resources: Resources{CPUMilli: 1000}, EstimateMS: 60_000}))
	first := r.starts[0]
	r.workers[first.Worker].unreachable = true // not noticed by the first holder
	r.takeOver(2)
	r.infos = slices.DeleteFunc(r.infos, func(i WorkerInfo) bool { return i.ID == first.Worker })
	r.s.SetWorkers(r.infos)
	r.workers[first.Worker].unreachable = false
	for n := range 14 {
		r.setPercent(func(int) int { return n })
		r.sendListing(first.Worker)
		r.advance(1000)
	}
	assert.Equal(t, len(r.starts), 1)
}

// Guards against a task that runs twice because the first listing of a restarted worker was requested before the start on it was confirmed.
func TestStartOnNewIncarnationOutlivesItsFirstListing(t *testing.T) {
	r := newRig(t, 2, Resources{CPUMilli: 1000, MemoryMB: 1000})
	r.advance(10)
	requested := r.now
	r.advance(10)
	r.submit(oneStep(jobID(1), Step{Tasks: 1, Resources: Resources{CPUMilli: 1000}, EstimateMS: 60_000}))
	first := r.starts[0]
	r.s.Listed(Listing{Worker: first.Worker, Incarnation: 2, RequestedAt: requested})
	r.runActions()
	r.workers[first.Worker].incarnation = 1 // it carried out the start
	for range 3 {
		r.advance(searchIntervalMS)
	}
	assert.Equal(t, len(r.starts), 1)
}

// Guards against tasks that never run because a worker that has ended its draining stays out of the roster.
func TestWorkerGetsTasksAfterItsDraining(t *testing.T) {
	r := newRig(t, 1, Resources{CPUMilli: 1000, MemoryMB: 1000})
	r.infos[0].Draining = true
	r.s.SetWorkers(r.infos)
	r.advance(checkIntervalMS)
	assert.Equal(t, r.s.workers["w00"].rosterSeq, uint64(notInRoster))
	r.infos[0].Draining = false
	r.s.SetWorkers(r.infos)
	r.submit(oneStep(jobID(1), Step{Tasks: 1, Resources: Resources{CPUMilli: 1000}, EstimateMS: 1000}))
	r.advance(searchIntervalMS)
	assert.Equal(t, len(r.starts), 1)
	r.takeOver(2)
	r.workers["w00"].unreachable = true
	r.takeOver(3)
	assert.Assert(t, !r.s.Settled(), "the next holder must wait for the worker")
}

// Guards against a task that goes on twice because a new holder adopts a second run of it, and against a speculative copy that is stopped.
func TestSecondListedRunIsAdoptedOnlyIfSpeculative(t *testing.T) {
	for _, speculative := range []bool{false, true} {
		r := newRig(t, 2, Resources{CPUMilli: 1000, MemoryMB: 1000})
		r.submit(oneStep(jobID(1), Step{Tasks: 1, Resources: Resources{CPUMilli: 1000}, EstimateMS: 60_000, Speculative: speculative}))
		other := "w00"
		if r.starts[0].Worker == other {
			other = "w01"
		}
		r.workers[other].running = []RunningTask{{Task: r.starts[0].Task, Run: 2}}
		r.takeOver(2)
		wantStops := 1
		if speculative {
			wantStops = 0
		}
		assert.Equal(t, len(r.stops), wantStops, "speculative: %t", speculative)
		assert.Equal(t, len(r.starts), 1)
	}
}

// Guards against a gang that runs twice because a new holder does not adopt its members, and against one with members of two runs.
func TestGangIsAdoptedWithOneRunNumber(t *testing.T) {
	for _, former := range []bool{false, true} {
		r := newRig(t, 2, Resources{CPUMilli: 1000, MemoryMB: 1000})
		r.submit(oneStep(jobID(1), Step{Tasks: 2, Resources: Resources{CPUMilli: 1000}, EstimateMS: 60_000, Gang: true}))
		assert.Equal(t, len(r.starts), 2)
		wantStops := 0
		if former {
			r.workers["w01"].running[0].Run++
			wantStops = 1
		}
		r.takeOver(2)
		assert.Equal(t, len(r.stops), wantStops, "another run number: %t", former)
		assert.Equal(t, len(r.starts), 2)
	}
}

// Guards against a done task that runs again because a new holder does not restore it from the stored progress.
func TestStoredDoneTaskDoesNotRunAgain(t *testing.T) {
	r := newRig(t, 1, Resources{CPUMilli: 1000, MemoryMB: 1000})
	r.submit(oneStep(jobID(1), Step{Tasks: 2, Resources: Resources{CPUMilli: 500}, EstimateMS: 60_000}))
	assert.Equal(t, len(r.starts), 2)
	r.endLast(EndDone)
	r.advance(10)
	assert.Equal(t, len(r.workers["w00"].ended), 0, "the end is acknowledged")
	r.takeOver(2)
	r.advance(searchIntervalMS)
	assert.Equal(t, len(r.starts), 2)
	r.endRun("w00", r.starts[0].Task, r.starts[0].Run, EndDone)
	r.advance(10)
	assert.Equal(t, r.state(jobID(1)), Completed)
}

// Guards against a job that a new holder ends before its last step, or never, because it miscounts the steps that are left.
func TestRestoredJobEndsAfterItsLastStep(t *testing.T) {
	for _, done := range []int{1, 2} { // tasks of the first step that are stored as done
		r := newRig(t, 1, Resources{CPUMilli: 1000, MemoryMB: 1000})
		step := Step{Tasks: 2, Resources: Resources{CPUMilli: 500}, EstimateMS: 60_000}
		later := step
		later.After = []int{0}
		r.submit(Job{ID: jobID(1), Steps: []Step{step, later}})
		end := func(from, to int) {
			for _, start := range r.starts[from:to] {
				r.endRun("w00", start.Task, start.Run, EndDone)
			}
			r.advance(searchIntervalMS)
			r.advance(10)
		}
		end(0, done)
		r.takeOver(2)
		end(done, 2)
		assert.Equal(t, r.state(jobID(1)), Running, "%d tasks were done", done)
		assert.Equal(t, len(r.starts), 4)
		end(2, 4)
		assert.Equal(t, r.state(jobID(1)), Completed, "%d tasks were done", done)
	}
}

// Guards against a task that runs twice because the roster lacks a draining worker whose unknown run has not ended.
func TestDrainingWorkerWithUnknownRunStaysInRoster(t *testing.T) {
	r := newRig(t, 2, Resources{CPUMilli: 1000, MemoryMB: 1000})
	id := TaskID{Job: jobID(1)}
	r.workers["w00"].unreachable = true // the stop is lost
	r.s.Listed(Listing{Worker: "w00", Incarnation: 1, RequestedAt: r.now, Running: []RunningTask{{Task: id, Run: 1}}})
	r.infos[0].Draining = true
	r.s.SetWorkers(r.infos)
	r.advance(checkIntervalMS)
	r.advance(closingDelayMS)
	var stored roster
	assert.NilError(t, decodeRecord(Record{rosterKey, r.log[rosterKey]}, &stored))
	assert.Assert(t, slices.Contains(stored.Workers, "w00"))
	assert.DeepEqual(t, stored.Closed[0].Tasks, []string{id.String()})
}

// Guards against tasks that never run because a registered worker is forgotten when its lease has expired.
func TestWorkerIsUsedAgainAfterItsLeaseHasExpired(t *testing.T) {
	r := newRig(t, 1, Resources{CPUMilli: 1000, MemoryMB: 1000})
	r.silence("w00")
	r.s.LeaseExpired("w00")
	r.workers["w00"].unreachable = false
	r.submit(oneStep(jobID(1), Step{Tasks: 1, Resources: Resources{CPUMilli: 1000}, EstimateMS: 1000}))
	r.advance(searchIntervalMS)
	r.advance(searchIntervalMS)
	assert.Equal(t, len(r.starts), 1)
}

// Guards against a crash that is not counted because another worker answers at the address, and against a panic if the worker is not known.
func TestReplacedWorkerCountsAsCrash(t *testing.T) {
	r := newRig(t, 1, Resources{CPUMilli: 1000, MemoryMB: 1000})
	r.submit(oneStep(jobID(1), Step{Tasks: 1, Resources: Resources{CPUMilli: 1000}, EstimateMS: 1000}))
	r.s.WorkerReplaced("unknown", r.now)
	r.s.WorkerReplaced("w00", r.now)
	assert.Equal(t, r.s.task(r.starts[0].Task).crashes.total, 1)
}

// Guards against a task that runs twice because the roster lacks a draining worker that was silent after a takeover and runs it.
func TestSilentDrainingWorkerStaysInRoster(t *testing.T) {
	r := newRig(t, 2, Resources{CPUMilli: 1000, MemoryMB: 1000})
	r.submit(oneStep(jobID(1), Step{Tasks: 1, Resources: Resources{CPUMilli: 1000}, EstimateMS: 60_000}))
	first := r.starts[0]
	r.workers[first.Worker].unreachable = true // not noticed by the first holder
	for i := range r.infos {
		r.infos[i].Draining = r.infos[i].ID == first.Worker
	}
	r.takeOver(2)
	r.advance(checkIntervalMS)
	r.workers[first.Worker].unreachable = false
	r.advance(checkIntervalMS)
	r.workers["new"] = &fakeWorker{}
	r.infos = append(r.infos, WorkerInfo{ID: "new", Service: "svc", Capacity: Resources{CPUMilli: 100, MemoryMB: 1000}})
	r.s.SetWorkers(r.infos) // has the roster written
	r.advance(closingDelayMS)
	r.workers[first.Worker].unreachable = true
	r.takeOver(3)
	r.advance(checkIntervalMS)
	assert.Equal(t, len(r.starts), 1)
}

// Guards against maintenance of a VM on which a run that the holder does not know has not ended.
func TestDrainWaitsForUnknownRuns(t *testing.T) {
	r := newRig(t, 1, Resources{CPUMilli: 1000, MemoryMB: 1000})
	r.workers["w00"].unreachable = true // the stop is lost
	r.s.Listed(Listing{Worker: "w00", Incarnation: 1, RequestedAt: r.now, Running: []RunningTask{{Task: TaskID{Job: jobID(1)}, Run: 1}}})
	assert.Assert(t, !r.s.Drain("w00", true))
	r.s.Listed(Listing{Worker: "w00", Incarnation: 1, RequestedAt: r.now})
	assert.Assert(t, r.s.Drain("w00", true))
}

// Guards against a task that runs twice because a run that the former holder started during the takeover is still being stopped.
func TestTaskWaitsForTheEndOfItsUnknownRun(t *testing.T) {
	r := newRig(t, 3, Resources{CPUMilli: 1000, MemoryMB: 1000})
	r.submit(oneStep(jobID(1), Step{Tasks: 1, Resources: Resources{CPUMilli: 1000}, EstimateMS: 60_000}))
	first := r.starts[0]
	other := "w00"
	if first.Worker == other {
		other = "w01"
	}
	silent := r.workers[other]
	silent.unreachable = true
	r.takeOver(2)
	// The former holder has learned that the first run failed, and has started another one.
	silent.running = []RunningTask{{Task: first.Task, Run: first.Run + 1}}
	silent.unreachable = false
	r.sendListing(other)
	silent.unreachable = true // the stop takes some time
	r.runActions()
	r.endRun(first.Worker, first.Task, first.Run, EndFailed)
	r.advance(searchIntervalMS)
	assert.Equal(t, len(r.starts), 1, "the run on %s is still being stopped", other)
	silent.unreachable = false
	r.endRun(other, first.Task, first.Run+1, EndStopped)
	r.advance(searchIntervalMS)
	assert.Equal(t, len(r.starts), 2)
}

// Guards against a worker that gets no tasks for as long as a run lasts there that was unknown at first and is adopted after its stop was lost.
func TestUnknownRunIsNotAdoptedLater(t *testing.T) {
	for _, moved := range []bool{false, true} {
		r := newRig(t, 2, Resources{CPUMilli: 1000, MemoryMB: 1000})
		r.submit(oneStep(jobID(1), Step{Tasks: 1, Resources: Resources{CPUMilli: 500}, EstimateMS: 600_000}))
		first := r.starts[0]
		other := "w00"
		if first.Worker == other {
			other = "w01"
		}
		w := r.workers[other]
		w.unreachable = true
		r.takeOver(2)
		// The former holder has learned that the first run failed, and has started another one.
		w.running = []RunningTask{{Task: first.Task, Run: first.Run + 1}}
		w.unreachable = false
		r.sendListing(other)
		w.unreachable = true // the stop does not reach it
		r.runActions()
		w.unreachable = false
		if moved {
			r.s.ResendStops(other)
			r.runActions()
			assert.Equal(t, len(w.running), 0, "the stop goes to the new address at once")
		}
		r.endRun(first.Worker, first.Task, first.Run, EndFailed)
		for range 100 { // 10 s
			r.advance(checkIntervalMS)
		}
		assert.Equal(t, len(r.starts), 2, "moved %v", moved)
		assert.Assert(t, r.s.workers[other].takesWork(r.now), "moved %v: %d unknown runs", moved, len(r.s.workers[other].unknownRuns))
	}
}

// Guards against a task that is never started again after its unknown run has gone without a listed end.
func TestTaskIsPlacedOnceItsUnknownRunIsGone(t *testing.T) {
	for how, goneBy := range map[string]func(r *rig, other string){
		"restart":       func(r *rig, other string) { r.workers[other].incarnation++; r.workers[other].unreachable = false },
		"lease expired": func(r *rig, other string) { r.s.LeaseExpired(other) },
		"replaced":      func(r *rig, other string) { r.s.WorkerReplaced(other, r.now) },
		"not listed":    func(r *rig, other string) { r.workers[other].unreachable = false },
	} {
		for _, gang := range []bool{false, true} {
			r := newRig(t, 3, Resources{CPUMilli: 1000, MemoryMB: 1000})
			r.submit(oneStep(jobID(1), Step{Tasks: 1, Resources: Resources{CPUMilli: 1000}, EstimateMS: 60_000, Gang: gang}))
			first := r.starts[0]
			other := "w00"
			if first.Worker == other {
				other = "w01"
			}
			silent := r.workers[other]
			silent.unreachable = true
			r.takeOver(2)
			silent.running = []RunningTask{{Task: first.Task, Run: first.Run + 1}}
			silent.unreachable = false
			r.sendListing(other)
			r.sendListing(other) // it is listed twice before it has stopped
			silent.unreachable = true
			r.runActions()
			r.endRun(first.Worker, first.Task, first.Run, EndFailed)
			for range 5 {
				r.advance(searchIntervalMS)
			}
			assert.Equal(t, len(r.starts), 1, "%s, gang %v: the run on %s is still being stopped", how, gang, other)
			assert.Equal(t, r.s.heldBy(r.s.task(first.Task).step), "unknown_run")
			// The placement of another task removes steps without tasks to place from the waiting list.
			r.submit(oneStep(jobID(2), Step{Tasks: 1, Resources: Resources{CPUMilli: 1000}, EstimateMS: 60_000}))
			assert.Equal(t, len(r.starts), 2)
			silent.running = nil
			goneBy(r, other)
			for range 5 {
				r.advance(searchIntervalMS)
			}
			assert.Equal(t, len(r.starts), 3, "%s, gang %v", how, gang)
		}
	}
}

// Guards against a roster that says for ever that it may lack workers, so that each later takeover waits for all leases.
func TestRosterIsCompleteAfterTheWait(t *testing.T) {
	r := newRig(t, 2, Resources{CPUMilli: 1000, MemoryMB: 1000})
	r.restoreUnreadable(2)
	for r.now < 13_000 {
		r.advance(checkIntervalMS)
	}
	r.takeOver(3)
	assert.Assert(t, !r.s.rosterLost)
}

// Guards against a gang that is stopped because a run that was never adopted has ended elsewhere.
func TestEndOfUnknownRunDoesNotStopItsGang(t *testing.T) {
	r := newRig(t, 3, Resources{CPUMilli: 1000, MemoryMB: 1000})
	r.submit(oneStep(jobID(1), Step{Tasks: 2, Resources: Resources{CPUMilli: 1000}, EstimateMS: 60_000, Gang: true}))
	assert.Equal(t, len(r.starts), 2)
	other := ""
	for id, w := range r.workers {
		if len(w.running) == 0 {
			other = id
		}
	}
	silent := r.workers[other]
	silent.unreachable = true
	r.takeOver(2)
	stops := len(r.stops)
	silent.running = []RunningTask{{Task: r.starts[0].Task, Run: r.starts[0].Run + 1}}
	silent.unreachable = false
	for range 5 {
		r.advance(checkIntervalMS)
	}
	assert.Equal(t, len(r.stops)-stops, 1, "only the unknown run is stopped")
}

// Guards against a step_waits that names an unknown run of a task that is done.
func TestDoneTaskWithUnknownRunIsNoReasonToWait(t *testing.T) {
	r := newRig(t, 2, Resources{CPUMilli: 1000, MemoryMB: 1000})
	r.submit(oneStep(jobID(1), Step{Tasks: 3, Resources: Resources{CPUMilli: 1000}, EstimateMS: 60_000}))
	first := r.starts[0]
	r.endRun(first.Worker, first.Task, first.Run, EndDone)
	r.advance(checkIntervalMS)
	r.advance(searchIntervalMS)
	assert.Equal(t, len(r.starts), 3)
	st := r.s.task(first.Task).step
	last := r.starts[1]
	r.endRun(last.Worker, last.Task, last.Run, EndFailed)
	w := r.workers[first.Worker]
	w.running = append(w.running, RunningTask{Task: first.Task, Run: 9})
	r.s.Listed(Listing{Worker: first.Worker, Incarnation: 1, RequestedAt: r.now, Running: w.running})
	assert.Assert(t, r.s.heldBy(st) != "unknown_run", "the task with the unknown run is done")
}

// Guards against a gang that is stopped after a takeover because a worker still lists the end of an earlier run of it.
func TestEndOfEarlierRunDoesNotStopItsGang(t *testing.T) {
	r := newRig(t, 4, Resources{CPUMilli: 1000, MemoryMB: 1000})
	r.submit(oneStep(jobID(1), Step{Tasks: 2, Resources: Resources{CPUMilli: 1000}, EstimateMS: 60_000, Gang: true}))
	assert.Equal(t, len(r.starts), 2)
	first := r.starts[0]
	for _, a := range r.starts {
		r.endRun(a.Worker, a.Task, a.Run, EndStopped)
	}
	w := r.workers[first.Worker]
	unacknowledged := append([]EndedTask(nil), w.ended...)
	for i := range r.infos {
		r.infos[i].Draining = r.infos[i].ID == first.Worker // so that the next run is elsewhere
	}
	r.s.SetWorkers(r.infos)
	for range 20 {
		r.advance(searchIntervalMS)
	}
	assert.Equal(t, len(r.starts), 4, "the gang runs again")
	stops := len(r.stops)
	w.unreachable = true // it is the last one that the next holder reaches
	r.takeOver(2)
	w.unreachable, w.ended = false, unacknowledged // the acknowledgement has not reached it
	for range 5 {
		r.advance(checkIntervalMS)
	}
	assert.Equal(t, len(r.stops), stops, "the second run of the gang goes on")
}

// Guards against a gang member that waits alone on its worker because the term of an earlier holder ended between the starts of the gang.
func TestIncompleteGangOfEarlierHolderIsStopped(t *testing.T) {
	for _, queue := range []Queue{{}, permitQueue()} {
		r := newRig(t, 3, Resources{CPUMilli: 1000, MemoryMB: 1000})
		r.allow = func(string, string) bool { return true }
		r.submit(Job{ID: jobID(1), Queue: queue, Steps: []Step{{Tasks: 3, Resources: Resources{CPUMilli: 1000}, EstimateMS: 60_000, Gang: true}}})
		assert.Equal(t, len(r.starts), 3)
		r.workers["w01"].running = nil // the start was not sent
		r.workers["w02"].unreachable = true
		r.takeOver(2)
		assert.Equal(t, len(r.stops), 0, "w02 may be running a member")
		r.workers["w02"].unreachable = false
		r.sendListing("w02")
		r.runActions()
		assert.Equal(t, len(r.stops), 2)
		for range 30 {
			r.advance(searchIntervalMS)
		}
		assert.Equal(t, len(r.stops), 2)
		assert.Equal(t, len(r.starts), 6, "the gang runs again")
		for _, start := range r.starts[3:] {
			assert.Assert(t, start.Run > r.starts[0].Run)
			r.endRun(start.Worker, start.Task, start.Run, EndDone)
		}
		r.advance(10)
		assert.Equal(t, r.state(jobID(1)), Completed)
	}
}

// Guards against a whole gang of an earlier holder that is stopped because the task list of a draining worker, which has not sent a listing, is not heeded.
func TestGangWithMemberOnClosedWorkerIsKept(t *testing.T) {
	r := newRig(t, 2, Resources{CPUMilli: 1000, MemoryMB: 1000})
	r.submit(oneStep(jobID(1), Step{Tasks: 2, Resources: Resources{CPUMilli: 1000}, EstimateMS: 60_000, Gang: true}))
	assert.Equal(t, len(r.starts), 2)
	r.infos[1].Draining = true
	r.s.SetWorkers(r.infos)
	r.advance(checkIntervalMS)
	r.advance(closingDelayMS)
	r.workers["w01"].unreachable = true
	r.takeOver(2)
	r.advance(searchIntervalMS)
	assert.Assert(t, r.s.mayPlaceRestored())
	assert.Equal(t, len(r.stops), 0)
	r.workers["w01"].unreachable = false
	r.advance(searchIntervalMS)
	assert.Equal(t, len(r.stops), 0)
	assert.Equal(t, len(r.starts), 2)
}

// Guards against a gang member that waits alone because the earlier holder stopped its gang and its term ended before all stops were sent.
func TestRestOfStoppedGangIsStopped(t *testing.T) {
	r := newRig(t, 2, Resources{CPUMilli: 1000, MemoryMB: 1000})
	r.submit(oneStep(jobID(1), Step{Tasks: 2, Resources: Resources{CPUMilli: 1000}, EstimateMS: 60_000, Gang: true}))
	assert.Equal(t, len(r.starts), 2)
	r.endRun("w00", r.workers["w00"].running[0].Task, r.starts[0].Run, EndStopped)
	r.takeOver(2) // w00 sends the first listing
	assert.Equal(t, len(r.stops), 1)
	for range 30 {
		r.advance(searchIntervalMS)
	}
	assert.Equal(t, len(r.starts), 4, "the gang runs again")
}

// Guards against a stop of each member of an adopted gang whose workers end them because one member has failed.
func TestAdoptedGangWithFailedMemberIsNotStopped(t *testing.T) {
	for _, kind := range []EndKind{EndFailed, EndGangMemberEnded} {
		r := newRig(t, 3, Resources{CPUMilli: 1000, MemoryMB: 1000})
		r.submit(oneStep(jobID(1), Step{Tasks: 3, Resources: Resources{CPUMilli: 1000}, EstimateMS: 60_000, Gang: true}))
		assert.Equal(t, len(r.starts), 3)
		r.takeOver(2)
		first := r.starts[0]
		r.endRun(first.Worker, first.Task, first.Run, kind)
		r.advance(searchIntervalMS)
		assert.Equal(t, len(r.stops), 0, "after %s", kind)
	}
}

// Guards against a stop of each member of a gang of a service that this holder placed and whose workers end them because one member has ended.
func TestPlacedGangOfServiceIsLeftToItsWorkers(t *testing.T) {
	r := newRig(t, 2, Resources{CPUMilli: 1000, MemoryMB: 1000})
	r.submit(oneStep(jobID(1), Step{Tasks: 2, Resources: Resources{CPUMilli: 1000}, EstimateMS: 60_000, Gang: true, LongRunning: true}))
	assert.Equal(t, len(r.starts), 2)
	r.endLast(EndDone)
	r.advance(searchIntervalMS)
	assert.Equal(t, len(r.stops), 0)
}
