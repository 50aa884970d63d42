package test

import (
	"context"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/fulmarlatch/fulmarlatch/internal/api"
	"github.com/fulmarlatch/fulmarlatch/internal/standin"
)

// acceptedJobs are the IDs of jobs that the coordinator has accepted.
type acceptedJobs struct {
	c *cell
	// idempotent and nonIdempotent are batches, named after their tasks.
	idempotent, nonIdempotent, gang, service string
}

// Sizes and run times of the accepted jobs. The gang takes half of the cell.
const (
	batchTasks   = 24
	gangTasks    = 6
	serviceTasks = 3
	batchWork    = time.Second
	gangWork     = 5 * time.Second
)

// coordinator is the entry process that accepts the jobs.
const coordinator = "entry-1"

// submitJobs submits two batches, a gang and a service through the coordinator.
func (c *cell) submitJobs() *acceptedJobs {
	c.t.Helper()
	client := c.client(coordinator)
	submit := func(kind api.Kind, tasks int, work time.Duration, idempotent bool) string {
		j := job(kind, tasks, work)
		j.Idempotent = idempotent
		answer := client.Submit(context.Background(), j)
		assert.Equal(c.t, answer.Outcome, api.OutcomeAccepted, "%v", answer.Error)
		return answer.JobID
	}
	return &acceptedJobs{c: c,
		idempotent:    submit(api.KindBatch, batchTasks, batchWork, true),
		nonIdempotent: submit(api.KindBatch, batchTasks, batchWork, false),
		gang:          submit(api.KindGang, gangTasks, gangWork, false),
		service:       submit(api.KindService, serviceTasks, 0, true),
	}
}

// awaitStarted waits until some tasks of each batch and all tasks of the gang and the
// service have started.
func (a *acceptedJobs) awaitStarted() {
	a.c.t.Helper()
	a.c.await("the jobs to start", func() bool {
		return a.c.runs(a.idempotent) > 2 && a.c.runs(a.nonIdempotent) > 2 &&
			a.c.runs(a.gang) == gangTasks && a.c.runs(a.service) == serviceTasks
	})
}

// finish waits through an entry process until the batches and the gang have ended,
// checks how often each task ran, and cancels the service.
func (a *acceptedJobs) finish(through string) {
	c := a.c
	c.t.Helper()
	client := c.client(through)
	for _, id := range []string{a.idempotent, a.nonIdempotent, a.gang} {
		var done api.Answer
		c.await("job "+id+" to end", func() bool {
			done = client.Wait(context.Background(), id, time.Second)
			return done.Outcome == api.OutcomeCompleted || done.Outcome == api.OutcomeFailed
		})
		assert.Equal(c.t, done.Outcome, api.OutcomeCompleted, "job %s: %v %+v", id, done.Error, done.Tasks)
	}
	c.checkRuns(a.idempotent, batchTasks, 1, 3)
	c.checkRuns(a.nonIdempotent, batchTasks, 1, 1)
	c.checkRuns(a.gang, gangTasks, 1, 1)
	c.checkRuns(a.service, serviceTasks, 1, 1)
	assert.Equal(c.t, c.running(a.service), serviceTasks)
	c.await("the service to be cancelled", func() bool {
		return client.Cancel(context.Background(), a.service).Outcome == api.OutcomeFailed
	})
	c.await("the service to stop", func() bool { return c.running(a.service) == 0 })
	c.checkWorkers()
}

// TestAcceptedJobsSurvive guards against accepted jobs that are lost or run twice
// when a process or the log fails: non-idempotent tasks of batches and gangs must run
// exactly once, and the tasks of a service must keep running through every fault.
func TestAcceptedJobsSurvive(t *testing.T) {
	logFault := func(f standin.LogFaults) func(c *cell) {
		return func(c *cell) { c.platform.SetLogFaults(f) }
	}
	for _, test := range []struct {
		name    string
		fault   func(c *cell)
		through string
	}{
		{"no fault", func(*cell) {}, "entry-0"},
		{"coordinator killed", func(c *cell) { c.kill(coordinator) }, "entry-0"},
		{"holder killed", func(c *cell) { c.kill("entry-0") }, "entry-2"},
		{"coordinator and holder killed", func(c *cell) {
			c.kill(coordinator)
			c.kill("entry-0")
		}, "entry-2"},
		{"all killed and replaced", func(c *cell) {
			for i := range 3 {
				c.kill(entryName(i))
			}
			for i := range 3 {
				c.startEntry(entryName(i))
			}
		}, "entry-0"},
		{"coordinator paused past its adoption", func(c *cell) {
			c.entries[coordinator].pause(c.t)
			c.awaitAdopted("entry-0", "entry-2")
			c.entries[coordinator].resume(c.t)
		}, coordinator},
		{"coordinator cut off from the log", func(c *cell) {
			c.entries[coordinator].log.set(proxyFaults{Cut: true})
			c.awaitLogDown(coordinator)
			c.entries[coordinator].log.set(proxyFaults{})
		}, "entry-0"},
		{"coordinator cut off from its peers", func(c *cell) {
			c.entries[coordinator].peers.set(proxyFaults{Cut: true})
			c.entries["entry-2"].peers.set(proxyFaults{Cut: true})
			c.awaitAdopted("entry-0", "entry-2")
			c.entries[coordinator].peers.set(proxyFaults{})
			c.entries["entry-2"].peers.set(proxyFaults{})
		}, "entry-0"},
		{"log outage", func(c *cell) {
			c.platform.SetLogFaults(standin.LogFaults{Down: true})
			c.awaitLogDown(coordinator)
			c.platform.SetLogFaults(standin.LogFaults{})
		}, "entry-0"},
		{"coordinator killed in a log outage", func(c *cell) {
			c.platform.SetLogFaults(standin.LogFaults{Down: true})
			c.awaitLogDown(coordinator)
			c.kill(coordinator)
			c.awaitHeld(4)
			c.platform.SetLogFaults(standin.LogFaults{})
		}, "entry-2"},
		{"append responses lost", logFault(standin.LogFaults{LoseAppends: -1}), "entry-0"},
		{"append responses lost and coordinator killed", func(c *cell) {
			c.platform.SetLogFaults(standin.LogFaults{LoseAppends: -1, LoseBy504: true})
			c.kill(coordinator)
		}, "entry-0"},
	} {
		t.Run(test.name, func(t *testing.T) {
			t.Parallel()
			c := startCell(t, defaultOptions())
			c.awaitPreferredHolders() // so that every entry process is a holder
			jobs := c.submitJobs()
			jobs.awaitStarted()
			test.fault(c)
			jobs.finish(test.through)
		})
	}
}

// awaitAdopted waits until one of the named processes has adopted a job. At least the
// service can be adopted; the other jobs may have ended before.
func (c *cell) awaitAdopted(names ...string) {
	c.t.Helper()
	c.await("the jobs to be adopted", func() bool {
		adopted := uint64(0)
		for _, name := range names {
			adopted += c.entries[name].dump().Core.Counters.Adopted
		}
		return adopted > 0
	})
}

// awaitLogDown waits until a ready entry process has detected the log outage.
func (c *cell) awaitLogDown(name string) {
	c.t.Helper()
	c.await("the log outage to be detected", func() bool {
		d := c.entries[name].dump()
		return d.Core.Ready && !d.Core.LogUp
	})
}
