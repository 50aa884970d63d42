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

// warmCluster returns a cluster whose workers are all held. At the end of the test it
// checks that no guarantee was violated.
func warmCluster(t *testing.T, processes, workers int) *fakeCluster {
	t.Helper()
	cluster := newFakeCluster(processes, workers)
	cluster.advance(2 * time.Second)
	held := 0
	for _, p := range cluster.procs {
		held += p.core.workers.heldCount
	}
	assert.Equal(t, held, workers)
	t.Cleanup(func() {
		assert.Equal(t, len(cluster.violations), 0, "%v", cluster.violations)
	})
	return cluster
}

// TestRequestCompletes guards against answers that belong to another request, for
// tasks placed at this process or at a peer.
func TestRequestCompletes(t *testing.T) {
	cluster := warmCluster(t, 3, 4)
	for i := range 16 {
		cluster.ask("e0", uint64(i), message.OpSubmit, request(time.Second))
	}
	cluster.advance(3 * time.Second)
	for i := range 16 {
		answer := cluster.answer("e0", uint64(i))
		assert.Equal(t, answer.Outcome, api.OutcomeCompleted)
		assert.Equal(t, string(answer.Body), answer.JobID)
	}
}

// TestErrorOnlyInFailedAnswers guards against a completed answer with an error, and a
// failed one without.
func TestErrorOnlyInFailedAnswers(t *testing.T) {
	cluster := warmCluster(t, 2, 2)
	cluster.ask("e0", 1, message.OpSubmit, request(time.Second))
	cluster.advance(3 * time.Second)
	assert.Assert(t, cluster.answer("e0", 1).Error == nil)
	for _, w := range cluster.workers {
		w.fails = true
	}
	cluster.ask("e0", 2, message.OpSubmit, request(time.Second))
	cluster.advance(30 * time.Second)
	answer := cluster.answer("e0", 2)
	assert.Equal(t, answer.Outcome, api.OutcomeFailed)
	assert.Equal(t, answer.Error.Kind, fault.TaskFailed)
}

// TestNeverFits guards against a job that waits for ever because no worker is large
// enough.
func TestNeverFits(t *testing.T) {
	cluster := warmCluster(t, 1, 2)
	job := request(time.Second)
	job.Resources.MemoryMB = 8001
	cluster.ask("e0", 1, message.OpSubmit, job)
	gang := batch(api.KindGang, 9, time.Second)
	cluster.ask("e0", 2, message.OpSubmit, gang)
	cluster.advance(time.Second)
	for token := uint64(1); token <= 2; token++ {
		answer := cluster.answer("e0", token)
		assert.Equal(t, answer.Outcome, api.OutcomeNotRun)
		assert.Equal(t, answer.Error.Kind, fault.NeverFits)
	}
	assert.ErrorContains(t, cluster.answer("e0", 1).Error, "memory_mb is 8001 and the largest worker has 8000")
}

// TestHolderDies guards against an attempt that is run twice or lost when its holder
// ends and the coordinator keeps running.
func TestHolderDies(t *testing.T) {
	cluster := warmCluster(t, 3, 4)
	for i := range 12 {
		job := request(6 * time.Second)
		job.Idempotent = false
		cluster.ask("e0", uint64(i), message.OpSubmit, job)
	}
	cluster.advance(2 * time.Second)
	cluster.kill("e1")
	cluster.kill("e2")
	cluster.advance(15 * time.Second)
	for i := range 12 {
		assert.Equal(t, cluster.answer("e0", uint64(i)).Outcome, api.OutcomeCompleted, "request %d", i)
	}
}

// TestHolderPauses guards against a holder that resumes after a pause and starts tasks
// on a worker whose lease another process has acquired.
func TestHolderPauses(t *testing.T) {
	cluster := warmCluster(t, 3, 4)
	for i := range 60 {
		cluster.ask("e0", uint64(i), message.OpSubmit, request(2*time.Second))
		if i == 20 {
			cluster.pause("e1")
		}
		cluster.advance(100 * time.Millisecond)
	}
	cluster.advance(4 * time.Second)
	cluster.resume("e1")
	cluster.advance(15 * time.Second)
	for i := range 60 {
		assert.Equal(t, cluster.answer("e0", uint64(i)).Outcome, api.OutcomeCompleted, "request %d", i)
	}
}

