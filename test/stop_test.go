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

// stopEntry sends SIGTERM to an entry process and removes it from c.entries.
func (c *cell) stopEntry(name string) *entry {
	c.t.Helper()
	e := c.entries[name]
	e.signal(c.t, syscall.SIGTERM)
	delete(c.entries, name)
	c.t.Cleanup(func() { _ = e.command.Process.Kill() })
	return e
}

// awaitExit waits until a process has exited and returns its exit code.
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

// submissions collects the answers to concurrent requests.
type submissions struct {
	c       *cell
	group   sync.WaitGroup
	mu      sync.Mutex // guards results
	results []callerResult
}

// submitAll sends copies of a request concurrently through an entry process.
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

// awaitAll waits for all answers and returns the results.
func (s *submissions) awaitAll() []callerResult {
	s.group.Wait()
	return s.results
}

// longWork exceeds the time for which a stopping process answers callers even
// without open requests, so a process that does not wait for its requests fails the
// test.
const longWork = 6 * time.Second

// TestPlannedStopFinishesRequests guards against a planned stop that drops requests:
// running requests, requests with a large answer and queued requests must all get a
// complete answer, and the process must exit with code 0.
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
				s.submitAll(name, running, request(longWork, 100))
				s.submitAll(name, waiting, request(300*time.Millisecond, 1000))
			}
			c.await("the requests to be submitted", func() bool {
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

// TestPlannedStopUnderLoad guards against dropped requests and wrong answers while
// every entry process of the cell is stopped and replaced, one after the other.
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
		w.useReplacement(i)
	}
	w.finish()
	for _, r := range w.results {
		cutOff := r.answer.Outcome == api.OutcomeUnknown && r.answer.Error.Kind == fault.Unavailable
		assert.Assert(t, !cutOff, "%+v: %v", r.answer, r.answer.Error)
		assert.Assert(t, r.answer.Outcome != api.OutcomeFailed, "%v", r.answer.Error)
	}
}

// longLease exceeds conditionTimeout, so that a worker changes its holder within
// the test only if its lease is handed over.
const longLease = 10 * time.Minute

// TestPlannedStopHandsLeasesOver guards against workers that stay idle after a
// planned stop until their leases expire, and against logged jobs that fail when
// their coordinator stops.
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
	done := c.client("entry-1").Wait(context.Background(), accepted.JobID, conditionTimeout)
	assert.Equal(t, done.Outcome, api.OutcomeCompleted, "%v", done.Error)
	assert.Equal(t, done.Tasks.Completed, 40)
	c.checkRuns(accepted.JobID, 40, 1, 1)
	assert.Equal(t, c.running(service.JobID), 2)
	c.checkRuns(service.JobID, 2, 1, 1)
	c.checkWorkers()
}

// TestSecondSignalForcesStop guards against a process that cannot be stopped while
// a long request runs: the second SIGTERM must make it exit with code 1.
func TestSecondSignalForcesStop(t *testing.T) {
	t.Parallel()
	o := defaultOptions()
	o.entries = 1
	c := startCell(t, o)
	s := &submissions{c: c}
	s.submitAll("entry-0", 1, request(10*time.Minute, 10))
	c.await("the request to run", func() bool { return len(c.platform.History(0).Runs) == 1 })
	e := c.stopEntry("entry-0")
	c.await("the process to refuse new work", func() bool { return e.dump().Core.Stopping })
	e.signal(t, syscall.SIGTERM)
	assert.Equal(t, e.awaitExit(c), 1)
	for _, r := range s.awaitAll() {
		assert.Equal(t, r.answer.Outcome, api.OutcomeUnknown)
	}
}
