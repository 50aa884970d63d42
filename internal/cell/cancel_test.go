package cell

import (
	"testing"

	"gotest.tools/v3/assert"
)

func cancelTestJob() *Job {
	return &Job{ID: jobID(1), Queue: Queue{Name: "q", Service: "svc", MaxAttempts: 2}, Steps: []Step{{Tasks: 1, Resources: Resources{CPUMilli: 100}, EstimateMS: 100}}}
}

// Guards against a job that runs because its cancelling overtook its submission, also when the holder changes in between.
func TestJobCancelledBeforeItsSubmission(t *testing.T) {
	r := newRig(t, 2, Resources{CPUMilli: 8000, MemoryMB: 8000})
	seq, known := r.s.Cancel(jobID(1), Caller{})
	assert.Assert(t, !known)
	r.runActions()
	assert.Assert(t, seq > 0 && seq <= r.seq, "the cancelling is not stored")
	_, shown := r.s.Status(jobID(1))
	assert.Assert(t, !shown, "a job that was not submitted is shown")

	r.takeOver(2)
	_, shown = r.s.Status(jobID(1))
	assert.Assert(t, !shown, "a job that was not submitted is shown")
	r.s.Submit(cancelTestJob())
	r.runActions()
	state, _ := r.s.Status(jobID(1))
	assert.Equal(t, state, Cancelled)
	assert.Equal(t, len(r.starts), 0)

	r.takeOver(3)
	state, _ = r.s.Status(jobID(1))
	assert.Equal(t, state, Cancelled)
	_, known = r.s.Cancel(jobID(1), Caller{})
	assert.Assert(t, known)
}

// Guards against cancellings of unknown jobs that are kept for ever.
func TestCancellingOfUnknownJobIsDropped(t *testing.T) {
	r := newRig(t, 1, Resources{CPUMilli: 8000, MemoryMB: 8000})
	r.s.Cancel(jobID(1), Caller{})
	r.runActions()
	assert.Assert(t, r.log[jobID(1)] != nil)
	r.advance(121_000)
	assert.Assert(t, r.log[jobID(1)] == nil)
	assert.Assert(t, !r.s.HasJob(jobID(1)))
}

// Guards against a cancelled job that runs because its submission arrived twice and the cancelling was dropped in between.
func TestRepeatedSubmissionOfJobCancelledBeforeStaysCancelled(t *testing.T) {
	r := newRig(t, 2, Resources{CPUMilli: 8000, MemoryMB: 8000})
	r.s.Cancel(jobID(1), Caller{})
	r.runActions()
	r.advance(119_000)
	r.s.Submit(cancelTestJob())
	r.runActions()
	assert.Equal(t, r.state(jobID(1)), Cancelled)
	r.advance(3_000)
	r.s.Submit(cancelTestJob())
	r.runActions()
	assert.Equal(t, len(r.starts), 0)
	assert.Equal(t, r.state(jobID(1)), Cancelled)
}

// Guards against a cancelled job that runs because a step of the wall clock dropped its cancelling.
func TestStepOfWallClockKeepsCancelling(t *testing.T) {
	r := newRig(t, 2, Resources{CPUMilli: 8000, MemoryMB: 8000})
	r.s.Cancel(jobID(1), Caller{})
	r.runActions()
	r.unixMS += 200_000
	r.advance(100)
	r.s.Submit(cancelTestJob())
	r.runActions()
	assert.Equal(t, len(r.starts), 0)
}