// TestOrphansStop guards against attempts that keep running after their coordinator
// and its callers are gone.
func TestOrphansStop(t *testing.T) {
	cluster := warmCluster(t, 2, 4)
	for i := range 14 {
		cluster.ask("e0", uint64(i), message.OpSubmit, request(time.Hour))
	}
	cluster.advance(time.Second)
	cluster.kill("e0")
	cluster.advance(20 * time.Second)
	for _, w := range cluster.workers {
		assert.Equal(t, w.used(), api.Resources{})
	}
}

// TestBatchAdopted guards against an accepted job that is lost with its coordinator,
// or has a task that runs twice.
func TestBatchAdopted(t *testing.T) {
	cluster := warmCluster(t, 3, 4)
	cluster.ask("e0", 1, message.OpSubmit, batch(api.KindBatch, 30, 3*time.Second))
	cluster.advance(time.Second)
	accepted := cluster.answer("e0", 1)
	assert.Equal(t, accepted.Outcome, api.OutcomeAccepted)
	cluster.advance(2 * time.Second)
	cluster.kill("e0")
	cluster.advance(30 * time.Second)
	cluster.ask("e1", 2, message.OpStatus, api.Job{ID: accepted.JobID, Workspace: "a"})
	cluster.advance(time.Second)
	status := cluster.answer("e1", 2)
	assert.Equal(t, status.Outcome, api.OutcomeCompleted)
	assert.Equal(t, status.Tasks.Completed, 30)
	for _, r := range status.Results {
		assert.Equal(t, string(r.Body), accepted.JobID, "answer of task %d", r.Task)
	}
}

// TestPausedCoordinatorIsReplaced guards against two coordinators of one job: a paused
// coordinator resumes after its job was adopted.
func TestPausedCoordinatorIsReplaced(t *testing.T) {
	cluster := warmCluster(t, 3, 4)
	job := batch(api.KindBatch, 40, 2*time.Second)
	job.Idempotent = false
	cluster.ask("e0", 1, message.OpSubmit, job)
	cluster.advance(1500 * time.Millisecond)
	cluster.pause("e0")
	cluster.advance(12 * time.Second)
	cluster.resume("e0")
	cluster.advance(40 * time.Second)
	id := cluster.answer("e0", 1).JobID
	cluster.ask("e1", 2, message.OpStatus, api.Job{ID: id, Workspace: "a"})
	cluster.advance(time.Second)
	assert.Equal(t, cluster.answer("e1", 2).Outcome, api.OutcomeCompleted)
	assert.Equal(t, cluster.startsByJob[id], 40)
}

// TestGangStartsWhole guards against a gang that starts only in part, and against two
// gangs that block each other.
func TestGangStartsWhole(t *testing.T) {
	cluster := warmCluster(t, 3, 4)
	cluster.ask("e0", 1, message.OpSubmit, batch(api.KindGang, 12, 2*time.Second))
	cluster.ask("e1", 1, message.OpSubmit, batch(api.KindGang, 12, 2*time.Second))
	cluster.advance(time.Second)
	first := cluster.answer("e0", 1).JobID
	second := cluster.answer("e1", 1).JobID
	for range 400 {
		cluster.step()
		for _, id := range []string{first, second} {
			n := cluster.startsByJob[id]
			assert.Assert(t, n == 0 || n == 12, "gang %s has %d tasks started", id, n)
		}
	}
	assert.Equal(t, cluster.startsByJob[first], 12)
	assert.Equal(t, cluster.startsByJob[second], 12)
}

