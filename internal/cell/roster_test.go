package cell

import (
	"slices"
	"testing"

	"gotest.tools/v3/assert"
)

// silence makes a worker unreachable and lets the Scheduler notice it.
func (r *rig) silence(id string) {
	r.workers[id].unreachable = true
	r.s.WorkerUnreachable(id, r.now)
	r.advance(closingDelayMS)
}

// startedTasks returns how often each task was started.
func (r *rig) startedTasks() map[string]int {
	out := map[string]int{}
	for _, s := range r.starts {
		out[s.Task.String()]++
	}
	return out
}

// After a takeover, only the tasks that may be running on a silent worker may wait for
// its lease. On the grown Steppe Lens site, 525 jobs waited 9 s for the leases of 18
// workers that were gone, and half of them were late.
func TestTakeoverHoldsOnlyTasksOfSilentWorkers(t *testing.T) {
	r := newRig(t, 2, Resources{CPUMilli: 1000, MemoryMB: 1000})
	for n := range 3 {
		r.submit(oneStep(jobID(n), Step{Tasks: 1, Resources: Resources{CPUMilli: 1000}, EstimateMS: 1000}))
	}
	assert.Equal(t, len(r.starts), 2, "the third job waits")
	silent := r.starts[0]
	r.silence(silent.Worker)
	r.takeOver(2)
	r.endLast(EndDone) // makes room on the other worker
	assert.DeepEqual(t, r.startedTasks(), map[string]int{jobID(0) + ".0.0.0": 1, jobID(1) + ".0.0.0": 1, jobID(2) + ".0.0.0": 1})

	// The next holder inherits what is known of the silent worker, also from a roster that
	// this one has written.
	r.workers["new"] = &fakeWorker{}
	r.infos = append(r.infos, WorkerInfo{ID: "new", Service: "svc", Capacity: Resources{CPUMilli: 100, MemoryMB: 1000}})
	r.s.SetWorkers(r.infos)
	r.submit(oneStep(jobID(3), Step{Tasks: 1, Resources: Resources{CPUMilli: 1000}, EstimateMS: 1000}))
	r.takeOver(3)
	r.endLast(EndDone)
	assert.Equal(t, r.startedTasks()[jobID(3)+".0.0.0"], 1, "only the task of the silent worker waits")
	r.endLast(EndDone)
	r.advance(100)
	assert.Equal(t, r.startedTasks()[silent.Task.String()], 1, "the task may still be running")
	r.now += 12000
	r.advance(10)
	assert.Equal(t, r.startedTasks()[silent.Task.String()], 2, "the lease has expired")
}

// While a worker that was open in the roster is silent, no restored task may be placed:
// any of them may be running there.
func TestTakeoverWaitsForOpenWorkers(t *testing.T) {
	r := newRig(t, 2, Resources{CPUMilli: 1000, MemoryMB: 1000})
	for n := range 3 {
		r.submit(oneStep(jobID(n), Step{Tasks: 1, Resources: Resources{CPUMilli: 1000}, EstimateMS: 1000}))
	}
	r.workers[r.starts[0].Worker].unreachable = true // not noticed by the first holder
	r.takeOver(2)
	r.endLast(EndDone)
	assert.Equal(t, len(r.starts), 2)
}

// A silent worker that answers again must not get tasks before the roster that lists it
// as open is stored: the next holder would not wait for these tasks.
func TestRegainedWorkerWaitsForRoster(t *testing.T) {
	r := newRig(t, 1, Resources{CPUMilli: 1000, MemoryMB: 1000})
	r.silence("w00")
	r.submit(oneStep(jobID(1), Step{Tasks: 1, Resources: Resources{CPUMilli: 1000}, EstimateMS: 1000}))
	r.logDown = true
	r.workers["w00"].unreachable = false
	r.advance(2 * searchIntervalMS)
	assert.Equal(t, len(r.starts), 0, "the roster does not list the worker as open yet")
	r.s.Stored(r.s.seq)
	r.runActions()
	assert.Equal(t, len(r.starts), 1)
}

// The same holds for a new holder that finds the worker closed in the roster.
func TestReconciledWorkerWaitsForRoster(t *testing.T) {
	r := newRig(t, 1, Resources{CPUMilli: 1000, MemoryMB: 1000})
	r.silence("w00")
	r.submit(oneStep(jobID(1), Step{Tasks: 1, Resources: Resources{CPUMilli: 1000}, EstimateMS: 1000}))
	r.workers["w00"].unreachable = false
	r.logDown = true
	r.takeOver(2)
	assert.Equal(t, len(r.starts), 0, "the roster does not list the worker as open yet")
	r.s.Stored(r.s.seq)
	r.runActions()
	assert.Equal(t, len(r.starts), 1)
}

