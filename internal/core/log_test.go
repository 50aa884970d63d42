package core

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/fulmarlatch/fulmarlatch/internal/api"
	"github.com/fulmarlatch/fulmarlatch/internal/message"
	"github.com/fulmarlatch/fulmarlatch/internal/record"
)

// onceEach is a batch of which each task may run once only.
func onceEach(tasks int, run time.Duration) api.Job {
	job := batch(api.KindBatch, tasks, run)
	job.Idempotent = false
	return job
}

// checkRanOnce guards against tasks that ran twice, and jobs that do not end.
func (cell *fakeCell) checkRanOnce(t *testing.T, id string, tasks int) {
	t.Helper()
	assert.Equal(t, cell.ran[id], tasks)
	for _, p := range cell.sorted() {
		assert.Equal(t, len(p.core.jobs.byOwner), 0, "unfinished jobs at %s", p.ref)
		assert.Equal(t, len(p.core.attempts.byID), 0, "attempts at %s", p.ref)
	}
}

// TestGapWhilePaused guards against a coordinator that was paused for longer than
// the log keeps records, missed the adoption and the end of its job, and runs the
// rest of it again.
func TestGapWhilePaused(t *testing.T) {
	cell := newFakeCell(3, 4)
	cell.keepFor = 400
	cell.advance(2 * time.Second)
	cell.ask("e0", 1, message.OpSubmit, onceEach(40, 2*time.Second))
	cell.advance(1500 * time.Millisecond)
	cell.pause("e0")
	cell.advance(90 * time.Second)
	cell.resume("e0")
	cell.advance(90 * time.Second)
	assert.Equal(t, len(cell.problems), 0, "%v", cell.problems)
	cell.checkRanOnce(t, cell.answer("e0", 1).JobID, 40)
}

// TestGapInLiveJob guards against a coordinator that alone was cut off from the log
// for too long: nobody adopted its job, which must go on elsewhere.
func TestGapInLiveJob(t *testing.T) {
	cell := newFakeCell(3, 2)
	cell.keepFor = 400
	cell.advance(2 * time.Second)
	cell.ask("e0", 1, message.OpSubmit, onceEach(20, 6*time.Second))
	cell.advance(time.Second)
	cell.procs["e0"].lagsTo = cell.now.Add(30 * time.Second)
	cell.ask("e1", 1, message.OpSubmit, batch(api.KindBatch, 1, 0))
	cell.advance(45 * time.Second)
	assert.Assert(t, cell.procs["e0"].stopped)
	cell.kill("e0")
	cell.advance(90 * time.Second)
	assert.Equal(t, len(cell.problems), 0, "%v", cell.problems)
	delete(cell.procs, "e0")
	cell.checkRanOnce(t, cell.answer("e0", 1).JobID, 20)
}

// TestStaleCopyOfFinishedJob guards against a job that comes back to life when its
// replaced coordinator resumes and appends it again before it reads of its end.
func TestStaleCopyOfFinishedJob(t *testing.T) {
	cell := warmCell(t, 3, 4)
	cell.ask("e0", 1, message.OpSubmit, onceEach(20, 2*time.Second))
	cell.advance(1500 * time.Millisecond)
	cell.pause("e0")
	cell.advance(DefaultRefreshInterval * 3 / 2)
	cell.resumeLate("e0", 2*time.Second)
	cell.advance(5 * time.Second)
	cell.kill("e0")
	cell.advance(30 * time.Second)
	delete(cell.procs, "e0")
	cell.checkRanOnce(t, cell.answer("e0", 1).JobID, 20)
}

