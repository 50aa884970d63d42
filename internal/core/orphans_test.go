package core

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/fulmarlatch/fulmarlatch/internal/api"
	"github.com/fulmarlatch/fulmarlatch/internal/message"
	"github.com/fulmarlatch/fulmarlatch/internal/record"
)

// logReader passes records of a writer to a core.
type logReader struct {
	*singleCore
	writer   api.EntryRef
	sequence uint64
	offset   uint64
}

func (l *logReader) read(r record.Record) []Action {
	l.sequence++
	r.Writer, r.Sequence = l.writer, l.sequence
	l.offset++
	return l.step(RecordRead{Offset: l.offset - 1, Record: r})
}

// ticks advances the time by seconds with one Tick each, and returns the actions.
func (l *singleCore) ticks(seconds int) (all []Action) {
	for range seconds {
		l.now = l.now.Add(time.Second)
		all = append(all, l.step(Tick{})...)
	}
	return all
}

// TestAttemptEndedInLog guards against attempts that have ended according to the log
// but stay at a worker because their coordinator is gone: ended ones that no process
// acknowledges, and running ones, which could overlap with the next attempt.
func TestAttemptEndedInLog(t *testing.T) {
	dead := api.EntryRef{Name: "e2", Incarnation: 1}
	job := nonIdempotentBatch(2, time.Second)
	job.ID = "e2.1.1"
	ended, runs := attemptID(job.ID, 1), api.AttemptID{Job: job.ID, Task: 1, Number: 1}
	report := runningReport(ended, dead)
	report.State, report.Outcome = api.TaskEnded, api.OutcomeCompleted
	l := &logReader{singleCore: newSingleCore(report, runningReport(runs, dead)), writer: dead}
	l.read(record.Record{Accept: &record.Accept{Job: job}})
	for _, id := range []api.AttemptID{ended, runs} {
		l.read(record.Record{Start: &record.Start{Attempt: id, Worker: "w00", Epoch: 4, Boot: 2}})
	}
	for _, action := range l.ticks(10) {
		switch action.(type) {
		case AcknowledgeTasks, ControlTask:
			t.Fatalf("%#v before the end was in the log", action)
		}
	}
	var actions []Action
	for _, id := range []api.AttemptID{ended, runs} {
		actions = append(actions, l.read(record.Record{End: &record.End{Attempt: id, Outcome: api.OutcomeUnknown}})...)
	}
	var acknowledged, stopped []api.AttemptID
	for _, action := range append(actions, l.ticks(10)...) {
		switch a := action.(type) {
		case AcknowledgeTasks:
			acknowledged = append(acknowledged, a.Attempts...)
		case ControlTask:
			stopped = append(stopped, a.Attempt)
		}
	}
	assert.DeepEqual(t, acknowledged, []api.AttemptID{ended})
	assert.DeepEqual(t, stopped, []api.AttemptID{runs})
}

// TestJobExpiredEverywhere guards against attempts of a logged job that stay at a
// worker after the job was dropped by all processes and its records have expired.
func TestJobExpiredEverywhere(t *testing.T) {
	dead := api.EntryRef{Name: "e2", Incarnation: 1}
	l := newSingleCore(runningReport(attemptID("e2.1.1", 1), dead))
	stops := 0
	for _, action := range l.ticks(660) {
		if _, ok := action.(ControlTask); ok {
			stops++
		}
	}
	assert.Equal(t, stops, 1)
}

// TestSecondChoiceAdopts guards against a job that no process adopts because the
// preferred adopter has not read its records.
func TestSecondChoiceAdopts(t *testing.T) {
	for i := range 8 {
		l := &logReader{singleCore: newSingleCore(), writer: api.EntryRef{Name: "e2", Incarnation: 1}}
		job := nonIdempotentBatch(1, time.Second)
		job.ID = api.NewJobID(l.writer, uint64(i))
		l.read(record.Record{Accept: &record.Accept{Job: job}})
		adoptions := 0
		for _, action := range l.ticks(45) {
			if a, ok := action.(Append); ok && a.Records[0].Adopt != nil {
				adoptions++
			}
		}
		assert.Assert(t, adoptions > 0, job.ID)
	}
}

