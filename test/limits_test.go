package test

import (
	"context"
	"os"
	"path/filepath"
	"strings"
	"sync"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/fulmarlatch/fulmarlatch/internal/api"
	"github.com/fulmarlatch/fulmarlatch/internal/caller"
	"github.com/fulmarlatch/fulmarlatch/internal/fault"
	"github.com/fulmarlatch/fulmarlatch/internal/standin"
)

// TestCancellationWave guards against mass cancellation that disturbs other requests
// or leaves tasks of cancelled jobs behind.
func TestCancellationWave(t *testing.T) {
	t.Parallel()
	c := startCell(t, defaultOptions())
	const jobs, senders = 2000, 30
	clients := c.allClients()
	ids := make([]string, jobs)
	c.inParallel(jobs, senders, func(i int) {
		answer := clients[i%3].Submit(context.Background(), job(api.KindBatch, 1, time.Hour))
		ids[i] = answer.JobID
		assert.Check(t, answer.Outcome == api.OutcomeAccepted, "%v", answer.Error)
	})
	urgent := &submissions{c: c}
	for i := range 3 {
		urgent.submitAll(entryName(i), 40, request(100*time.Millisecond, 1000))
	}
	c.inParallel(jobs, senders, func(i int) {
		answer := clients[(i+1)%3].Cancel(context.Background(), ids[i])
		assert.Check(t, answer.Outcome == api.OutcomeNotRun || answer.Outcome == api.OutcomeFailed, "%+v: %v", answer, answer.Error)
		if answer.Outcome == api.OutcomeNotRun {
			assert.Check(t, c.runs(ids[i]) == 0, "%s ran", ids[i])
		}
	})
	for _, r := range urgent.awaitAll() {
		c.checkAnswer(r.job, r.answer)
	}
	c.checkWorkers()
	c.await("all cancelled jobs to be removed", func() bool {
		for _, e := range c.entries {
			d := e.dump().Core
			if !d.Ready || d.Attempts.Held > 0 || d.Attempts.Coordinated > 0 || waitingTasks(e) > 0 {
				return false
			}
		}
		return c.allEnded()
	})
}

// allClients returns one client for each entry process, in the order of their
// numbers.
func (c *cell) allClients() []*caller.Client {
	var clients []*caller.Client
	for i := range len(c.entries) {
		clients = append(clients, c.client(entryName(i)))
	}
	return clients
}

// inParallel calls f(0) to f(n-1) on the given number of goroutines and waits.
func (c *cell) inParallel(n, goroutines int, f func(i int)) {
	var group sync.WaitGroup
	for g := range goroutines {
		group.Go(func() {
			for i := g; i < n; i += goroutines {
				f(i)
			}
		})
	}
	group.Wait()
}

// waitingTasks returns the number of queued tasks of an entry process.
func waitingTasks(e *entry) int {
	waiting := 0
	for _, class := range e.dump().Core.Queue {
		waiting += class.Waiting
	}
	return waiting
}

// TestJobThatCanNeverRun guards against a job that fits no worker and waits forever,
// and against a refusal that does not name the exceeded resource.
func TestJobThatCanNeverRun(t *testing.T) {
	t.Parallel()
	c := startCell(t, defaultOptions())
	client := c.client("entry-0")
	for _, kind := range []api.Kind{api.KindRequest, api.KindBatch, api.KindGang, api.KindService} {
		for _, d := range []api.Resources{
			{CPUMilli: 4001}, {MemoryMB: 8001}, {Accelerators: 2}, {Slots: 9}, {Connections: 61}, {CPUMilli: 1 << 62},
		} {
			j := job(kind, 1, 0)
			j.Resources = d
			answer := client.Submit(context.Background(), j)
			assert.Equal(t, answer.Outcome, api.OutcomeNotRun)
			assert.Equal(t, answer.Error.Kind, fault.NeverFits)
			dimension, _ := d.Exceeds(defaultOptions().capacity)
			assert.Assert(t, strings.Contains(answer.Error.Message, dimension.String()), "%v", answer.Error)
		}
	}
	gang := job(api.KindGang, 33, 0)
	answer := client.Submit(context.Background(), gang)
	assert.Equal(t, answer.Outcome, api.OutcomeNotRun)
	assert.Equal(t, answer.Error.Kind, fault.NeverFits)
	assert.Equal(t, len(c.platform.History(0).Runs), 0)
}

// TestFailingWorkerGetsLittleWork guards against a worker that fails every task
// immediately and, because it is always free, attracts most of the work.
func TestFailingWorkerGetsLittleWork(t *testing.T) {
	t.Parallel()
	o := defaultOptions()
	o.workers = 12 // a holder compares a worker's failures with those of its other workers
	o.capacity = api.Resources{CPUMilli: 2000, MemoryMB: 4000, Slots: 4, Connections: 60}
	c := startCell(t, o)
	c.setWorkerFaults("worker-002", standin.WorkerFaults{FailAll: pointer(true)})
	w := c.startWorkload(faultSeed)
	c.awaitPreferredHolders() // a new holder starts without failure statistics
	w.awaitProgress(100)      // lets the holders collect statistics
	from := c.platform.History(0).Next
	w.awaitProgress(300)
	page := c.platform.History(from)
	failing := 0
	for _, r := range page.Runs {
		if r.Worker == "worker-002" {
			failing++
		}
	}
	t.Logf("%d of %d starts on the failing worker", failing, len(page.Runs))
	// Less than half of an even share, although the worker's tasks end immediately.
	assert.Assert(t, failing*2*o.workers < len(page.Runs), "%d of %d starts on the failing worker", failing, len(page.Runs))
	w.finish()
}

// TestTaskPastItsMemory guards against a task that exhausts the memory of its worker:
// it must be throttled and then checkpointed, and tasks within their declared memory
// must keep running.
func TestTaskPastItsMemory(t *testing.T) {
	t.Parallel()
	o := defaultOptions()
	o.workers = 1
	c := startCell(t, o)
	// A new holder begins again with throttle, because it does not know whether the
	// order of the previous one was carried out. One holder must take all steps here.
	c.awaitPreferredHolders()
	client := c.client("entry-0")
	service := client.Submit(context.Background(), job(api.KindService, 2, 0))
	c.await("the service tasks to run", func() bool { return c.running(service.JobID) == 2 })
	overLimit := job(api.KindBatch, 1, time.Hour)
	overLimit.Payload = []byte(`{"work_ms": 3600000, "use_memory_mb": 9000}`)
	accepted := client.Submit(context.Background(), overLimit)
	c.await("the task over its memory to be checkpointed", func() bool {
		runs := c.runsOf(accepted.JobID)
		return len(runs) > 0 && runs[0].Error == "checkpointed"
	})
	assert.DeepEqual(t, c.pressureSteps(accepted.JobID+"/0/1"), []string{"throttle", "checkpoint"})
	assert.Equal(t, c.running(service.JobID), 2)
	c.checkRuns(service.JobID, 2, 1, 1)
	c.checkWorkers()
}

// pressureSteps returns the steps against memory use that the entry processes logged
// for an attempt, in the order of the log files.
func (c *cell) pressureSteps(attempt string) []string {
	var steps []string
	files, _ := filepath.Glob(filepath.Join(c.dir, "*.log"))
	for _, file := range files {
		data, err := os.ReadFile(file)
		assert.NilError(c.t, err)
		for line := range strings.Lines(string(data)) {
			_, step, found := strings.Cut(strings.TrimSpace(line), " step=")
			if found && strings.Contains(line, "task_over_memory") && strings.Contains(line, attempt) {
				steps = append(steps, step)
			}
		}
	}
	return steps
}
