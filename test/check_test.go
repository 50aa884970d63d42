package test

import (
	"encoding/json"

	"gotest.tools/v3/assert"

	"github.com/fulmarlatch/fulmarlatch/internal/api"
	"github.com/fulmarlatch/fulmarlatch/internal/platformlog"
	"github.com/fulmarlatch/fulmarlatch/internal/standin"
)

// checkAnswer fails unless the answer is completed and its body is complete and
// belongs to this job.
func (c *cell) checkAnswer(j api.Job, a api.Answer) {
	c.t.Helper()
	assert.Equal(c.t, a.Outcome, api.OutcomeCompleted, "%v", a.Error)
	var payload standin.Payload
	assert.NilError(c.t, json.Unmarshal(j.Payload, &payload))
	assert.NilError(c.t, standin.CheckAnswer(a.Body, a.JobID, 0, payload))
}

// checkWorkers fails if a worker recorded a violation, or refused a start because it
// exceeded the worker's capacity.
func (c *cell) checkWorkers() {
	c.t.Helper()
	assert.Equal(c.t, len(c.platform.Violations()), 0, "%v", c.platform.Violations())
	refusals := c.platform.History(0).Refusals
	assert.Equal(c.t, len(refusals), 0, "%v", refusals)
}

// runsOf returns all runs of a job's tasks, including ended ones.
func (c *cell) runsOf(jobID string) []standin.Run {
	var list []standin.Run
	for page := c.platform.History(0); len(page.Runs) > 0; page = c.platform.History(page.Next) {
		for _, r := range page.Runs {
			if r.Attempt.Job == jobID {
				list = append(list, r)
			}
		}
	}
	return list
}

// runs returns the number of times that tasks of a job were started.
func (c *cell) runs(jobID string) int { return len(c.runsOf(jobID)) }

// running returns the number of tasks of a job that are running.
func (c *cell) running(jobID string) int {
	count := 0
	for _, r := range c.runsOf(jobID) {
		if r.EndedMS == 0 {
			count++
		}
	}
	return count
}

// checkRuns fails unless each task of a job was started at least min and at most
// max times.
func (c *cell) checkRuns(jobID string, tasks, min, max int) {
	c.t.Helper()
	starts := make([]int, tasks)
	for _, r := range c.runsOf(jobID) {
		starts[r.Attempt.Task]++
	}
	for task, n := range starts {
		assert.Assert(c.t, n >= min && n <= max, "task %d of %s was started %d times, not %d to %d", task, jobID, n, min, max)
	}
}

// awaitHeldBy waits until the named entry processes together hold that many workers.
func (c *cell) awaitHeldBy(workers int, names ...string) {
	c.t.Helper()
	c.await("worker leases to move", func() bool {
		held := 0
		for _, name := range names {
			held += len(c.entries[name].dump().Core.Held)
		}
		return held == workers
	})
}

// awaitLinks waits until an entry process has that many peer links.
func (c *cell) awaitLinks(name string, links int) {
	c.t.Helper()
	c.await("the number of peer links to change", func() bool { return len(c.entries[name].dump().Core.Peers) == links })
}

// awaitSettled waits until all live entry processes are linked and hold all workers,
// and no attempt is stranded (without a known holder).
func (c *cell) awaitSettled(workers int) {
	c.t.Helper()
	c.awaitHeld(workers)
	c.await("stranded attempts to be resolved", func() bool {
		for _, e := range c.entries {
			if e.dump().Core.Attempts.Stranded > 0 {
				return false
			}
		}
		return true
	})
}

// setWorkerFaults sets the faults of a stand-in worker.
func (c *cell) setWorkerFaults(name string, f standin.WorkerFaults) {
	c.t.Helper()
	assert.NilError(c.t, c.platform.SetWorkerFaults(name, f))
}

// logClient returns a client that is connected to the log without a proxy.
func (c *cell) logClient() *platformlog.Client {
	client := platformlog.NewClient(c.platform.Addresses().Log)
	c.t.Cleanup(client.Close)
	return client
}

// awaitPreferredHolders waits until every worker is held by its preferred holder.
func (c *cell) awaitPreferredHolders() {
	c.t.Helper()
	c.await("workers to be held by their preferred holders", func() bool {
		preferred := 0
		for _, e := range c.entries {
			d := e.dump().Core
			for _, w := range d.Workers {
				if w.Lease == "held" && w.Preferred == d.Self.String() {
					preferred++
				}
			}
		}
		return preferred == len(c.platform.Addresses().Workers)
	})
}