// TestFirstRecordRefreshed guards against a job whose accept record is the first
// of the stream, at offset 0, and whose later copies set its tasks back.
func TestFirstRecordRefreshed(t *testing.T) {
	l := newLone()
	job := onceEach(2, time.Second)
	job.ID = "e1-1-1"
	id := attemptID(job.ID, 1)
	sequence := uint64(0)
	read := func(r record.Record) {
		sequence++
		r.Writer, r.Sequence = peerRef, sequence
		l.step(RecordRead{Offset: sequence - 1, Record: r})
	}
	read(record.Record{Accept: &record.Accept{Job: job}})
	read(record.Record{Start: &record.Start{Attempt: id, Worker: "w00", Epoch: 5, Boot: 2}})
	read(record.Record{End: &record.End{Attempt: id, Outcome: api.OutcomeCompleted}})
	progress := []record.TaskProgress{{Attempts: 1, Started: true}, {}}
	read(record.Record{Accept: &record.Accept{Job: job, Tasks: progress}})
	assert.Equal(t, l.core.jobs.byID[job.ID].open, 1)
}

// TestCopyTellsPendingEnd guards against a copy of a job that sets a task back for
// processes that start later: its end stands before the copy and was not read yet
// when the copy was made.
func TestCopyTellsPendingEnd(t *testing.T) {
	cell := newFakeCell(1, 1)
	cell.limitLog(400)
	cell.advance(2 * time.Second)
	cell.ask("e0", 1, message.OpSubmit, onceEach(1, time.Second))
	cell.advance(time.Second)
	c := cell.procs["e0"].core
	for len(c.attempts.byID) == 0 || c.attempts.byID[sortedAttempts(c.attempts.byID, anyAttempt)[0].id].phase != attemptClosing {
		cell.step()
	}
	for _, j := range c.jobs.byOwner[c.cfg.Self] {
		progress := c.taskProgress(j)[0]
		assert.Equal(t, progress.Outcome, api.OutcomeCompleted)
		assert.Assert(t, !progress.Started)
	}
}

// TestRetryAfterCancellation guards against a cancelled job that never ends: its
// coordinator decided to retry a task before it read the cancellation.
func TestRetryAfterCancellation(t *testing.T) {
	l := &logReader{lone: newLone(), writer: peerRef}
	job := onceEach(1, time.Second)
	job.ID = "e1.1.1"
	id := api.AttemptID{Job: job.ID, Task: 0, Number: 1}
	l.read(record.Record{Accept: &record.Accept{Job: job}})
	l.read(record.Record{Start: &record.Start{Attempt: id, Worker: "w00", Epoch: 5, Boot: 2}})
	l.read(record.Record{Cancel: &record.Cancel{JobID: job.ID}})
	l.read(record.Record{End: &record.End{Attempt: id, Outcome: api.OutcomeUnknown, Retry: true}})
	final := l.core.jobs.byID[job.ID].final
	assert.Assert(t, final != nil)
	assert.Equal(t, final.Outcome, api.OutcomeUnknown)
}

// TestResultsOnlyInOldRecords guards against an empty answer that passes for the
// whole one: the copy of a job tells that a task is done, but not its answer.
func TestResultsOnlyInOldRecords(t *testing.T) {
	l := &logReader{lone: newLone(), writer: peerRef}
	l.core.caughtUp = false
	job := onceEach(2, time.Second)
	job.ID = "e1.1.1"
	progress := []record.TaskProgress{{Attempts: 1, Outcome: api.OutcomeCompleted}, {}}
	l.read(record.Record{Accept: &record.Accept{Job: job, Claim: 7, Tasks: progress}})
	id := api.AttemptID{Job: job.ID, Task: 1, Number: 1}
	l.read(record.Record{Start: &record.Start{Attempt: id, Worker: "w00", Epoch: 5, Boot: 2}})
	l.read(record.Record{End: &record.End{Attempt: id, Outcome: api.OutcomeCompleted, Body: []byte("x")}})
	final := l.core.jobs.byID[job.ID].final
	assert.Equal(t, final.Outcome, api.OutcomeCompleted)
	assert.Assert(t, final.Error != nil, "%v", final.Results)
}
