package cell

import (
	"math"
	"slices"
	"testing"

	"gotest.tools/v3/assert"
)

// A roster that the next holder cannot decode would let it start tasks that are still
// running on workers that have not sent a listing.
func TestTakeoverReadsRosterWithAnyWorkerID(t *testing.T) {
	r := newRig(t, 5, Resources{CPUMilli: 1000, MemoryMB: 1000})
	r.infos = append(r.infos, WorkerInfo{ID: "i-\xff\xfe", Service: "svc", Capacity: Resources{CPUMilli: 1000, MemoryMB: 1000}})
	r.s.SetWorkers(r.infos)
	r.s.WorkerUnreachable("i-\xff\xfe", r.now)
	r.advance(closingDelayMS)
	r.submit(oneStep(jobID(1), Step{Tasks: 4, Resources: Resources{CPUMilli: 1000}, EstimateMS: 9000}))
	assert.Equal(t, len(r.starts), 4)
	r.silence(r.starts[0].Worker)
	r.takeOver(2)
	r.advance(200)
	assert.Equal(t, len(r.starts), 4, "the task of the silent worker was started again")
}

// The new holder has no address of a worker whose entry was overwritten by another writer, so
// all restored tasks would wait for its lease if the roster listed it as open.
func TestTakeoverHoldsOnlyTasksOfUnregisteredWorkers(t *testing.T) {
	r := newRig(t, 2, Resources{CPUMilli: 1000, MemoryMB: 1000})
	for n := range 3 {
		r.submit(oneStep(jobID(n), Step{Tasks: 1, Resources: Resources{CPUMilli: 1000}, EstimateMS: 1000}))
	}
	assert.Equal(t, len(r.starts), 2, "the third job waits")
	gone, other := r.starts[0], r.starts[1]
	all := r.infos
	r.infos = slices.DeleteFunc(slices.Clone(all), func(info WorkerInfo) bool { return info.ID == gone.Worker })
	r.s.SetWorkers(r.infos)
	r.advance(closingDelayMS)
	r.takeOver(2)
	r.endRun(other.Worker, other.Task, other.Run, EndDone)
	r.advance(10)
	assert.DeepEqual(t, r.startedTasks(), map[string]int{jobID(0) + ".0.0.0": 1, jobID(1) + ".0.0.0": 1, jobID(2) + ".0.0.0": 1})

	// With its entry back, the worker lists its run, which goes on.
	r.infos = all
	r.s.SetWorkers(r.infos)
	r.advance(10)
	assert.Equal(t, r.startedTasks()[gone.Task.String()], 1)
	r.endRun(gone.Worker, gone.Task, gone.Run, EndDone)
	r.advance(10)
	assert.Equal(t, r.state(gone.Task.Job), Completed)
	r.submit(oneStep(jobID(3), Step{Tasks: 1, Resources: Resources{CPUMilli: 1000}, EstimateMS: 1000}))
	assert.Equal(t, len(r.starts), 4, "the worker gets tasks again")
}

// Runs on a worker whose entry is gone for a while must end as usual, and the worker must get
// no tasks meanwhile.
func TestRunsOfUnregisteredWorkerGoOn(t *testing.T) {
	r := newRig(t, 1, Resources{CPUMilli: 2000, MemoryMB: 1000})
	r.submit(oneStep(jobID(1), Step{Tasks: 1, Resources: Resources{CPUMilli: 1000}, EstimateMS: 1000}))
	r.s.SetWorkers(nil)
	r.advance(closingDelayMS)
	r.submit(oneStep(jobID(2), Step{Tasks: 1, Resources: Resources{CPUMilli: 1000}, EstimateMS: 1000}))
	r.advance(10)
	assert.Equal(t, len(r.starts), 1, "the worker is not registered")
	r.endLast(EndDone)
	assert.Equal(t, r.state(jobID(1)), Completed)
	r.s.SetWorkers(r.infos)
	r.advance(searchIntervalMS)
	assert.Equal(t, len(r.starts), 2, "the worker gets tasks again")
}

// Numbers without sense in the listing of a worker must neither end the term nor have tasks
// started again: the run is there, whatever its percentage is.
func TestOddPercentagesChangeNoRuns(t *testing.T) {
	r := newRig(t, 3, Resources{CPUMilli: 1000, MemoryMB: 1000})
	r.submit(oneStep(jobID(1), Step{Tasks: 2, Resources: Resources{CPUMilli: 1000}, EstimateMS: 60000, Gang: true}))
	r.submit(oneStep(jobID(2), Step{Tasks: 2, Resources: Resources{CPUMilli: 1000}, EstimateMS: 60000, Gang: true}))
	assert.Equal(t, len(r.starts), 2)
	for _, percent := range []int{math.MinInt, -1, 0, math.MaxInt, 1 << 40, 100, math.MinInt} {
		for _, w := range r.workers {
			for i := range w.running {
				w.running[i].Percent, w.running[i].Load = percent, int64(percent)
			}
		}
		r.advance(500)
		r.s.Dump()
	}
	assert.Equal(t, len(r.starts), 2)
	assert.Equal(t, len(r.stops), 0)
}
