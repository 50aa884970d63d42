package cell

import (
	"fmt"
	"slices"
	"testing"

	"gotest.tools/v3/assert"
)

// The ends of a gang's other members, which arrive after the gang is complete, must not
// be acknowledged before the completion is stored. A holder that took over then could
// find the end of no member and run the gang again.
func TestEndsOfRepeatedGangAreAcknowledgedOnceStored(t *testing.T) {
	r := newRig(t, 2, Resources{CPUMilli: 1000, MemoryMB: 1000})
	j := oneStep(jobID(1), Step{Tasks: 2, Resources: Resources{CPUMilli: 1000}, EstimateMS: 100, Gang: true})
	j.Schedule = &Schedule{Occurrences: 3, FirstUnixMS: r.unixMS, IntervalMS: 60_000}
	r.submit(j)
	assert.Equal(t, len(r.starts), 2)
	r.logDown = true
	for _, start := range r.starts {
		r.endRun(start.Worker, start.Task, start.Run, EndDone)
	}
	r.advance(10)
	for _, start := range r.starts {
		assert.Equal(t, r.s.Acknowledged(start.Worker), uint64(0), "acknowledged before the completion is stored")
	}
	r.logDown = false
	r.takeOver(2) // the progress was not stored, so the ends must still be listed
	r.advance(10)
	assert.Equal(t, len(r.starts), 2, "the gang ran again")
	for _, start := range r.starts {
		assert.Equal(t, r.s.Acknowledged(start.Worker), uint64(1))
	}
}

// Ended jobs must be dropped in the order of their ends also after a takeover, which
// reads the records in no particular order.
func TestEndedJobsAreDroppedAfterTakeover(t *testing.T) {
	r := newRig(t, 1, Resources{CPUMilli: 1000, MemoryMB: 1000})
	for n := range 8 {
		r.submit(oneStep(jobID(n), Step{Tasks: 1, Resources: Resources{CPUMilli: 100}, EstimateMS: 100}))
		r.endLast(EndDone)
		r.advance(10_000)
	}
	r.takeOver(2)
	r.advance(120_000 - 35_000) // the first 5 of the jobs ended more than 120 s ago
	dropped := 0
	for n := range 8 {
		if r.state(jobID(n)) == "unknown" {
			dropped++
		}
	}
	assert.Equal(t, dropped, 5)
}

// A failed run that a worker lists again after a takeover must be reported only once:
// operators count the attempts of a task in the logs.
func TestFailureIsReportedOnce(t *testing.T) {
	r := newRig(t, 1, Resources{CPUMilli: 1000, MemoryMB: 1000})
	r.submit(oneStep(jobID(1), Step{Tasks: 1, Resources: Resources{CPUMilli: 100}, EstimateMS: 100}))
	r.endRun("w00", r.starts[0].Task, 1, EndFailed)
	r.advance(10)
	reported := 0
	r.s.Listed(Listing{Worker: "w00", Incarnation: 1, RequestedAt: r.now, Ended: []EndedTask{{Number: 9, Task: r.starts[0].Task, Run: 1, Kind: EndFailed}}})
	for _, a := range r.s.Actions() {
		if e, ok := a.(LogEvent); ok && e.Event == EventRunFailed {
			reported++
		}
	}
	assert.Equal(t, reported, 0)
}

// A call names at most maxCallWorkers workers, so its duration must not be estimated
// with those beyond. Otherwise short calls wait for a share of the callers that they do
// not need.
func TestLongCallCountsNamedWorkers(t *testing.T) {
	st := &step{job: &job{Job: &Job{Queue: Queue{Policy: &PolicyCost{DecisionMS: 100, PerWorkerMS: 1}}}}}
	var workers []string
	for n := range 350 {
		workers = append(workers, fmt.Sprint(n))
	}
	s := New(Config{})
	s.SetCallers([]string{"e1"})
	s.requestPermits(st, workers)
	assert.Equal(t, len(s.callQueue), 1)
	assert.Equal(t, len(s.callQueue[0].workers), maxCallWorkers)
	assert.Assert(t, !s.callQueue[0].isLong(), "a call of 200 ms counts as long")
}

// The time at which a draining worker leaves must be counted from the first update that
// names it. Counted again from each update, it moved on by up to a heartbeat, and runs
// were evacuated too late.
func TestLeaveTimeIsNotMovedByRepeatedUpdates(t *testing.T) {
	r := newRig(t, 2, Resources{CPUMilli: 1000, MemoryMB: 1000})
	r.infos[0].Draining, r.infos[0].LeavesInMS = true, 2000
	r.s.SetWorkers(r.infos)
	leaves := r.s.workers["w00"].leavesAt
	assert.Equal(t, leaves, r.now+2000)
	r.advance(900)
	r.s.SetWorkers(r.infos) // another worker has changed
	assert.Equal(t, r.s.workers["w00"].leavesAt, leaves)
	r.advance(600)
	r.infos[0].LeavesInMS = 1500 // told anew: the worker stays longer
	r.s.SetWorkers(r.infos)
	assert.Equal(t, r.s.workers["w00"].leavesAt, r.now+1500)
}