// TestReplacedBeforeStartRecord guards against a cancelled job that never ends at a
// process that was replaced as its coordinator: the process regards a task as started
// although its start record came too late to have an effect.
func TestReplacedBeforeStartRecord(t *testing.T) {
	l := newSingleCore()
	l.step(CallerRequest{Token: 1, Operation: message.OpSubmit, Job: nonIdempotentBatch(1, time.Second)})
	id := sortedKeys(l.core.jobs.byID)[0]
	accept := record.Record{Writer: l.core.cfg.Self, Sequence: 1, Accept: &record.Accept{Job: l.core.jobs.byID[id].spec}}
	l.step(RecordRead{Offset: 0, Record: accept})
	assert.Equal(t, len(l.core.attempts.byID), 1)
	other := &logReader{singleCore: l, writer: peerRef, offset: 1}
	other.read(record.Record{Adopt: &record.Adopt{JobID: id, Replaces: 0}})
	other.read(record.Record{Cancel: &record.Cancel{JobID: id}})
	assert.Equal(t, len(l.core.jobs.byCoordinator), 0)
}

// TestWorkerDies guards against a request that is never answered because its worker is
// unreachable for all processes while the holder is running.
func TestWorkerDies(t *testing.T) {
	cluster := warmCluster(t, 2, 1)
	coordinator := "e0"
	if cluster.workers["w00"].holder.Name == coordinator {
		coordinator = "e1"
	}
	cluster.ask(coordinator, 1, message.OpSubmit, request(time.Minute))
	cluster.advance(time.Second)
	cluster.workers["w00"].down = true
	cluster.advance(6 * time.Minute)
	assert.Assert(t, cluster.answer(coordinator, 1).Outcome != "")
}

// TestEndsResentWithBackoff guards against ends that are sent every second while the log
// is down and the coordinator cannot acknowledge them.
func TestEndsResentWithBackoff(t *testing.T) {
	id := attemptID("e1.1.1", 1)
	report := runningReport(id, peerRef)
	report.State, report.Outcome = api.TaskEnded, api.OutcomeCompleted
	l := newSingleCore(report)
	sent := 0
	for _, action := range l.ticks(600) {
		if s, ok := action.(Send); ok {
			if _, ok := s.Message.(message.Ended); ok {
				sent++
			}
		}
	}
	assert.Assert(t, sent >= 5 && sent <= 30, "sent %d times", sent)
}

// TestExpiredBatchCancelledOnce guards against a cancel record for each task of a job
// whose deadline has passed, instead of one for the job.
func TestExpiredBatchCancelledOnce(t *testing.T) {
	cluster := warmCluster(t, 1, 1)
	job := batch(api.KindBatch, 300, time.Minute)
	job.DeadlineMS = 2000
	cluster.ask("e0", 1, message.OpSubmit, job)
	cluster.advance(5 * time.Second)
	cancels := 0
	for _, r := range cluster.log {
		if r.Cancel != nil {
			cancels++
		}
	}
	assert.Equal(t, cancels, 1)
}

// TestDeadlineAfterAdoption guards against tasks that start after their deadline
// because the process that adopted the job has no deadline for it.
func TestDeadlineAfterAdoption(t *testing.T) {
	cluster := warmCluster(t, 2, 1)
	job := batch(api.KindBatch, 12, 4*time.Second)
	job.DeadlineMS = 9000
	cluster.ask("e0", 1, message.OpSubmit, job)
	cluster.advance(time.Second)
	cluster.kill("e0")
	cluster.advance(time.Minute)
	id := cluster.answer("e0", 1).JobID
	assert.Assert(t, cluster.startsByJob[id] < 12, "%d tasks ran", cluster.startsByJob[id])
	assert.Assert(t, cluster.procs["e1"].core.jobs.byID[id].final != nil)
}
