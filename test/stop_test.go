package test

import (
	"context"
	"sync"
	"syscall"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/fulmarlatch/fulmarlatch/internal/api"
	"github.com/fulmarlatch/fulmarlatch/internal/fault"
)

// stopEntry asks an entry process to stop and takes it off the cell's list.
func (c *cell) stopEntry(name string) *entry {
	c.t.Helper()
	e := c.entries[name]
	e.signal(c.t, syscall.SIGTERM)
	delete(c.entries, name)
	c.t.Cleanup(func() { _ = e.command.Process.Kill() })
	return e
}

// awaitExit waits for the end of a process and returns its exit code.
func (e *entry) awaitExit(c *cell) int {
	c.t.Helper()
	var code int
	c.await(e.name+" to exit", func() bool {
		select {
		case <-e.exited:
			code = e.command.ProcessState.ExitCode()
			return true
		default:
			return false
		}
	})
	return code
}

// submissions are requests whose answers are still awaited.
type submissions struct {
	c       *cell
	group   sync.WaitGroup
	mu      sync.Mutex // guards results
	results []callerResult
}

// submitAll sends copies of a request at once through an entry process.
func (s *submissions) submitAll(name string, copies int, j api.Job) {
	client := s.c.client(name)
	for range copies {
		s.group.Go(func() {
			answer := client.Submit(context.Background(), j)
			s.mu.Lock()
			defer s.mu.Unlock()
			s.results = append(s.results, callerResult{j, answer})
		})
	}
}

// awaitAll returns all results.
func (s *submissions) awaitAll() []callerResult {
	s.group.Wait()
	return s.results
}

// stopWork is longer than the time for which a stopping process answers callers in
// any case, so that a process which does not wait for its requests is found.
const stopWork = 6 * time.Second

// TestPlannedStopFinishesRequests guards against a planned stop that cuts a request
// off: running ones, ones with a long answer and ones that still wait for room are
// answered whole, and the process exits with code 0.
func TestPlannedStopFinishesRequests(t *testing.T) {
	for _, test := range []struct {
		name string
		stop []string
	}{
		{"one process", []string{"entry-0"}},
		{"two processes at once", []string{"entry-0", "entry-1"}},
		{"the whole cell", []string{"entry-0", "entry-1", "entry-2"}},
	} {
		t.Run(test.name, func(t *testing.T) {
			t.Parallel()
			c := startCell(t, defaultOptions())
			s := &submissions{c: c}
			const running, long, waiting = 6, 4, 30
			for _, name := range test.stop {
				s.submitAll(name, long, request(1500*time.Millisecond, 4<<20))
				s.submitAll(name, running, request(stopWork, 100))
				s.submitAll(name, waiting, request(300*time.Millisecond, 1000))
			}
			c.await("the requests to be taken", func() bool {
				for _, name := range test.stop {
					if c.entries[name].dump().Core.Counters.Submitted < running+long+waiting {
						return false
					}
				}
				return true
			})
			var stopped []*entry
			for _, name := range test.stop {
				stopped = append(stopped, c.stopEntry(name))
			}
			for _, e := range stopped {
				assert.Equal(t, e.awaitExit(c), 0, e.name)
			}
			for _, r := range s.awaitAll() {
				c.checkAnswer(r.job, r.answer)
				assert.Equal(t, c.runs(r.answer.JobID), 1)
			}
			c.checkWorkers()
		})
	}
}

// TestPlannedStopUnderLoad guards against a caller that is cut off, or that receives
// something false, while every process of the cell is replaced one after the other.
func TestPlannedStopUnderLoad(t *testing.T) {
	t.Parallel()
	c := startCell(t, defaultOptions())
	w := c.startWorkload(faultSeed)
	for i := range 3 {
		w.awaitProgress(30)
		assert.Equal(t, c.stopEntry(entryName(i)).awaitExit(c), 0)
		c.startEntry(entryName(i))
		c.awaitReady()
		c.awaitHeld(4)
		w.replaced(i)
	}
	w.finish()
	for _, r := range w.results {
		cutOff := r.answer.Outcome == api.OutcomeUnknown && r.answer.Error.Kind == fault.Unavailable
		assert.Assert(t, !cutOff, "%+v: %v", r.answer, r.answer.Error)
		assert.Assert(t, r.answer.Outcome != api.OutcomeFailed, "%v", r.answer.Error)
	}
}

// longLease is a lease that outlasts settleBound, so that a worker changes hands
// within the test only if its lease is handed over.
const longLease = 10 * time.Minute

// TestPlannedStopHandsLeasesOver guards against workers that stand idle after a
// planned stop until their leases lapse, and against logged jobs that end with
// their coordinator.
func TestPlannedStopHandsLeasesOver(t *testing.T) {
	t.Parallel()
	o := defaultOptions()
	o.bundle.Timing.WorkerLeaseMS = longLease.Milliseconds()
	o.bundle.Timing.TaskLeaseMS = 3 * longLease.Milliseconds()
	c := startCell(t, o)
	batch := job(api.KindBatch, 40, 500*time.Millisecond)
	batch.Idempotent = false
	accepted := c.client("entry-0").Submit(context.Background(), batch)
	service := c.client("entry-0").Submit(context.Background(), job(api.KindService, 2, 0))
	c.await("tasks to run", func() bool { return c.runs(accepted.JobID) > 4 && c.runs(service.JobID) == 2 })

	assert.Equal(t, c.stopEntry("entry-0").awaitExit(c), 0)
	c.awaitHeld(o.workers)
	done := c.client("entry-1").Wait(context.Background(), accepted.JobID, settleBound)
	assert.Equal(t, done.Outcome, api.OutcomeCompleted, "%v", done.Error)
	assert.Equal(t, done.Tasks.Completed, 40)
	c.checkRuns(accepted.JobID, 40, 1, 1)
	assert.Equal(t, c.running(service.JobID), 2)
	c.checkRuns(service.JobID, 2, 1, 1)
	c.checkWorkers()
}

// TestSecondSignalForcesStop guards against a process that cannot be stopped while
// a request runs for long.
func TestSecondSignalForcesStop(t *testing.T) {
	t.Parallel()
	o := defaultOptions()
	o.entries = 1
	c := startCell(t, o)
	s := &submissions{c: c}
	s.submitAll("entry-0", 1, request(10*time.Minute, 10))
	c.await("the request to run", func() bool { return len(c.platform.History(0).Runs) == 1 })
	e := c.stopEntry("entry-0")
	c.await("the process to stop taking work", func() bool { return e.dump().Core.Stopping })
	e.signal(t, syscall.SIGTERM)
	assert.Equal(t, e.awaitExit(c), 1)
	for _, r := range s.awaitAll() {
		assert.Equal(t, r.answer.Outcome, api.OutcomeUnknown)
	}
}
