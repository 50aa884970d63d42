package cell

import (
	"testing"

	"gotest.tools/v3/assert"
)

// After a takeover, workers report their ended runs in any order. Each failed run must
// be counted once; otherwise a task is started again after its last attempt has failed.
func TestRestoreCountsFailuresInAnyOrder(t *testing.T) {
	r := newRig(t, 4, Resources{CPUMilli: 1000, MemoryMB: 1000})
	r.submit(oneStep(jobID(1), Step{Tasks: 1, Resources: Resources{CPUMilli: 600}, EstimateMS: 100}))
	r.logDown = true
	for range 4 {
		r.endLast(EndFailed)
	}
	assert.Equal(t, len(r.starts), 4)
	// The log has none of these ends. The new holder gets the listings in another
	// order.
	r.logDown = false
	for i, j := 0, len(r.infos)-1; i < j; i, j = i+1, j-1 {
		r.infos[i], r.infos[j] = r.infos[j], r.infos[i]
	}
	r.takeOver(2)
	r.advance(10)
	assert.Equal(t, len(r.starts), 4, "the task was started again")
	assert.Equal(t, r.state(jobID(1)), Failed)
}

// The end of one gang member completes the job. The ends of the other members may be
// acknowledged only when the job's record is stored: a new holder that finds neither
// the record nor the ends would start the gang again.
func TestEndsOfCompletedJobAreAcknowledgedOnceStored(t *testing.T) {
	r := newRig(t, 2, Resources{CPUMilli: 1000, MemoryMB: 1000})
	r.submit(oneStep(jobID(1), Step{Tasks: 2, Resources: Resources{CPUMilli: 600}, EstimateMS: 100, Gang: true}))
	assert.Equal(t, len(r.starts), 2)
	r.logDown = true
	for _, start := range r.starts {
		r.endRun(start.Worker, start.Task, start.Run, EndDone)
		r.advance(10)
	}
	for _, start := range r.starts {
		assert.Equal(t, r.s.Acknowledged(start.Worker), uint64(0), "the end on %s was acknowledged", start.Worker)
	}
	r.logDown = false
	r.takeOver(2)
	r.advance(10)
	assert.Equal(t, len(r.starts), 2, "the gang was started again")
	assert.Equal(t, r.state(jobID(1)), Completed)
}

// A new holder waits only for the workers in the stored roster. A worker that joins
// must not get tasks before the roster with it is stored: otherwise the next holder
// starts these tasks again elsewhere.
func TestWorkerGetsNoTasksBeforeRosterIsStored(t *testing.T) {
	r := newRig(t, 1, Resources{CPUMilli: 1000, MemoryMB: 1000})
	r.submit(oneStep(jobID(1), Step{Tasks: 2, Resources: Resources{CPUMilli: 1000}, EstimateMS: 1000}))
	assert.Equal(t, len(r.starts), 1)
	r.logDown = true
	r.workers["new"] = &fakeWorker{}
	r.infos = append(r.infos, WorkerInfo{ID: "new", Service: "svc", Capacity: Resources{CPUMilli: 1000, MemoryMB: 1000}})
	r.s.SetWorkers(r.infos)
	r.advance(10)
	assert.Equal(t, len(r.starts), 1, "the roster with the worker is not stored yet")
	r.s.Stored(r.s.seq)
	r.runActions()
	assert.Equal(t, len(r.starts), 2)
}

// Guards against progress that outlives its job: a job submitted under the same ID resumed from it.
func TestProgressOfDroppedJobIsDropped(t *testing.T) {
	r := newRig(t, 2, Resources{CPUMilli: 1000, MemoryMB: 1000})
	spec := oneStep(jobID(1), Step{Tasks: 2, Resources: Resources{CPUMilli: 1000}, EstimateMS: 1000})
	r.submit(spec)
	r.endLast(EndDone)
	progressKey := jobID(1) + progressSuffix
	left := r.log[progressKey]
	assert.Assert(t, left != nil)
	for _, state := range []string{"ended", "dropped"} {
		if state == "ended" {
			r.endRun(r.starts[0].Worker, r.starts[0].Task, r.starts[0].Run, EndDone)
			r.advance(10)
			assert.Equal(t, r.state(jobID(1)), Completed)
		} else {
			r.advance(130_000)
			assert.Equal(t, r.state(jobID(1)), State("unknown"))
		}
		r.log[progressKey] = left // its drop was not stored
		r.takeOver(2)
		r.advance(10)
		assert.Assert(t, r.log[progressKey] == nil, state)
	}
}

// Guards against progress that is dropped because the record of its job cannot be decoded.
func TestProgressOfUndecodableJobIsKept(t *testing.T) {
	s := New(Config{})
	s.Tick(1, 1)
	skipped := s.Restore([]Record{{Key: jobID(1), Value: []byte{0xff}}, {Key: jobID(1) + progressSuffix, Value: encode(progressRecord{})}})
	assert.Equal(t, len(skipped), 1)
	assert.Equal(t, len(s.Actions()), 0)
}

// Guards against tasks that run again because an occurrence that has begun is not due for the next holder.
func TestBegunOccurrenceIsKeptByHolderWithClockBehind(t *testing.T) {
	for _, ended := range []bool{false, true} {
		r := newRig(t, 2, Resources{CPUMilli: 1000, MemoryMB: 1000})
		spec := oneStep(jobID(1), Step{Tasks: 1, Resources: Resources{CPUMilli: 1000}, EstimateMS: 1000})
		spec.Schedule = &Schedule{FirstUnixMS: r.unixMS + 1000, IntervalMS: 60_000, Occurrences: 2}
		r.submit(spec)
		r.logDown = true // the progress is not stored
		r.advance(1000)
		r.logDown = false
		assert.Equal(t, len(r.starts), 1)
		start := r.starts[0]
		if ended {
			r.endRun(start.Worker, start.Task, start.Run, EndDone)
		}
		r.unixMS -= 900
		r.takeOver(2)
		if !ended {
			r.advance(10)
			assert.Equal(t, len(r.stops), 0)
			r.endRun(start.Worker, start.Task, start.Run, EndDone)
		}
		r.advance(10)
		r.advance(2000)
		assert.Equal(t, len(r.starts), 1, "ended before the takeover: %t", ended)
		assert.Assert(t, r.s.jobs[jobID(1)].finished.has(0))
	}
}