// Guards against an append with the drop of a job's progress that is stored while the one
// with the job's final state is lost.
func TestFinalStateIsWrittenBeforeProgressIsDropped(t *testing.T) {
	r := newRig(t, 1, Resources{CPUMilli: 1000, MemoryMB: 1000})
	r.submit(oneStep(jobID(1), Step{Tasks: 2, Resources: Resources{CPUMilli: 500}, EstimateMS: 100}))
	for _, start := range r.starts {
		r.endRun(start.Worker, start.Task, start.Run, EndDone)
	}
	r.sendListing("w00")
	var keys []string
	for _, a := range r.s.Actions() {
		if p, ok := a.(Persist); ok {
			keys = append(keys, p.Key)
		}
	}
	assert.DeepEqual(t, keys, []string{jobID(1), jobID(1) + progressSuffix})
}

// Guards against a task that runs twice because a restarted worker carries out an old start.
func TestUnansweredStartOutlivesRestart(t *testing.T) {
	r := newRig(t, 2, Resources{CPUMilli: 1000, MemoryMB: 1000})
	r.submit(oneStep(jobID(1), Step{Tasks: 1, Resources: Resources{CPUMilli: 1000}, EstimateMS: 60_000}))
	lasting := r.starts[0]
	other := "w00"
	if lasting.Worker == other {
		other = "w01"
	}
	r.workers[other].unreachable = true // the start is sent but not answered
	r.submit(oneStep(jobID(2), Step{Tasks: 1, Resources: Resources{CPUMilli: 1000}, EstimateMS: 60_000}))
	late := r.starts[1]
	assert.Equal(t, late.Worker, other)
	r.endRun(lasting.Worker, lasting.Task, lasting.Run, EndDone)
	r.advance(10)

	r.now += 10
	r.s.Tick(r.now, r.unixMS)
	r.s.Listed(Listing{Worker: other, Incarnation: 2, RequestedAt: r.now})
	r.s.Started(other, late.Task, late.Run, StartUnanswered)
	r.runActions()
	r.advance(unhealthyPauseMS)
	assert.Equal(t, len(r.starts), 2, "the task was started again although the worker may still start it")

	*r.workers[other] = fakeWorker{incarnation: 1}
	r.s.Stopped(other, late.Task, late.Run)
	r.advance(10)
	r.advance(searchIntervalMS)
	assert.Equal(t, len(r.starts), 3)
}

// Guards against runs that go on to their end because their stop was lost with a session.
func TestStopIsSentAgainWhileTheRunGoesOn(t *testing.T) {
	for _, unknown := range []bool{false, true} {
		r := newRig(t, 1, Resources{CPUMilli: 1000, MemoryMB: 1000})
		r.submit(oneStep(jobID(1), Step{Tasks: 1, Resources: Resources{CPUMilli: 1000}, EstimateMS: 60_000}))
		w := r.workers["w00"]
		w.unreachable = true // the stop is lost
		_, known := r.s.Cancel(jobID(1), Caller{})
		assert.Assert(t, known)
		r.runActions()
		if unknown {
			r.takeOver(2)
			r.s.Listed(Listing{Worker: "w00", Incarnation: 1, RequestedAt: r.now, Running: slices.Clone(w.running)})
			r.runActions()
		}
		w.unreachable = false
		lost := len(r.stops)
		assert.Assert(t, lost > 0)
		r.advance(1000)
		assert.Equal(t, len(r.stops), lost, "the stop may still be under way")
		r.advance(500)
		assert.Equal(t, len(r.stops), lost+1)
		assert.Equal(t, len(w.running), 0)
	}
}

// Guards against done tasks that run again because a full list of ends lacks theirs.
func TestRunBeyondTheListedEndsIsNotGone(t *testing.T) {
	for _, takeover := range []bool{false, true} {
		r := newRig(t, 1, Resources{CPUMilli: 1000, MemoryMB: 1000})
		r.advance(10)
		r.submit(oneStep(jobID(1), Step{Tasks: 2, Resources: Resources{CPUMilli: 500}, EstimateMS: 1000}))
		assert.Equal(t, len(r.starts), 2)
		w := r.workers["w00"]
		for _, start := range r.starts {
			r.endRun("w00", start.Task, start.Run, EndDone)
		}
		if takeover {
			w.omitted = 1
			r.takeOver(2)
		}
		for range 3 {
			w.omitted = 1 // the second end
			r.advance(7000)
		}
		assert.Equal(t, len(r.starts), 2, "takeover: %t", takeover)
		assert.Equal(t, r.state(jobID(1)), Running)
		w.omitted = 0
		r.advance(10)
		assert.Equal(t, len(r.starts), 2)
		assert.Equal(t, r.state(jobID(1)), Completed)
	}
}
