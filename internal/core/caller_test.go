package core

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/fulmarlatch/fulmarlatch/internal/api"
	"github.com/fulmarlatch/fulmarlatch/internal/message"
)

func (cluster *fakeCluster) mint(t *testing.T, process string) string {
	t.Helper()
	id, err := cluster.procs[process].core.MintID(cluster.now)
	assert.NilError(t, err)
	return id
}

// TestStatusAddsNoWaiter guards against a leak: each status request for a running
// job leaves an entry in the table of waiting callers.
func TestStatusAddsNoWaiter(t *testing.T) {
	cluster := warmCluster(t, 2, 2)
	job := request(5 * time.Second)
	job.ID = cluster.mint(t, "e0")
	cluster.ask("e0", 1, message.OpSubmit, job)
	cluster.advance(time.Second)
	for token := uint64(10); token < 20; token++ {
		cluster.ask("e0", token, message.OpStatus, api.Job{ID: job.ID, Workspace: "a"})
	}
	cluster.advance(time.Second)
	assert.Equal(t, len(cluster.procs["e0"].core.requests.jobs), 1)
}

// TestGoneCallersLeaveNoWaiters guards against a leak: a long job keeps the waiters of
// callers that have gone, at this process or at a peer that is down.
func TestGoneCallersLeaveNoWaiters(t *testing.T) {
	cluster := warmCluster(t, 2, 2)
	job := request(time.Minute)
	job.ID = cluster.mint(t, "e0")
	plain := request(time.Minute)
	cluster.ask("e0", 1, message.OpSubmit, plain)
	cluster.ask("e1", 2, message.OpSubmit, job)
	cluster.advance(time.Second)
	p := cluster.procs["e0"]
	p.inbox = append(p.inbox, CallerGone{Token: 1})
	cluster.kill("e1")
	cluster.advance(5 * time.Second)
	for id, j := range p.core.jobs.byID {
		assert.Equal(t, len(j.waiters), 0, id)
	}
}

// TestMintedAgainAfterRefusal guards against two faults when an ID is submitted again
// after a refusal: the answer is not kept for retries, and attempt numbers start
// again at 1.
func TestMintedAgainAfterRefusal(t *testing.T) {
	cluster := warmCluster(t, 1, 1)
	job := request(time.Second)
	job.Idempotent = false
	job.ID = cluster.mint(t, "e0")
	job.DeadlineMS = 500
	for i := range 4 {
		cluster.ask("e0", uint64(100+i), message.OpSubmit, request(2*time.Second))
	}
	cluster.advance(200 * time.Millisecond)
	cluster.ask("e0", 1, message.OpSubmit, job)
	cluster.advance(4 * time.Second)
	assert.Equal(t, cluster.answer("e0", 1).Outcome, api.OutcomeNotRun)
	cluster.ask("e0", 2, message.OpSubmit, job)
	cluster.advance(3 * time.Second)
	cluster.ask("e0", 3, message.OpSubmit, job)
	cluster.advance(time.Second)
	assert.Equal(t, cluster.answer("e0", 2).Outcome, api.OutcomeCompleted)
	assert.Equal(t, cluster.answer("e0", 3).Outcome, api.OutcomeCompleted)
}

// TestMintedBatchRetried guards against a repeated submission of an accepted job that
// waits for the end of the job, or is answered unknown when the process that accepted
// the job is gone.
func TestMintedBatchRetried(t *testing.T) {
	cluster := warmCluster(t, 2, 2)
	job := batch(api.KindBatch, 2, time.Minute)
	job.ID = cluster.mint(t, "e0")
	cluster.ask("e0", 1, message.OpSubmit, job)
	cluster.advance(time.Second)
	assert.Equal(t, cluster.answer("e0", 1).Outcome, api.OutcomeAccepted)
	cluster.ask("e0", 2, message.OpSubmit, job)
	cluster.advance(time.Second)
	assert.Equal(t, cluster.answer("e0", 2).Outcome, api.OutcomeAccepted)
	cluster.kill("e0")
	cluster.advance(10 * time.Second)
	cluster.ask("e1", 3, message.OpSubmit, job)
	cluster.advance(time.Second)
	assert.Equal(t, cluster.answer("e1", 3).Outcome, api.OutcomeAccepted)
}

// TestKeyedRequestInOutage guards against a keyed request that is not answered at its
// deadline because its claim cannot be read, and against the answer not_run: another
// process may have run a request with the same key.
func TestKeyedRequestInOutage(t *testing.T) {
	cluster := warmCluster(t, 2, 2)
	job := request(time.Second)
	job.Idempotent = false
	job.Key = "hold-11"
	job.DeadlineMS = 3000
	cluster.procs["e1"].logLagUntil = cluster.now.Add(time.Minute)
	cluster.ask("e0", 1, message.OpSubmit, job)
	cluster.ask("e1", 1, message.OpSubmit, job)
	cluster.advance(5 * time.Second)
	assert.Equal(t, cluster.answer("e0", 1).Outcome, api.OutcomeCompleted)
	assert.Equal(t, cluster.answer("e1", 1).Outcome, api.OutcomeUnknown)
	cluster.advance(time.Minute)
	cluster.ask("e1", 2, message.OpSubmit, job)
	cluster.advance(2 * time.Second)
	assert.Equal(t, cluster.answer("e1", 2).Outcome, api.OutcomeCompleted)
	assert.Equal(t, len(cluster.startsByAttempt), 1)
}
