package test

import (
	"context"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/fulmarlatch/fulmarlatch/internal/api"
	"github.com/fulmarlatch/fulmarlatch/internal/standin"
)

// leavingLimit is the required limit on the time from the VM list's report that a
// worker is leaving until the worker receives no new work.
const leavingLimit = 3 * time.Second

// TestLeavingWorker guards against starts on a worker that the platform is about to
// remove, and against stopping the tasks that already run there.
func TestLeavingWorker(t *testing.T) {
	for _, test := range []struct {
		name  string
		fault func(c *cell)
	}{
		{"no fault", func(*cell) {}},
		{"one peer link cut", func(c *cell) { c.entries["entry-1"].peers.set(proxyFaults{Cut: true}) }},
		{"holder killed", func(c *cell) { c.kill("entry-0") }},
	} {
		t.Run(test.name, func(t *testing.T) {
			t.Parallel()
			c := startCell(t, defaultOptions())
			w := c.startWorkload(faultSeed)
			w.awaitProgress(30)
			batch := job(api.KindBatch, 12, 5*time.Second)
			batch.Resources.CPUMilli = 900
			batch.Idempotent = false // idempotent tasks could be preempted and started again
			accepted := c.client("entry-2").Submit(context.Background(), batch)
			c.await("long tasks to run", func() bool { return c.running(accepted.JobID) > 0 })
			worker := c.runsOf(accepted.JobID)[0].Worker
			test.fault(c)
			c.setWorkerFaults(worker, standin.WorkerFaults{Leaving: pointer(true)})
			reported := time.Now().Add(vmListLag)
			c.await("leavingLimit to pass under load", func() bool { return time.Since(reported) > leavingLimit+time.Second })
			w.awaitProgress(50)
			done := c.client("entry-2").Wait(context.Background(), accepted.JobID, conditionTimeout)
			assert.Equal(t, done.Outcome, api.OutcomeCompleted, "%v", done.Error)
			w.finish()
			c.checkNoStarts(worker, reported.Add(leavingLimit))
			c.checkRuns(accepted.JobID, 12, 1, 1)
		})
	}
}

// checkNoStarts fails if a worker started a task after the given time, or if no other
// worker did.
func (c *cell) checkNoStarts(worker string, after time.Time) {
	c.t.Helper()
	elsewhere := 0
	for _, r := range c.platform.History(0).Runs {
		if r.StartedMS <= after.UnixMilli() {
			continue
		}
		assert.Assert(c.t, r.Worker != worker, "%+v was started %d ms after leavingLimit", r, r.StartedMS-after.UnixMilli())
		elsewhere++
	}
	assert.Assert(c.t, elsewhere > 0)
}

// TestWorkerGone guards against callers that wait forever for a worker that no longer
// exists: lost idempotent requests must run again on another worker, and the outcome
// of other lost requests must be unknown.
func TestWorkerGone(t *testing.T) {
	t.Parallel()
	o := defaultOptions()
	o.workers = 2
	c := startCell(t, o)
	s := &submissions{c: c}
	nonIdempotent := request(1500*time.Millisecond, 10)
	nonIdempotent.Idempotent = false
	s.submitAll("entry-0", 6, request(1500*time.Millisecond, 10))
	s.submitAll("entry-1", 6, nonIdempotent)
	c.await("all requests to run", func() bool { return len(c.platform.History(0).Runs) == 12 })
	c.setWorkerFaults("worker-000", standin.WorkerFaults{Gone: true})
	lost := 0
	for _, r := range s.awaitAll() {
		runs := c.runs(r.answer.JobID)
		switch {
		case r.answer.Outcome == api.OutcomeCompleted:
			c.checkAnswer(r.job, r.answer)
		default:
			assert.Equal(t, r.answer.Outcome, api.OutcomeUnknown, "%v", r.answer.Error)
			assert.Assert(t, !r.job.Idempotent)
			lost++
		}
		assert.Assert(t, r.job.Idempotent || runs == 1, "%s ran %d times", r.answer.JobID, runs)
	}
	t.Logf("%d outcomes are unknown", lost)
	c.checkWorkers()
}