// A worker that is silent only for a moment is not written as closed, so it gets tasks
// again at once, also while the log is down.
func TestBriefSilenceNeedsNoRecord(t *testing.T) {
	r := newRig(t, 1, Resources{CPUMilli: 1000, MemoryMB: 1000})
	r.submit(oneStep(jobID(1), Step{Tasks: 1, Resources: Resources{CPUMilli: 1000}, EstimateMS: 1000}))
	r.endLast(EndDone)
	r.submit(oneStep(jobID(2), Step{Tasks: 2, Resources: Resources{CPUMilli: 1000}, EstimateMS: 1000}))
	r.logDown = true
	r.s.WorkerUnreachable("w00", r.now)
	r.advance(closingDelayMS / 2)
	r.endLast(EndDone)
	assert.Equal(t, len(r.starts), 3)
}

// A run that is being stopped on a silent worker may still be going on there.
func TestTakeoverHoldsStoppedRuns(t *testing.T) {
	r := newRig(t, 2, Resources{CPUMilli: 1000, MemoryMB: 1000})
	r.submit(oneStep(jobID(1), Step{Tasks: 1, Resources: Resources{CPUMilli: 1000}, EstimateMS: 1000}))
	a := r.starts[0]
	r.workers[a.Worker].unreachable = true
	r.s.stop(r.s.workers[a.Worker].attempts[runKey{a.Task, a.Run}], "test")
	r.silence(a.Worker)
	r.takeOver(2)
	r.advance(100)
	assert.Equal(t, len(r.starts), 1)
}

// A run that the scheduler has ordered to stop because it does not know it may still be
// one of a task that is placed again later.
func TestRosterNamesUnknownRuns(t *testing.T) {
	r := newRig(t, 1, Resources{CPUMilli: 1000, MemoryMB: 1000})
	id := TaskID{Job: jobID(1)}
	r.s.workers["w00"].unknownRuns[runKey{id, 1}] = r.now
	r.silence("w00")
	var stored roster
	assert.NilError(t, decodeRecord(Record{rosterKey, r.log[rosterKey]}, &stored))
	assert.DeepEqual(t, stored.Closed[0].Tasks, []string{id.String()})
}

// While a new holder waits for a worker that may be running any task, calls of the policy
// service for older jobs would mostly be for tasks that run already.
func TestNoPermitsAheadOfReconciliation(t *testing.T) {
	r := newRig(t, 2, Resources{CPUMilli: 1000, MemoryMB: 1000})
	r.submit(Job{ID: jobID(1), Queue: permitQueue(), Steps: []Step{{Tasks: 1, Resources: Resources{CPUMilli: 100}, EstimateMS: 100}}})
	before := len(r.permitRequests)
	r.workers["w00"].unreachable = true // not noticed by the first holder
	r.takeOver(2)
	r.advance(100)
	assert.Equal(t, len(r.permitRequests), before)
}

// All tasks of a gang start together, so none may start while one of them may still be
// running on a silent worker.
func TestTakeoverHoldsWholeGang(t *testing.T) {
	r := newRig(t, 4, Resources{CPUMilli: 1000, MemoryMB: 1000})
	r.submit(oneStep(jobID(1), Step{Tasks: 2, Resources: Resources{CPUMilli: 1000}, EstimateMS: 1000, Gang: true}))
	assert.Equal(t, len(r.starts), 2)
	r.silence(r.starts[0].Worker)
	r.endRun(r.starts[1].Worker, r.starts[1].Task, r.starts[1].Run, EndStopped)
	r.takeOver(2)
	r.advance(100)
	assert.Equal(t, len(r.starts), 2)
	r.workers[r.starts[0].Worker].unreachable = false
	r.endRun(r.starts[0].Worker, r.starts[0].Task, r.starts[0].Run, EndStopped)
	r.advance(10)
	assert.Equal(t, len(r.starts), 4, "the gang starts again once the worker has reported the end")
}

// A worker that is draining or under maintenance gets no tasks, so that only the tasks
// that run there wait for it after a takeover.
func TestDrainingWorkerIsClosed(t *testing.T) {
	for _, close := range []func(r *rig, worker int){
		func(r *rig, worker int) { r.infos[worker].Draining = true; r.s.SetWorkers(r.infos) },
		func(r *rig, worker int) { r.s.Drain(r.infos[worker].ID, false) },
	} {
		r := newRig(t, 2, Resources{CPUMilli: 1000, MemoryMB: 1000})
		for n := range 3 {
			r.submit(oneStep(jobID(n), Step{Tasks: 1, Resources: Resources{CPUMilli: 1000}, EstimateMS: 1000}))
		}
		leaving := r.starts[0].Worker
		for i := range r.infos {
			if r.infos[i].ID == leaving {
				close(r, i)
			}
		}
		r.advance(closingDelayMS)
		r.workers[leaving].unreachable = true
		r.takeOver(2)
		r.endLast(EndDone)
		assert.Equal(t, len(r.starts), 3, "the waiting job is started")
		assert.Equal(t, r.startedTasks()[jobID(0)+".0.0.0"], 1)
	}
}

