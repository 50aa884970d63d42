package core

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/fulmarlatch/fulmarlatch/internal/api"
	"github.com/fulmarlatch/fulmarlatch/internal/message"
	"github.com/fulmarlatch/fulmarlatch/internal/record"
)

// logReader passes records of one writer to a core.
type logReader struct {
	*lone
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

// ticks lets seconds pass and returns the actions.
func (l *lone) ticks(seconds int) (all []Action) {
	for range seconds {
		l.now = l.now.Add(time.Second)
		all = append(all, l.step(Tick{})...)
	}
	return all
}

// TestOverInLog guards against ended attempts that stay at a worker, and attempts
// that run on as a second copy, when their coordinator is gone and the log says
// that they are over.
func TestOverInLog(t *testing.T) {
	dead := api.EntryRef{Name: "e2", Incarnation: 1}
	job := onceEach(2, time.Second)
	job.ID = "e2.1.1"
	ended, runs := attemptID(job.ID, 1), api.AttemptID{Job: job.ID, Task: 1, Number: 1}
	report := runningAt(ended, dead)
	report.State, report.Outcome = api.TaskEnded, api.OutcomeCompleted
	l := &logReader{lone: newLone(report, runningAt(runs, dead)), writer: dead}
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

// TestJobForgottenEverywhere guards against attempts of a logged job that stay at
// a worker when no process and no record knows the job any more.
func TestJobForgottenEverywhere(t *testing.T) {
	dead := api.EntryRef{Name: "e2", Incarnation: 1}
	l := newLone(runningAt(attemptID("e2.1.1", 1), dead))
	stops := 0
	for _, action := range l.ticks(660) {
		if _, ok := action.(ControlTask); ok {
			stops++
		}
	}
	assert.Equal(t, stops, 1)
}

// TestSecondChoiceAdopts guards against a job that nobody adopts because the
// preferred adopter does not know it.
func TestSecondChoiceAdopts(t *testing.T) {
	for i := range 8 {
		l := &logReader{lone: newLone(), writer: api.EntryRef{Name: "e2", Incarnation: 1}}
		job := onceEach(1, time.Second)
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

// TestGivenUpBeforeStart guards against a process that takes a start record which
// does not count for a start, and so never sees the end of a cancelled job.
func TestGivenUpBeforeStart(t *testing.T) {
	l := newLone()
	l.step(CallerRequest{Token: 1, Operation: message.OpSubmit, Job: onceEach(1, time.Second)})
	id := sortedKeys(l.core.jobs.byID)[0]
	accept := record.Record{Writer: l.core.cfg.Self, Sequence: 1, Accept: &record.Accept{Job: l.core.jobs.byID[id].spec}}
	l.step(RecordRead{Offset: 0, Record: accept})
	assert.Equal(t, len(l.core.attempts.byID), 1)
	other := &logReader{lone: l, writer: peerRef, offset: 1}
	other.read(record.Record{Adopt: &record.Adopt{JobID: id, Replaces: 0}})
	other.read(record.Record{Cancel: &record.Cancel{JobID: id}})
	assert.Equal(t, len(l.core.jobs.byOwner), 0)
}

// TestWorkerDies guards against a request that is never answered because its
// holder lives and lost the worker, which nobody can reach.
func TestWorkerDies(t *testing.T) {
	cell := warmCell(t, 2, 1)
	coordinator := "e0"
	if cell.workers["w00"].holder.Name == coordinator {
		coordinator = "e1"
	}
	cell.ask(coordinator, 1, message.OpSubmit, request(time.Minute))
	cell.advance(time.Second)
	cell.workers["w00"].down = true
	cell.advance(6 * time.Minute)
	assert.Assert(t, cell.answer(coordinator, 1).Outcome != "")
}

// TestEndsAreNotFlooded guards against ends that are sent every second while the
// log is down and cannot be acknowledged.
func TestEndsAreNotFlooded(t *testing.T) {
	id := attemptID("e1.1.1", 1)
	report := runningAt(id, peerRef)
	report.State, report.Outcome = api.TaskEnded, api.OutcomeCompleted
	l := newLone(report)
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

// TestExpiredBatchCancelledOnce guards against one cancel record for every task of
// a job whose deadline has passed.
func TestExpiredBatchCancelledOnce(t *testing.T) {
	cell := warmCell(t, 1, 1)
	job := batch(api.KindBatch, 300, time.Minute)
	job.DeadlineMS = 2000
	cell.ask("e0", 1, message.OpSubmit, job)
	cell.advance(5 * time.Second)
	cancels := 0
	for _, r := range cell.log {
		if r.Cancel != nil {
			cancels++
		}
	}
	assert.Equal(t, cancels, 1)
}

// TestDeadlineAfterAdoption guards against tasks that start after their deadline
// because the process that adopted the job does not know it.
func TestDeadlineAfterAdoption(t *testing.T) {
	cell := warmCell(t, 2, 1)
	job := batch(api.KindBatch, 12, 4*time.Second)
	job.DeadlineMS = 9000
	cell.ask("e0", 1, message.OpSubmit, job)
	cell.advance(time.Second)
	cell.kill("e0")
	cell.advance(time.Minute)
	id := cell.answer("e0", 1).JobID
	assert.Assert(t, cell.ran[id] < 12, "%d tasks ran", cell.ran[id])
	assert.Assert(t, cell.procs["e1"].core.jobs.byID[id].final != nil)
}
