package test

import (
	"encoding/json"

	"gotest.tools/v3/assert"

	"github.com/fulmarlatch/fulmarlatch/internal/api"
	"github.com/fulmarlatch/fulmarlatch/internal/platformlog"
	"github.com/fulmarlatch/fulmarlatch/internal/standin"
)

// checkAnswer fails unless the answer is the whole one of this job.
func (c *cell) checkAnswer(j api.Job, a api.Answer) {
	c.t.Helper()
	assert.Equal(c.t, a.Outcome, api.OutcomeCompleted, "%v", a.Error)
	var payload standin.Payload
	assert.NilError(c.t, json.Unmarshal(j.Payload, &payload))
	assert.NilError(c.t, standin.CheckAnswer(a.Body, a.JobID, 0, payload))
}

// checkWorkers fails if a worker saw a broken promise or was asked for more than
// it holds.
func (c *cell) checkWorkers() {
	c.t.Helper()
	assert.Equal(c.t, len(c.platform.Violations()), 0, "%v", c.platform.Violations())
	refusals := c.platform.History(0).Refusals
	assert.Equal(c.t, len(refusals), 0, "%v", refusals)
}

// runsOf returns the runs of a job's tasks.
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

// runs returns how often tasks of a job were started.
func (c *cell) runs(jobID string) int { return len(c.runsOf(jobID)) }

// running returns how many tasks of a job run now.
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

// awaitHeldBy waits until the named entry processes hold that many workers.
func (c *cell) awaitHeldBy(workers int, names ...string) {
	c.t.Helper()
	c.await("leases to move", func() bool {
		held := 0
		for _, name := range names {
			held += len(c.entries[name].dump().Core.Held)
		}
		return held == workers
	})
}

// awaitLinks waits until an entry process has that many links.
func (c *cell) awaitLinks(name string, links int) {
	c.t.Helper()
	c.await("links to change", func() bool { return len(c.entries[name].dump().Core.Peers) == links })
}

// awaitSettled waits until all live entry processes are linked, hold all workers
// and have no attempt without a holder.
func (c *cell) awaitSettled(workers int) {
	c.t.Helper()
	c.awaitHeld(workers)
	c.await("stranded attempts to be found", func() bool {
		for _, e := range c.entries {
			if e.dump().Core.Attempts.Stranded > 0 {
				return false
			}
		}
		return true
	})
}

func (c *cell) workerFault(name string, f standin.WorkerFaults) {
	c.t.Helper()
	assert.NilError(c.t, c.platform.SetWorker(name, f))
}

// logClient returns a client of the log, without a proxy.
func (c *cell) logClient() *platformlog.Client {
	client := platformlog.NewClient(c.platform.Addresses().Log)
	c.t.Cleanup(client.Close)
	return client
}

// awaitPreferredHolders waits until every worker is held by its preferred holder.
func (c *cell) awaitPreferredHolders() {
	c.t.Helper()
	c.await("workers to be at their preferred holders", func() bool {
		atHome := 0
		for _, e := range c.entries {
			d := e.dump().Core
			for _, w := range d.Workers {
				if w.Lease == "held" && w.Preferred == d.Self.String() {
					atHome++
				}
			}
		}
		return atHome == len(c.platform.Addresses().Workers)
	})
}
