package standin

import (
	"context"
	"fmt"
	"sync"
	"testing"
	"time"

	"github.com/sourcegraph/conc"
	"gotest.tools/v3/assert"

	"github.com/fulmarlatch/fulmarlatch/internal/api"
	"github.com/fulmarlatch/fulmarlatch/internal/fault"
	"github.com/fulmarlatch/fulmarlatch/internal/upstream"
)

var testCapacity = api.Resources{CPUMilli: 8000, MemoryMB: 8000, Accelerators: 8, Slots: 8, Connections: 8}

// testWorker returns a worker with testCapacity and its own history.
func testWorker() *worker {
	return newWorker(context.Background(), "w", testCapacity, time.Second, newHistory(1000))
}

// startRequest returns a request that starts a service.
func startRequest(epoch uint64, job string, r api.Resources) upstream.StartRequest {
	return upstream.StartRequest{Epoch: epoch, TaskSpec: api.TaskSpec{
		Attempt: api.AttemptID{Job: job, Number: 1}, Kind: api.KindService, Resources: r}}
}

// TestTakeoverListsEveryStart guards against a start that is accepted between the
// grant of a lease and the listing of the tasks, or under an older epoch. Such a task
// would run although the new holder does not list it.
func TestTakeoverListsEveryStart(t *testing.T) {
	for range 50 {
		w := testWorker()
		old, _ := w.lease(upstream.LeaseRequest{Holder: "a", TTLMS: 60_000})
		var mu sync.Mutex
		accepted := map[string]bool{}
		var wg conc.WaitGroup
		for i := range 40 {
			wg.Go(func() {
				job := fmt.Sprint("job", i)
				_, err := w.start(startRequest(old.Epoch, job, api.Resources{Slots: 1}))
				mu.Lock()
				defer mu.Unlock()
				accepted[job] = err == nil
			})
		}
		var grant api.Grant
		wg.Go(func() {
			assert.Check(t, w.release(old.Epoch))
			grant, _ = w.lease(upstream.LeaseRequest{Holder: "b", TTLMS: 60_000})
			_, err := w.start(startRequest(old.Epoch, "late", api.Resources{}))
			assert.Check(t, fault.KindOf(err) == fault.StaleEpoch)
		})
		wg.Wait()
		listed := map[string]bool{}
		for _, report := range grant.Tasks {
			listed[report.Spec.Attempt.Job] = true
		}
		for job, ok := range accepted {
			assert.Equal(t, listed[job], ok, job)
		}
		assert.Assert(t, len(listed) <= 8)
		assert.Equal(t, len(w.history.allViolations()), 0)
	}
}

// TestOneLease guards against granting the lease to two holders at once.
func TestOneLease(t *testing.T) {
	w := testWorker()
	var mu sync.Mutex
	granted := 0
	var wg conc.WaitGroup
	for i := range 20 {
		wg.Go(func() {
			_, refusal := w.lease(upstream.LeaseRequest{Holder: fmt.Sprint(i), TTLMS: 60_000})
			mu.Lock()
			defer mu.Unlock()
			if refusal == nil {
				granted++
			} else {
				assert.Check(t, refusal.Holder != "" && refusal.RemainingMS > 0)
			}
		})
	}
	wg.Wait()
	assert.Equal(t, granted, 1)
}

// TestCapacity guards against a dimension that the worker does not check, and against
// a delayed duplicate request that starts a refused or acknowledged attempt.
func TestCapacity(t *testing.T) {
	for d := api.CPU; d < api.NumDimensions; d++ {
		w := testWorker()
		grant, _ := w.lease(upstream.LeaseRequest{Holder: "a", TTLMS: 60_000})
		amount := [api.NumDimensions]int64{}
		amount[d] = testCapacity.Get(d)
		r := api.Resources{CPUMilli: amount[0], MemoryMB: amount[1], Accelerators: amount[2], Slots: amount[3], Connections: amount[4]}
		_, err := w.start(startRequest(grant.Epoch, "first", r))
		assert.NilError(t, err)
		_, err = w.start(startRequest(grant.Epoch, "second", r))
		assert.Equal(t, fault.KindOf(err), fault.NoCapacity)
		first := api.AttemptID{Job: "first", Number: 1}
		assert.NilError(t, w.control(grant.Epoch, first, upstream.Stop))
		assert.NilError(t, w.acknowledge(upstream.AckRequest{Epoch: grant.Epoch, Attempts: []api.AttemptID{first}}))
		_, err = w.start(startRequest(grant.Epoch, "second", r))
		assert.Equal(t, fault.KindOf(err), fault.NoCapacity)
		_, err = w.start(startRequest(grant.Epoch, "first", r))
		assert.NilError(t, err)
		assert.Equal(t, len(w.tasks), 0)
	}
}

// TestTaskLease guards against a task that keeps running after its lease expired because
// no holder renewed it.
func TestTaskLease(t *testing.T) {
	w := testWorker()
	grant, _ := w.lease(upstream.LeaseRequest{Holder: "a", TTLMS: 1, TaskTTLMS: 60_000})
	w.leaseEnd = time.Now().Add(time.Minute)
	_, err := w.start(startRequest(grant.Epoch, "job", api.Resources{Slots: 1}))
	assert.NilError(t, err)
	w.sweep(time.Now().Add(59 * time.Second))
	assert.Equal(t, w.tasks[api.AttemptID{Job: "job", Number: 1}].state, api.TaskRunning)
	w.sweep(time.Now().Add(61 * time.Second))
	assert.Equal(t, w.tasks[api.AttemptID{Job: "job", Number: 1}].state, api.TaskEnded)
}

// TestViolations guards against checks of the invariants that never report a violation.
func TestViolations(t *testing.T) {
	h := newHistory(10)
	run := func(worker string, number int) *Run {
		return &Run{Worker: worker, Attempt: api.AttemptID{Job: "job", Number: number}, Declared: api.Resources{Slots: 2}}
	}
	h.recordStart(run("w1", 1), api.Resources{Slots: 2})
	h.recordStart(run("w2", 2), api.Resources{Slots: 1})
	kinds := ""
	for _, v := range h.allViolations() {
		kinds += v.Kind + " "
	}
	assert.Equal(t, kinds, "runs_twice started_twice over_capacity ")
}
