package core

import (
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/fulmarlatch/fulmarlatch/internal/api"
	"github.com/fulmarlatch/fulmarlatch/internal/fault"
	"github.com/fulmarlatch/fulmarlatch/internal/message"
)

func request(run time.Duration) api.Job {
	return api.Job{Workspace: "a", Class: "urgent", Kind: api.KindRequest, Tasks: 1, Idempotent: true,
		Resources: api.Resources{CPUMilli: 1000, MemoryMB: 1000, Slots: 1}, RunTimeMS: run.Milliseconds()}
}

func batch(kind api.Kind, tasks int, run time.Duration) api.Job {
	job := request(run)
	job.Class, job.Kind, job.Tasks = "bulk", kind, tasks
	return job
}

func warmCell(t *testing.T, processes, workers int) *fakeCell {
	t.Helper()
	cell := newFakeCell(processes, workers)
	cell.advance(2 * time.Second)
	held := 0
	for _, p := range cell.procs {
		held += p.core.workers.heldCount
	}
	assert.Equal(t, held, workers)
	t.Cleanup(func() {
		assert.Equal(t, len(cell.problems), 0, "%v", cell.problems)
	})
	return cell
}

// TestRequestCompletes guards against an answer that does not belong to the
// request, here or placed through a peer.
func TestRequestCompletes(t *testing.T) {
	cell := warmCell(t, 3, 4)
	for i := range 16 {
		cell.ask("e0", uint64(i), message.OpSubmit, request(time.Second))
	}
	cell.advance(3 * time.Second)
	for i := range 16 {
		answer := cell.answer("e0", uint64(i))
		assert.Equal(t, answer.Outcome, api.OutcomeCompleted)
		assert.Equal(t, string(answer.Body), answer.JobID)
	}
}

// TestAnswersNameFailuresOnly guards against an answer that is completed and names a
// failure, or has failed and names none.
func TestAnswersNameFailuresOnly(t *testing.T) {
	cell := warmCell(t, 2, 2)
	cell.ask("e0", 1, message.OpSubmit, request(time.Second))
	cell.advance(3 * time.Second)
	assert.Assert(t, cell.answer("e0", 1).Error == nil)
	for _, w := range cell.workers {
		w.fails = true
	}
	cell.ask("e0", 2, message.OpSubmit, request(time.Second))
	cell.advance(30 * time.Second)
	answer := cell.answer("e0", 2)
	assert.Equal(t, answer.Outcome, api.OutcomeFailed)
	assert.Equal(t, answer.Error.Kind, fault.TaskFailed)
}

// TestNeverFits guards against a job that waits for ever for a worker that does
// not exist.
func TestNeverFits(t *testing.T) {
	cell := warmCell(t, 1, 2)
	job := request(time.Second)
	job.Resources.MemoryMB = 8001
	cell.ask("e0", 1, message.OpSubmit, job)
	gang := batch(api.KindGang, 9, time.Second)
	cell.ask("e0", 2, message.OpSubmit, gang)
	cell.advance(time.Second)
	for token := uint64(1); token <= 2; token++ {
		answer := cell.answer("e0", token)
		assert.Equal(t, answer.Outcome, api.OutcomeNotRun)
		assert.Equal(t, answer.Error.Kind, fault.NeverFits)
	}
	assert.ErrorContains(t, cell.answer("e0", 1).Error, "memory_mb is 8001 and the largest worker has 8000")
}

// TestHolderDies guards against an attempt that is run twice or forgotten when
// its holder dies: the coordinator lives and the answer still arrives.
func TestHolderDies(t *testing.T) {
	cell := warmCell(t, 3, 4)
	for i := range 12 {
		job := request(6 * time.Second)
		job.Idempotent = false
		cell.ask("e0", uint64(i), message.OpSubmit, job)
	}
	cell.advance(2 * time.Second)
	cell.kill("e1")
	cell.kill("e2")
	cell.advance(15 * time.Second)
	for i := range 12 {
		assert.Equal(t, cell.answer("e0", uint64(i)).Outcome, api.OutcomeCompleted, "request %d", i)
	}
}

