package core

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/fulmarlatch/fulmarlatch/internal/api"
	"github.com/fulmarlatch/fulmarlatch/internal/message"
)

// singleCore is a single core that the test drives event by event.
type singleCore struct {
	core *Core
	now  time.Time
}

var peerRef = api.EntryRef{Name: "e1", Incarnation: 1}

// newSingleCore returns a core that holds worker w00 under epoch 5 and boot 2 and has a
// link to e1.
func newSingleCore(listed ...api.TaskReport) *singleCore {
	l := &singleCore{
		core: New(Config{Self: api.EntryRef{Name: "e0", Incarnation: 1}, Seed: 7}),
		now:  time.Unix(1000, 0),
	}
	capacity := api.Resources{CPUMilli: 4000, MemoryMB: 8000, Slots: 4, Connections: 60}
	l.step(BundleChanged{Roll: 1, Bundle: testBundle()})
	l.step(VMsChanged{Full: true, VMs: []api.VM{{Name: "w00", Role: api.RoleWorker, Address: "w00", Capacity: capacity}}})
	l.step(Tick{})
	l.step(LeaseGranted{Grant: api.Grant{Worker: "w00", Epoch: 5, Boot: 2, Capacity: capacity, Tasks: listed}})
	l.step(LogState{Up: true})
	l.step(LogCaughtUp{})
	l.step(PeerUp{Ref: peerRef})
	return l
}

func (l *singleCore) step(ev Event) []Action { return l.core.Step(l.now, ev) }

// receive passes a message from e1 to the core and returns the first response to e1.
func (l *singleCore) receive(m message.Message) message.Message {
	for _, action := range l.step(PeerMessage{From: peerRef, Message: m}) {
		if s, ok := action.(Send); ok && s.To == peerRef {
			return s.Message
		}
	}
	return nil
}

func attemptID(job string, number int) api.AttemptID {
	return api.AttemptID{Job: job, Number: number}
}

func (l *singleCore) query(id api.AttemptID, epoch, boot, coordinatorOffset uint64) message.Message {
	return l.receive(message.QueryAttempt{Attempt: id, Worker: "w00", Epoch: epoch, Boot: boot, CoordinatorOffset: coordinatorOffset})
}

// TestQueryUnderLaterLease guards against a holder that resumes after a pause, has not
// detected the loss of its lease, and answers that an attempt of a later lease or boot
// did not start.
func TestQueryUnderLaterLease(t *testing.T) {
	for _, c := range []struct {
		epoch, boot uint64
		want        message.AttemptStatus
	}{
		{epoch: 5, boot: 2, want: message.AttemptVoid},
		{epoch: 4, boot: 2, want: message.AttemptVoid},
		{epoch: 6, boot: 2, want: message.AttemptNotHeld},
		{epoch: 4, boot: 1, want: message.AttemptLost},
		{epoch: 6, boot: 3, want: message.AttemptNotHeld},
	} {
		got := newSingleCore().query(attemptID("e1-1-1", 1), c.epoch, c.boot, 0).(message.AttemptState)
		assert.Equal(t, got.Status, c.want, "epoch %d boot %d", c.epoch, c.boot)
	}
}

// runningReport returns the report of a running logged attempt.
func runningReport(id api.AttemptID, coordinator api.EntryRef) api.TaskReport {
	return api.TaskReport{State: api.TaskRunning, Spec: api.TaskSpec{
		Attempt: id, Coordinator: coordinator, Workspace: "a", Class: "bulk", Kind: api.KindBatch,
		Resources: api.Resources{CPUMilli: 1000, MemoryMB: 1000, Slots: 1},
	}}
}

// TestEndGoesToLatestCoordinator guards against a report on an end that goes to a
// replaced coordinator: it has not read the adopt record yet and queries the attempt
// after its successor did.
func TestEndGoesToLatestCoordinator(t *testing.T) {
	id := attemptID("e2-1-1", 1)
	replaced := api.EntryRef{Name: "e2", Incarnation: 1}
	l := newSingleCore(runningReport(id, replaced))
	l.step(PeerUp{Ref: replaced})
	l.query(id, 4, 2, 9)
	l.step(PeerMessage{From: replaced, Message: message.QueryAttempt{Attempt: id, Worker: "w00", Epoch: 4, Boot: 2, CoordinatorOffset: 3}})
	report := runningReport(id, replaced)
	report.State, report.Outcome = api.TaskEnded, api.OutcomeCompleted
	var receivers []api.EntryRef
	for _, action := range l.step(TaskEnded{Worker: "w00", Epoch: 5, Report: report}) {
		if s, ok := action.(Send); ok {
			receivers = append(receivers, s.To)
		}
	}
	assert.DeepEqual(t, receivers, []api.EntryRef{peerRef})
}

// TestCommitForOthersReservation guards against a late commit of one coordinator that
// uses the reservation of another one for the same attempt.
func TestCommitForOthersReservation(t *testing.T) {
	l := newSingleCore()
	other := api.EntryRef{Name: "e2", Incarnation: 1}
	l.step(PeerUp{Ref: other})
	id := attemptID("e1-1-1", 1)
	spec := runningReport(id, other).Spec
	spec.Attempt = api.AttemptID{}
	l.step(PeerMessage{From: other, Message: message.Reserve{Attempts: []api.AttemptID{id}, Spec: spec, TTLMS: 5000}})
	p := message.Placement{Attempt: id, Worker: "w00", Epoch: 5, Boot: 2}
	_, refused := l.receive(message.Commit{Placement: p}).(message.StartRefused)
	assert.Assert(t, refused)
	starts := 0
	for _, action := range l.step(PeerMessage{From: other, Message: message.Commit{Placement: p}}) {
		if _, ok := action.(StartTask); ok {
			starts++
		}
	}
	assert.Equal(t, starts, 1)
}

// TestRepeatedCommitBeforeStart guards against a holder that answers a repeated commit
// with Started before its worker has confirmed the start: the coordinator would report
// to its caller that the task runs.
func TestRepeatedCommitBeforeStart(t *testing.T) {
	l := newSingleCore()
	id := attemptID("e1-1-1", 1)
	spec := runningReport(id, peerRef).Spec
	spec.Attempt = api.AttemptID{}
	l.receive(message.Reserve{Attempts: []api.AttemptID{id}, Spec: spec, TTLMS: 5000})
	commit := message.Commit{Placement: message.Placement{Attempt: id, Worker: "w00", Epoch: 5, Boot: 2}}
	l.receive(commit)
	assert.Assert(t, l.receive(commit) == nil, "the worker has not confirmed the start")
	l.step(TaskStarted{Worker: "w00", Epoch: 5, Attempt: id})
	started, ok := l.receive(commit).(message.Started)
	assert.Assert(t, ok)
	assert.Equal(t, started.Attempt, id)
}