// TestKeyClaimedOnce guards against a keyed request that runs at several entry
// processes because the caller retried it through another one.
func TestKeyClaimedOnce(t *testing.T) {
	cluster := warmCluster(t, 3, 4)
	cluster.loseAcks = true
	job := request(time.Second)
	job.Idempotent = false
	job.Key = "hold-7"
	cluster.ask("e0", 1, message.OpSubmit, job)
	cluster.ask("e1", 1, message.OpSubmit, job)
	cluster.advance(2 * time.Second)
	cluster.ask("e2", 1, message.OpSubmit, job)
	cluster.advance(2 * time.Second)
	var ids []string
	for _, name := range []string{"e0", "e1", "e2"} {
		answer := cluster.answer(name, 1)
		assert.Equal(t, answer.Outcome, api.OutcomeCompleted, name)
		ids = append(ids, answer.JobID)
	}
	assert.Equal(t, ids[0], ids[1])
	assert.Equal(t, ids[0], ids[2])
	assert.Equal(t, len(cluster.startsByAttempt), 1)
}

// TestMintedIDAfterLoss guards against a non-idempotent request that is run again
// after the process that accepted it was lost.
func TestMintedIDAfterLoss(t *testing.T) {
	cluster := warmCluster(t, 3, 4)
	id, err := cluster.procs["e0"].core.MintID(cluster.now)
	assert.NilError(t, err)
	job := request(2 * time.Second)
	job.Idempotent = false
	job.ID = id
	cluster.ask("e1", 1, message.OpSubmit, job)
	cluster.advance(time.Second)
	cluster.kill("e0")
	cluster.advance(5 * time.Second)
	assert.Equal(t, cluster.answer("e1", 1).Outcome, api.OutcomeUnknown)
	cluster.ask("e2", 2, message.OpSubmit, job)
	cluster.start("e0", 2)
	cluster.advance(3 * time.Second)
	cluster.ask("e2", 3, message.OpSubmit, job)
	cluster.advance(10 * time.Second)
	assert.Equal(t, cluster.answer("e2", 2).Outcome, api.OutcomeUnknown)
	assert.Equal(t, cluster.answer("e2", 3).Outcome, api.OutcomeUnknown)
	assert.Equal(t, cluster.startsByJob[id], 1)
}

// TestLogDown guards against the refusal of unlogged requests during an outage of the
// log, and against the acceptance of a job that is not in the log.
func TestLogDown(t *testing.T) {
	cluster := warmCluster(t, 2, 2)
	cluster.logUp = false
	cluster.advance(time.Second)
	cluster.ask("e0", 1, message.OpSubmit, request(time.Second))
	cluster.ask("e0", 2, message.OpSubmit, batch(api.KindBatch, 2, time.Second))
	cluster.advance(3 * time.Second)
	assert.Equal(t, cluster.answer("e0", 1).Outcome, api.OutcomeCompleted)
	refused := cluster.answer("e0", 2)
	assert.Equal(t, refused.Outcome, api.OutcomeNotRun)
	assert.Equal(t, refused.Error.Kind, fault.LogDown)
	assert.Assert(t, refused.Error.RetryAfterMS > 0)
}

// TestRefusedKeyIsUnknown guards against the answer not_run for a keyed request that
// ran at another process, whose claim this process cannot read.
func TestRefusedKeyIsUnknown(t *testing.T) {
	cluster := warmCluster(t, 2, 2)
	job := request(time.Second)
	job.Idempotent = false
	job.Key = "hold-9"
	cluster.ask("e0", 1, message.OpSubmit, job)
	cluster.pause("e1")
	cluster.advance(2 * time.Second)
	cluster.logUp = false
	cluster.resume("e1")
	cluster.advance(time.Second)
	cluster.ask("e1", 2, message.OpSubmit, job)
	cluster.advance(time.Second)
	assert.Equal(t, cluster.answer("e0", 1).Outcome, api.OutcomeCompleted)
	assert.Equal(t, cluster.answer("e1", 2).Outcome, api.OutcomeUnknown)
	assert.Equal(t, cluster.answer("e1", 2).Error.Kind, fault.LogDown)
	cluster.logUp = true
	cluster.advance(time.Second)
	cluster.ask("e1", 3, message.OpSubmit, job)
	cluster.advance(time.Second)
	assert.Equal(t, cluster.answer("e1", 3).Outcome, api.OutcomeCompleted)
	assert.Equal(t, len(cluster.startsByAttempt), 1)
}