// TestHolderPauses guards against a resumed holder that still starts tasks on a
// worker whose lease has moved on.
func TestHolderPauses(t *testing.T) {
	cell := warmCell(t, 3, 4)
	for i := range 60 {
		cell.ask("e0", uint64(i), message.OpSubmit, request(2*time.Second))
		if i == 20 {
			cell.pause("e1")
		}
		cell.advance(100 * time.Millisecond)
	}
	cell.advance(4 * time.Second)
	cell.resume("e1")
	cell.advance(15 * time.Second)
	for i := range 60 {
		assert.Equal(t, cell.answer("e0", uint64(i)).Outcome, api.OutcomeCompleted, "request %d", i)
	}
}

// TestOrphansStop guards against attempts that run on after their coordinator
// and its callers are gone.
func TestOrphansStop(t *testing.T) {
	cell := warmCell(t, 2, 4)
	for i := range 14 {
		cell.ask("e0", uint64(i), message.OpSubmit, request(time.Hour))
	}
	cell.advance(time.Second)
	cell.kill("e0")
	cell.advance(20 * time.Second)
	for _, w := range cell.workers {
		assert.Equal(t, w.used(), api.Resources{})
	}
}

// TestBatchAdopted guards against an accepted job that is lost with its
// coordinator, or of which a task runs twice.
func TestBatchAdopted(t *testing.T) {
	cell := warmCell(t, 3, 4)
	cell.ask("e0", 1, message.OpSubmit, batch(api.KindBatch, 30, 3*time.Second))
	cell.advance(time.Second)
	accepted := cell.answer("e0", 1)
	assert.Equal(t, accepted.Outcome, api.OutcomeAccepted)
	cell.advance(2 * time.Second)
	cell.kill("e0")
	cell.advance(30 * time.Second)
	cell.ask("e1", 2, message.OpStatus, api.Job{ID: accepted.JobID, Workspace: "a"})
	cell.advance(time.Second)
	status := cell.answer("e1", 2)
	assert.Equal(t, status.Outcome, api.OutcomeCompleted)
	assert.Equal(t, status.Tasks.Completed, 30)
	for _, r := range status.Results {
		assert.Equal(t, string(r.Body), accepted.JobID, "answer of task %d", r.Task)
	}
}

// TestPausedCoordinatorIsReplaced guards against two coordinators of one job: the
// paused one resumes after its job was adopted.
func TestPausedCoordinatorIsReplaced(t *testing.T) {
	cell := warmCell(t, 3, 4)
	job := batch(api.KindBatch, 40, 2*time.Second)
	job.Idempotent = false
	cell.ask("e0", 1, message.OpSubmit, job)
	cell.advance(1500 * time.Millisecond)
	cell.pause("e0")
	cell.advance(12 * time.Second)
	cell.resume("e0")
	cell.advance(40 * time.Second)
	id := cell.answer("e0", 1).JobID
	cell.ask("e1", 2, message.OpStatus, api.Job{ID: id, Workspace: "a"})
	cell.advance(time.Second)
	assert.Equal(t, cell.answer("e1", 2).Outcome, api.OutcomeCompleted)
	assert.Equal(t, cell.ran[id], 40)
}

// TestGangStartsWhole guards against a gang of which only a part starts, and
// against two gangs that keep each other out.
func TestGangStartsWhole(t *testing.T) {
	cell := warmCell(t, 3, 4)
	cell.ask("e0", 1, message.OpSubmit, batch(api.KindGang, 12, 2*time.Second))
	cell.ask("e1", 1, message.OpSubmit, batch(api.KindGang, 12, 2*time.Second))
	cell.advance(time.Second)
	first := cell.answer("e0", 1).JobID
	second := cell.answer("e1", 1).JobID
	for range 400 {
		cell.step()
		for _, id := range []string{first, second} {
			n := cell.ran[id]
			assert.Assert(t, n == 0 || n == 12, "gang %s has %d tasks started", id, n)
		}
	}
	assert.Equal(t, cell.ran[first], 12)
	assert.Equal(t, cell.ran[second], 12)
}

