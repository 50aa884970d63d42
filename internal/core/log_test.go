package core

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/fulmarlatch/fulmarlatch/internal/api"
	"github.com/fulmarlatch/fulmarlatch/internal/message"
	"github.com/fulmarlatch/fulmarlatch/internal/record"
)

// nonIdempotentBatch returns a non-idempotent batch job.
func nonIdempotentBatch(tasks int, run time.Duration) api.Job {
	job := batch(api.KindBatch, tasks, run)
	job.Idempotent = false
	return job
}

// checkRanOnce checks that the job started once per task and that all jobs have ended.
func (cluster *fakeCluster) checkRanOnce(t *testing.T, id string, tasks int) {
	t.Helper()
	assert.Equal(t, cluster.startsByJob[id], tasks)
	for _, p := range cluster.sortedProcs() {
		assert.Equal(t, len(p.core.jobs.byCoordinator), 0, "unfinished jobs at %s", p.ref)
		assert.Equal(t, len(p.core.attempts.byID), 0, "attempts at %s", p.ref)
	}
}

// TestGapWhilePaused guards against a coordinator that was paused for longer than the
// retention of the log, missed the adoption and the end of its job, and runs the rest
// of it again.
func TestGapWhilePaused(t *testing.T) {
	cluster := newFakeCluster(3, 4)
	cluster.retentionSteps = 400
	cluster.advance(2 * time.Second)
	cluster.ask("e0", 1, message.OpSubmit, nonIdempotentBatch(40, 2*time.Second))
	cluster.advance(1500 * time.Millisecond)
	cluster.pause("e0")
	cluster.advance(90 * time.Second)
	cluster.resume("e0")
	cluster.advance(90 * time.Second)
	assert.Equal(t, len(cluster.violations), 0, "%v", cluster.violations)
	cluster.checkRanOnce(t, cluster.answer("e0", 1).JobID, 40)
}

// TestGapInLiveJob guards against a job that never ends when its coordinator alone was
// cut off from the log for longer than the retention: the other processes had no reason
// to adopt the job before.
func TestGapInLiveJob(t *testing.T) {
	cluster := newFakeCluster(3, 2)
	cluster.retentionSteps = 400
	cluster.advance(2 * time.Second)
	cluster.ask("e0", 1, message.OpSubmit, nonIdempotentBatch(20, 6*time.Second))
	cluster.advance(time.Second)
	cluster.procs["e0"].logLagUntil = cluster.now.Add(30 * time.Second)
	cluster.ask("e1", 1, message.OpSubmit, batch(api.KindBatch, 1, 0))
	cluster.advance(45 * time.Second)
	assert.Assert(t, cluster.procs["e0"].stopped)
	cluster.kill("e0")
	cluster.advance(90 * time.Second)
	assert.Equal(t, len(cluster.violations), 0, "%v", cluster.violations)
	delete(cluster.procs, "e0")
	cluster.checkRanOnce(t, cluster.answer("e0", 1).JobID, 20)
}

// TestStaleCopyOfFinishedJob guards against a finished job that is opened again because
// its replaced coordinator resumes and appends it before it reads the end records.
func TestStaleCopyOfFinishedJob(t *testing.T) {
	cluster := warmCluster(t, 3, 4)
	cluster.ask("e0", 1, message.OpSubmit, nonIdempotentBatch(20, 2*time.Second))
	cluster.advance(1500 * time.Millisecond)
	cluster.pause("e0")
	cluster.advance(DefaultRefreshInterval * 3 / 2)
	cluster.resumeLate("e0", 2*time.Second)
	cluster.advance(5 * time.Second)
	cluster.kill("e0")
	cluster.advance(30 * time.Second)
	delete(cluster.procs, "e0")
	cluster.checkRanOnce(t, cluster.answer("e0", 1).JobID, 20)
}

// TestFirstRecordRefreshed guards against a later copy that resets the tasks of a job
// whose accept record is the first of the stream, at offset 0.
func TestFirstRecordRefreshed(t *testing.T) {
	l := newSingleCore()
	job := nonIdempotentBatch(2, time.Second)
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
	assert.Equal(t, l.core.jobs.byID[job.ID].unfinished, 1)
}

// TestCopyIncludesPendingEnd guards against a copy of a job that resets a task for
// processes that start later: the end record of the task is before the copy, but was
// not read yet when the copy was made.
func TestCopyIncludesPendingEnd(t *testing.T) {
	cluster := newFakeCluster(1, 1)
	cluster.setLogRetention(400)
	cluster.advance(2 * time.Second)
	cluster.ask("e0", 1, message.OpSubmit, nonIdempotentBatch(1, time.Second))
	cluster.advance(time.Second)
	c := cluster.procs["e0"].core
	for len(c.attempts.byID) == 0 || c.attempts.byID[sortedAttempts(c.attempts.byID, anyAttempt)[0].id].phase != attemptClosing {
		cluster.step()
	}
	for _, j := range c.jobs.byCoordinator[c.cfg.Self] {
		progress := c.taskProgress(j)[0]
		assert.Equal(t, progress.Outcome, api.OutcomeCompleted)
		assert.Assert(t, !progress.Started)
	}
}

// TestRetryAfterCancellation guards against a cancelled job that never ends because its
// coordinator decided to retry a task before it read the cancel record.
func TestRetryAfterCancellation(t *testing.T) {
	l := &logReader{singleCore: newSingleCore(), writer: peerRef}
	job := nonIdempotentBatch(1, time.Second)
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

// TestResultsOnlyInOldRecords guards against an incomplete answer without an error: the
// copy of a job contains the outcome of a task that is done, but not its answer.
func TestResultsOnlyInOldRecords(t *testing.T) {
	l := &logReader{singleCore: newSingleCore(), writer: peerRef}
	l.core.caughtUp = false
	job := nonIdempotentBatch(2, time.Second)
	job.ID = "e1.1.1"
	progress := []record.TaskProgress{{Attempts: 1, Outcome: api.OutcomeCompleted}, {}}
	l.read(record.Record{Accept: &record.Accept{Job: job, CoordinatorOffset: 7, Tasks: progress}})
	id := api.AttemptID{Job: job.ID, Task: 1, Number: 1}
	l.read(record.Record{Start: &record.Start{Attempt: id, Worker: "w00", Epoch: 5, Boot: 2}})
	l.read(record.Record{End: &record.End{Attempt: id, Outcome: api.OutcomeCompleted, Body: []byte("x")}})
	final := l.core.jobs.byID[job.ID].final
	assert.Equal(t, final.Outcome, api.OutcomeCompleted)
	assert.Assert(t, final.Error != nil, "%v", final.Results)
}