// TestWorkerRestartedEmpty guards against a non-idempotent task that is run again
// after its worker restarted and lost its state.
func TestWorkerRestartedEmpty(t *testing.T) {
	cluster := warmCluster(t, 2, 1)
	once := request(4 * time.Second)
	once.Idempotent = false
	cluster.ask("e0", 1, message.OpSubmit, once)
	cluster.ask("e0", 2, message.OpSubmit, request(4*time.Second))
	cluster.advance(time.Second)
	cluster.restartWorker("w00")
	cluster.advance(15 * time.Second)
	assert.Equal(t, cluster.answer("e0", 1).Outcome, api.OutcomeUnknown)
	assert.Equal(t, cluster.answer("e0", 2).Outcome, api.OutcomeCompleted)
}

// TestGracefulStop guards against a graceful shutdown that aborts requests or keeps
// leases.
func TestGracefulStop(t *testing.T) {
	cluster := warmCluster(t, 3, 4)
	for i := range 10 {
		cluster.ask("e0", uint64(i), message.OpSubmit, request(3*time.Second))
	}
	cluster.ask("e0", 90, message.OpSubmit, batch(api.KindBatch, 20, 2*time.Second))
	cluster.advance(time.Second)
	cluster.procs["e0"].inbox = append(cluster.procs["e0"].inbox, StopRequested{})
	cluster.advance(8 * time.Second)
	assert.Assert(t, cluster.procs["e0"].stopped)
	assert.Equal(t, len(cluster.procs["e0"].held), 0)
	for i := range 10 {
		assert.Equal(t, cluster.answer("e0", uint64(i)).Outcome, api.OutcomeCompleted, "request %d", i)
	}
	cluster.kill("e0")
	cluster.advance(30 * time.Second)
	id := cluster.answer("e0", 90).JobID
	cluster.ask("e1", 91, message.OpStatus, api.Job{ID: id, Workspace: "a"})
	cluster.advance(time.Second)
	assert.Equal(t, cluster.answer("e1", 91).Outcome, api.OutcomeCompleted)
}

// TestCancel guards against a cancelled job that starts later or is not stopped.
func TestCancel(t *testing.T) {
	cluster := warmCluster(t, 2, 1)
	ids := make([]string, 6)
	for i := range ids {
		id, err := cluster.procs["e0"].core.MintID(cluster.now)
		assert.NilError(t, err)
		ids[i] = id
		job := request(5 * time.Second)
		job.ID = id
		cluster.ask("e0", uint64(i), message.OpSubmit, job)
	}
	cluster.advance(time.Second)
	for i, id := range ids {
		cluster.ask("e1", uint64(100+i), message.OpCancel, api.Job{ID: id, Workspace: "a"})
	}
	cluster.advance(3 * time.Second)
	for i, id := range ids {
		answer := cluster.answer("e1", uint64(100+i))
		want := api.OutcomeNotRun
		if cluster.startsByJob[id] > 0 {
			want = api.OutcomeFailed
		}
		assert.Equal(t, answer.Outcome, want)
		assert.Equal(t, answer.Error.Kind, fault.Cancelled)
	}
	assert.Equal(t, cluster.workers["w00"].used(), api.Resources{})
}

// TestServiceSurvivesHolder guards against a service that stops with the process
// that holds its worker.
func TestServiceSurvivesHolder(t *testing.T) {
	cluster := warmCluster(t, 3, 3)
	cluster.ask("e0", 1, message.OpSubmit, batch(api.KindService, 4, 0))
	cluster.advance(2 * time.Second)
	id := cluster.answer("e0", 1).JobID
	assert.Equal(t, cluster.startsByJob[id], 4)
	for i, name := range []string{"e0", "e1"} {
		cluster.kill(name)
		cluster.advance(20 * time.Second)
		assert.Equal(t, cluster.startsByJob[id], 4, "after %d kills", i+1)
	}
	cluster.ask("e2", 5, message.OpCancel, api.Job{ID: id, Workspace: "a"})
	cluster.advance(3 * time.Second)
	assert.Equal(t, cluster.answer("e2", 5).Error.Kind, fault.Cancelled)
	for name, w := range cluster.workers {
		assert.Equal(t, w.used(), api.Resources{}, fmt.Sprintf("worker %s", name))
	}
}