// TestKeyClaimedOnce guards against a keyed request that runs once per entry
// process when a caller retries through another one.
func TestKeyClaimedOnce(t *testing.T) {
	cell := warmCell(t, 3, 4)
	cell.loseAcks = true
	job := request(time.Second)
	job.Idempotent = false
	job.Key = "hold-7"
	cell.ask("e0", 1, message.OpSubmit, job)
	cell.ask("e1", 1, message.OpSubmit, job)
	cell.advance(2 * time.Second)
	cell.ask("e2", 1, message.OpSubmit, job)
	cell.advance(2 * time.Second)
	var ids []string
	for _, name := range []string{"e0", "e1", "e2"} {
		answer := cell.answer(name, 1)
		assert.Equal(t, answer.Outcome, api.OutcomeCompleted, name)
		ids = append(ids, answer.JobID)
	}
	assert.Equal(t, ids[0], ids[1])
	assert.Equal(t, ids[0], ids[2])
	assert.Equal(t, len(cell.starts), 1)
}

// TestMintedIDAfterLoss guards against a non-idempotent request that is run again
// when the process that took it is gone.
func TestMintedIDAfterLoss(t *testing.T) {
	cell := warmCell(t, 3, 4)
	id, err := cell.procs["e0"].core.MintID(cell.now)
	assert.NilError(t, err)
	job := request(2 * time.Second)
	job.Idempotent = false
	job.ID = id
	cell.ask("e1", 1, message.OpSubmit, job)
	cell.advance(time.Second)
	cell.kill("e0")
	cell.advance(5 * time.Second)
	assert.Equal(t, cell.answer("e1", 1).Outcome, api.OutcomeUnknown)
	cell.ask("e2", 2, message.OpSubmit, job)
	cell.start("e0", 2)
	cell.advance(3 * time.Second)
	cell.ask("e2", 3, message.OpSubmit, job)
	cell.advance(10 * time.Second)
	assert.Equal(t, cell.answer("e2", 2).Outcome, api.OutcomeUnknown)
	assert.Equal(t, cell.answer("e2", 3).Outcome, api.OutcomeUnknown)
	assert.Equal(t, cell.ran[id], 1)
}

// TestLogDown guards against work that needs no log being refused during an
// outage, and against an acceptance that is not in the log.
func TestLogDown(t *testing.T) {
	cell := warmCell(t, 2, 2)
	cell.logUp = false
	cell.advance(time.Second)
	cell.ask("e0", 1, message.OpSubmit, request(time.Second))
	cell.ask("e0", 2, message.OpSubmit, batch(api.KindBatch, 2, time.Second))
	cell.advance(3 * time.Second)
	assert.Equal(t, cell.answer("e0", 1).Outcome, api.OutcomeCompleted)
	refused := cell.answer("e0", 2)
	assert.Equal(t, refused.Outcome, api.OutcomeNotRun)
	assert.Equal(t, refused.Error.Kind, fault.LogDown)
	assert.Assert(t, refused.Error.RetryAfterMS > 0)
}

// TestRefusedKeyIsUnknown guards against not_run for a keyed request that ran at
// another process whose claim this one cannot read.
func TestRefusedKeyIsUnknown(t *testing.T) {
	cell := warmCell(t, 2, 2)
	job := request(time.Second)
	job.Idempotent = false
	job.Key = "hold-9"
	cell.ask("e0", 1, message.OpSubmit, job)
	cell.pause("e1")
	cell.advance(2 * time.Second)
	cell.logUp = false
	cell.resume("e1")
	cell.advance(time.Second)
	cell.ask("e1", 2, message.OpSubmit, job)
	cell.advance(time.Second)
	assert.Equal(t, cell.answer("e0", 1).Outcome, api.OutcomeCompleted)
	assert.Equal(t, cell.answer("e1", 2).Outcome, api.OutcomeUnknown)
	assert.Equal(t, cell.answer("e1", 2).Error.Kind, fault.LogDown)
	cell.logUp = true
	cell.advance(time.Second)
	cell.ask("e1", 3, message.OpSubmit, job)
	cell.advance(time.Second)
	assert.Equal(t, cell.answer("e1", 3).Outcome, api.OutcomeCompleted)
	assert.Equal(t, len(cell.starts), 1)
}

