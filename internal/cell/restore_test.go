package cell

import (
	"testing"

	"gotest.tools/v3/assert"
)

// After a takeover, ends of several workers come in any order. Each failed run
// counts once, whatever the order; otherwise a task is started again after its
// last attempt has failed.
func TestRestoreCountsFailuresInAnyOrder(t *testing.T) {
	r := newRig(t, 4, Resources{CPUMilli: 1000, MemoryMB: 1000})
	r.submit(oneStep(jobID(1), Step{Tasks: 1, Resources: Resources{CPUMilli: 600}, EstimateMS: 100}))
	r.silent = true
	for range 4 {
		r.endLast(EndFailed)
	}
	assert.Equal(t, len(r.starts), 4)
	// The log has none of it. The new holder lists the workers in another order.
	r.silent = false
	for i, j := 0, len(r.infos)-1; i < j; i, j = i+1, j-1 {
		r.infos[i], r.infos[j] = r.infos[j], r.infos[i]
	}
	r.takeOver(2)
	r.pass(10)
	assert.Equal(t, len(r.starts), 4, "the task was started again")
	assert.Equal(t, r.state(jobID(1)), Failed)
}

// The end of a gang's first member completes the job. The ends of the others may
// be acknowledged only when that is stored: a new holder that finds neither the
// record nor the ends would start the gang again.
func TestEndsOfCompletedJobWaitForTheLog(t *testing.T) {
	r := newRig(t, 2, Resources{CPUMilli: 1000, MemoryMB: 1000})
	r.submit(oneStep(jobID(1), Step{Tasks: 2, Resources: Resources{CPUMilli: 600}, EstimateMS: 100, Gang: true}))
	assert.Equal(t, len(r.starts), 2)
	r.silent = true
	for _, start := range r.starts {
		r.end(start.Worker, start.Task, start.Run, EndDone)
		r.pass(10)
	}
	for _, start := range r.starts {
		assert.Equal(t, r.s.Acknowledged(start.Worker), uint64(0), "the end on %s was acknowledged", start.Worker)
	}
	r.silent = false
	r.takeOver(2)
	r.pass(10)
	assert.Equal(t, len(r.starts), 2, "the gang was started again")
	assert.Equal(t, r.state(jobID(1)), Completed)
}

// A new holder waits only for the workers that the log names. A worker that joins
// must run nothing before the log names it: the next holder would start its tasks
// again elsewhere.
func TestWorkerIsUsedOnceTheLogNamesIt(t *testing.T) {
	r := newRig(t, 1, Resources{CPUMilli: 1000, MemoryMB: 1000})
	r.submit(oneStep(jobID(1), Step{Tasks: 2, Resources: Resources{CPUMilli: 1000}, EstimateMS: 1000}))
	assert.Equal(t, len(r.starts), 1)
	r.silent = true
	r.workers["new"] = &rigWorker{}
	r.infos = append(r.infos, WorkerInfo{ID: "new", Service: "svc", Capacity: Resources{CPUMilli: 1000, MemoryMB: 1000}})
	r.s.SetWorkers(r.infos)
	r.pass(10)
	assert.Equal(t, len(r.starts), 1, "the log does not name the worker yet")
	r.s.Stored(r.s.seq)
	r.turn()
	assert.Equal(t, len(r.starts), 2)
}
