package core

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/fulmarlatch/fulmarlatch/internal/api"
	"github.com/fulmarlatch/fulmarlatch/internal/message"
	"github.com/fulmarlatch/fulmarlatch/internal/record"
)

// reserve reserves resources for an attempt that e1 coordinates.
func (l *singleCore) reserve(t *testing.T, id api.AttemptID) message.Placement {
	t.Helper()
	spec := runningReport(id, peerRef).Spec
	spec.Attempt = api.AttemptID{}
	answer := l.receive(message.Reserve{Attempts: []api.AttemptID{id}, Spec: spec, TTLMS: 2000}).(message.Reserved)
	assert.Equal(t, len(answer.Placements), 1)
	return answer.Placements[0]
}

// commit commits a placement and reports whether the core starts the task.
func (l *singleCore) commit(p message.Placement) bool {
	for _, action := range l.step(PeerMessage{From: peerRef, Message: message.Commit{Placement: p}}) {
		if _, ok := action.(StartTask); ok {
			return true
		}
	}
	return false
}

// TestCommitNeedsLiveReservation guards against a start for a coordinator that may have
// been replaced: each case but "live" ends the reservation or names another lease.
func TestCommitNeedsLiveReservation(t *testing.T) {
	id := attemptID("e1.1.1", 1)
	for name, c := range map[string]struct {
		before func(l *singleCore, p *message.Placement)
		starts bool
	}{
		"live":     {before: func(*singleCore, *message.Placement) {}, starts: true},
		"never":    {before: func(_ *singleCore, p *message.Placement) { p.Attempt = attemptID("e1.1.2", 1) }},
		"released": {before: func(l *singleCore, _ *message.Placement) { l.receive(message.Release{Attempts: []api.AttemptID{id}}) }},
		"queried":  {before: func(l *singleCore, _ *message.Placement) { l.query(id, 5, 2, 0) }},
		"expired":  {before: func(l *singleCore, _ *message.Placement) { l.now = l.now.Add(2 * time.Second) }},
		"epoch":    {before: func(_ *singleCore, p *message.Placement) { p.Epoch-- }},
		"boot":     {before: func(_ *singleCore, p *message.Placement) { p.Boot-- }},
		"lost":     {before: func(l *singleCore, _ *message.Placement) { l.step(LeaseLost{Worker: "w00", Epoch: 5}) }},
		"granted again": {before: func(l *singleCore, _ *message.Placement) {
			l.step(LeaseLost{Worker: "w00", Epoch: 5})
			l.ticks(1)
			l.step(LeaseGranted{Grant: api.Grant{Worker: "w00", Epoch: 6, Boot: 2,
				Capacity: api.Resources{CPUMilli: 4000, MemoryMB: 8000, Slots: 4}}})
		}},
	} {
		l := newSingleCore()
		p := l.reserve(t, id)
		c.before(l, &p)
		assert.Equal(t, l.commit(p), c.starts, name)
	}
}

// TestRecordsOfReplacedCoordinator guards against records that take effect although
// their writer does not coordinate the job at their offset, and against adoptions that
// replace a coordinator which was already replaced.
func TestRecordsOfReplacedCoordinator(t *testing.T) {
	e2, e3 := api.EntryRef{Name: "e2", Incarnation: 1}, api.EntryRef{Name: "e3", Incarnation: 1}
	l := &logReader{singleCore: newSingleCore(), writer: e2}
	job := nonIdempotentBatch(1, time.Second)
	job.ID = "e2.1.1"
	id := attemptID(job.ID, 1)
	l.read(record.Record{Accept: &record.Accept{Job: job}})
	l.as(e3).read(record.Record{Adopt: &record.Adopt{JobID: job.ID, Replaces: 0}})
	j := l.core.jobs.byID[job.ID]
	assert.Equal(t, j.coordinator, e3)
	l.as(peerRef).read(record.Record{Adopt: &record.Adopt{JobID: job.ID, Replaces: 0}})
	assert.Equal(t, j.coordinator, e3, "after an adoption that replaces an earlier coordinator")
	l.as(e2).read(record.Record{Start: &record.Start{Attempt: id, Worker: "w00", Epoch: 5, Boot: 2}})
	assert.Equal(t, j.tasks[0].phase, taskWaiting, "after a start of the replaced coordinator")
	l.as(e3).read(record.Record{Start: &record.Start{Attempt: id, Worker: "w01", Epoch: 5, Boot: 2}})
	assert.Equal(t, j.tasks[0].placement.worker, "w01")
	l.as(e2).read(record.Record{End: &record.End{Attempt: id, Outcome: api.OutcomeNotRun}})
	assert.Equal(t, j.tasks[0].phase, taskActive, "after an end of the replaced coordinator")
}

// as sets the writer of the next records.
func (l *logReader) as(writer api.EntryRef) *logReader {
	l.writer = writer
	return l
}