// TestWorkerRestartedEmpty guards against a non-idempotent task that is run again
// after its worker lost its memory.
func TestWorkerRestartedEmpty(t *testing.T) {
	cell := warmCell(t, 2, 1)
	once := request(4 * time.Second)
	once.Idempotent = false
	cell.ask("e0", 1, message.OpSubmit, once)
	cell.ask("e0", 2, message.OpSubmit, request(4*time.Second))
	cell.advance(time.Second)
	cell.restartWorker("w00")
	cell.advance(15 * time.Second)
	assert.Equal(t, cell.answer("e0", 1).Outcome, api.OutcomeUnknown)
	assert.Equal(t, cell.answer("e0", 2).Outcome, api.OutcomeCompleted)
}

// TestGracefulStop guards against a planned stop that cuts off requests or keeps
// leases.
func TestGracefulStop(t *testing.T) {
	cell := warmCell(t, 3, 4)
	for i := range 10 {
		cell.ask("e0", uint64(i), message.OpSubmit, request(3*time.Second))
	}
	cell.ask("e0", 90, message.OpSubmit, batch(api.KindBatch, 20, 2*time.Second))
	cell.advance(time.Second)
	cell.procs["e0"].inbox = append(cell.procs["e0"].inbox, StopRequested{})
	cell.advance(8 * time.Second)
	assert.Assert(t, cell.procs["e0"].stopped)
	assert.Equal(t, len(cell.procs["e0"].held), 0)
	for i := range 10 {
		assert.Equal(t, cell.answer("e0", uint64(i)).Outcome, api.OutcomeCompleted, "request %d", i)
	}
	cell.kill("e0")
	cell.advance(30 * time.Second)
	id := cell.answer("e0", 90).JobID
	cell.ask("e1", 91, message.OpStatus, api.Job{ID: id, Workspace: "a"})
	cell.advance(time.Second)
	assert.Equal(t, cell.answer("e1", 91).Outcome, api.OutcomeCompleted)
}

// TestCancel guards against a cancelled job that starts later or keeps running.
func TestCancel(t *testing.T) {
	cell := warmCell(t, 2, 1)
	ids := make([]string, 6)
	for i := range ids {
		id, err := cell.procs["e0"].core.MintID(cell.now)
		assert.NilError(t, err)
		ids[i] = id
		job := request(5 * time.Second)
		job.ID = id
		cell.ask("e0", uint64(i), message.OpSubmit, job)
	}
	cell.advance(time.Second)
	for i, id := range ids {
		cell.ask("e1", uint64(100+i), message.OpCancel, api.Job{ID: id, Workspace: "a"})
	}
	cell.advance(3 * time.Second)
	for i, id := range ids {
		answer := cell.answer("e1", uint64(100+i))
		want := api.OutcomeNotRun
		if cell.ran[id] > 0 {
			want = api.OutcomeFailed
		}
		assert.Equal(t, answer.Outcome, want)
		assert.Equal(t, answer.Error.Kind, fault.Cancelled)
	}
	assert.Equal(t, cell.workers["w00"].used(), api.Resources{})
}

// TestServiceSurvivesHolder guards against a service that stops with the process
// that holds its worker.
func TestServiceSurvivesHolder(t *testing.T) {
	cell := warmCell(t, 3, 3)
	cell.ask("e0", 1, message.OpSubmit, batch(api.KindService, 4, 0))
	cell.advance(2 * time.Second)
	id := cell.answer("e0", 1).JobID
	assert.Equal(t, cell.ran[id], 4)
	for i, name := range []string{"e0", "e1"} {
		cell.kill(name)
		cell.advance(20 * time.Second)
		assert.Equal(t, cell.ran[id], 4, "after %d kills", i+1)
	}
	cell.ask("e2", 5, message.OpCancel, api.Job{ID: id, Workspace: "a"})
	cell.advance(3 * time.Second)
	assert.Equal(t, cell.answer("e2", 5).Error.Kind, fault.Cancelled)
	for name, w := range cell.workers {
		assert.Equal(t, w.used(), api.Resources{}, fmt.Sprintf("worker %s", name))
	}
}