// A roster that names a run of an occurrence that is not open cannot hold it, so the
// worker counts as open.
func TestUnknownOccurrenceOpensWorker(t *testing.T) {
	s := New(Config{Term: 1, RestoreUntil: 12000})
	s.Tick(1, 1_000_000)
	job := oneStep(jobID(1), Step{Tasks: 1, Resources: Resources{CPUMilli: 1000}, EstimateMS: 1000})
	job.Schedule = &Schedule{FirstUnixMS: 2_000_000, IntervalMS: 1000, Occurrences: 2}
	skipped := s.Restore([]Record{
		{Key: job.ID, Value: encode(jobRecord{Job: &job})},
		{Key: rosterKey, Value: encode(roster{Workers: []string{"w"}, Closed: []closedWorker{{ID: "w", Tasks: []string{job.ID + ".0.0.0"}}}})},
	})
	assert.Equal(t, len(skipped), 0)
	assert.Assert(t, !s.mayPlaceRestored())
}

// A record of the log has a limited size. A roster with too many tasks must list the
// remaining closed workers as open, for which a new holder waits.
func TestRosterIsBounded(t *testing.T) {
	var r roster
	tasks := make([]TaskID, maxClosedTasks/2)
	for i := range tasks {
		tasks[i] = TaskID{Job: "0123456789abcdef", Index: i}
	}
	assert.Assert(t, r.add("a", true, tasks))
	assert.Assert(t, r.add("b", true, tasks))
	assert.Assert(t, !r.add("c", true, tasks[:1]))
	assert.Assert(t, r.add("d", true, nil))
	assert.Assert(t, !r.add("e", false, nil))
	assert.Equal(t, len(r.Workers), 5)
	assert.Assert(t, len(encode(r)) < 256<<10)
}

// Guards against tasks that run twice because a worker answers a new holder after its entry in the registry has lapsed.
func TestListingOfUnregisteredWorkerIsUsed(t *testing.T) {
	r := newRig(t, 2, Resources{CPUMilli: 1000, MemoryMB: 1000})
	for n := range 2 {
		r.submit(oneStep(jobID(n), Step{Tasks: 1, Resources: Resources{CPUMilli: 1000}, EstimateMS: 1000}))
	}
	first := r.starts[0]
	r.workers[first.Worker].unreachable = true // not noticed by the first holder
	r.takeOver(2)
	registered := slices.Clone(r.infos)
	r.infos = slices.DeleteFunc(r.infos, func(i WorkerInfo) bool { return i.ID == first.Worker })
	r.s.SetWorkers(r.infos)
	r.endLast(EndDone) // makes room on the other worker
	r.workers[first.Worker].unreachable = false
	r.sendListing(first.Worker)
	r.runActions()
	r.infos = registered
	r.s.SetWorkers(r.infos)
	r.endRun(first.Worker, first.Task, first.Run, EndDone)
	r.advance(100)
	assert.Equal(t, r.startedTasks()[first.Task.String()], 1)
	assert.Equal(t, r.state(first.Task.Job), Completed)
}

// Guards against tasks on a worker that the stored roster lists as closed, for which the next holder would not wait.
func TestClosedWorkerWithCutListWaitsForRoster(t *testing.T) {
	r := newRig(t, 2, Resources{CPUMilli: 1000, MemoryMB: 1000})
	r.submit(oneStep(jobID(0), Step{Tasks: 1, Resources: Resources{CPUMilli: 1000}, EstimateMS: 1000}))
	closed := r.starts[0].Worker
	r.silence(closed)
	r.workers[closed].unreachable = false
	r.endRun(closed, r.starts[0].Task, r.starts[0].Run, EndDone)
	r.workers[closed].omitted = 1
	r.takeOver(2)
	for n := range 3 {
		r.submit(oneStep(jobID(n+1), Step{Tasks: 1, Resources: Resources{CPUMilli: 1000}, EstimateMS: 1000}))
	}
	assert.Equal(t, len(r.starts), 2)
	for _, s := range r.starts[1:] {
		assert.Assert(t, s.Worker != closed, "the next holder would not wait for %s", s.Task)
	}
}

// Guards against tasks that run twice because a roster that cannot be read counts as one without workers.
func TestUnreadableRosterDelaysRestoredTasks(t *testing.T) {
	r := newRig(t, 2, Resources{CPUMilli: 1000, MemoryMB: 1000})
	r.submit(oneStep(jobID(1), Step{Tasks: 1, Resources: Resources{CPUMilli: 1000}, EstimateMS: 9000}))
	assert.Equal(t, len(r.starts), 1)
	r.log[rosterKey] = []byte{0xff}
	var records []Record
	for key, value := range r.log {
		records = append(records, Record{key, value})
	}
	r.s = New(Config{Term: 1, RestoreUntil: r.now + 12000, RemoteDataFactor: 3, KeepEndedMS: 120000, StopTimeoutMS: 400})
	r.s.Tick(r.now, r.unixMS)
	assert.Equal(t, len(r.s.Restore(records)), 1)
	r.seq = 0
	r.s.SetWorkers(r.infos)
	r.workers[r.starts[0].Worker].unreachable = true // its run goes on
	r.advance(200)
	assert.Equal(t, len(r.starts), 1, "the task may still be running")
}
