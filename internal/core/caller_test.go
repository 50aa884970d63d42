package core

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/fulmarlatch/fulmarlatch/internal/api"
	"github.com/fulmarlatch/fulmarlatch/internal/message"
)

func (cell *fakeCell) mint(t *testing.T, process string) string {
	t.Helper()
	id, err := cell.procs[process].core.MintID(cell.now)
	assert.NilError(t, err)
	return id
}

// TestStatusLeavesNothing guards against an entry that stays for every status
// request of a running job.
func TestStatusLeavesNothing(t *testing.T) {
	cell := warmCell(t, 2, 2)
	job := request(5 * time.Second)
	job.ID = cell.mint(t, "e0")
	cell.ask("e0", 1, message.OpSubmit, job)
	cell.advance(time.Second)
	for token := uint64(10); token < 20; token++ {
		cell.ask("e0", token, message.OpStatus, api.Job{ID: job.ID, Workspace: "a"})
	}
	cell.advance(time.Second)
	assert.Equal(t, len(cell.procs["e0"].core.requests.jobs), 1)
}

// TestGoneCallersLeaveNothing guards against waiters that stay with a long job
// after their callers, here or behind a peer, are gone.
func TestGoneCallersLeaveNothing(t *testing.T) {
	cell := warmCell(t, 2, 2)
	job := request(time.Minute)
	job.ID = cell.mint(t, "e0")
	plain := request(time.Minute)
	cell.ask("e0", 1, message.OpSubmit, plain)
	cell.ask("e1", 2, message.OpSubmit, job)
	cell.advance(time.Second)
	p := cell.procs["e0"]
	p.inbox = append(p.inbox, CallerGone{Token: 1})
	cell.kill("e1")
	cell.advance(5 * time.Second)
	for id, j := range p.core.jobs.byID {
		assert.Equal(t, len(j.waiters), 0, id)
	}
}

// TestMintedAgainAfterRefusal guards against an answer that is not kept for
// retries, and attempts that are numbered anew, when a refused id is used again.
func TestMintedAgainAfterRefusal(t *testing.T) {
	cell := warmCell(t, 1, 1)
	job := request(time.Second)
	job.Idempotent = false
	job.ID = cell.mint(t, "e0")
	job.DeadlineMS = 500
	for i := range 4 {
		cell.ask("e0", uint64(100+i), message.OpSubmit, request(2*time.Second))
	}
	cell.advance(200 * time.Millisecond)
	cell.ask("e0", 1, message.OpSubmit, job)
	cell.advance(4 * time.Second)
	assert.Equal(t, cell.answer("e0", 1).Outcome, api.OutcomeNotRun)
	cell.ask("e0", 2, message.OpSubmit, job)
	cell.advance(3 * time.Second)
	cell.ask("e0", 3, message.OpSubmit, job)
	cell.advance(time.Second)
	assert.Equal(t, cell.answer("e0", 2).Outcome, api.OutcomeCompleted)
	assert.Equal(t, cell.answer("e0", 3).Outcome, api.OutcomeCompleted)
}

// TestMintedBatchRetried guards against a retry of an accepted job that waits for
// the job's end, or receives unknown when the process that accepted it is gone.
func TestMintedBatchRetried(t *testing.T) {
	cell := warmCell(t, 2, 2)
	job := batch(api.KindBatch, 2, time.Minute)
	job.ID = cell.mint(t, "e0")
	cell.ask("e0", 1, message.OpSubmit, job)
	cell.advance(time.Second)
	assert.Equal(t, cell.answer("e0", 1).Outcome, api.OutcomeAccepted)
	cell.ask("e0", 2, message.OpSubmit, job)
	cell.advance(time.Second)
	assert.Equal(t, cell.answer("e0", 2).Outcome, api.OutcomeAccepted)
	cell.kill("e0")
	cell.advance(10 * time.Second)
	cell.ask("e1", 3, message.OpSubmit, job)
	cell.advance(time.Second)
	assert.Equal(t, cell.answer("e1", 3).Outcome, api.OutcomeAccepted)
}

// TestKeyedRequestInOutage guards against a request that hangs past its deadline
// while its claim cannot be read, and against not_run for it, since another
// process may have run the key.
func TestKeyedRequestInOutage(t *testing.T) {
	cell := warmCell(t, 2, 2)
	job := request(time.Second)
	job.Idempotent = false
	job.Key = "hold-11"
	job.DeadlineMS = 3000
	cell.procs["e1"].lagsTo = cell.now.Add(time.Minute)
	cell.ask("e0", 1, message.OpSubmit, job)
	cell.ask("e1", 1, message.OpSubmit, job)
	cell.advance(5 * time.Second)
	assert.Equal(t, cell.answer("e0", 1).Outcome, api.OutcomeCompleted)
	assert.Equal(t, cell.answer("e1", 1).Outcome, api.OutcomeUnknown)
	cell.advance(time.Minute)
	cell.ask("e1", 2, message.OpSubmit, job)
	cell.advance(2 * time.Second)
	assert.Equal(t, cell.answer("e1", 2).Outcome, api.OutcomeCompleted)
	assert.Equal(t, len(cell.starts), 1)
}
