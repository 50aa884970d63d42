package core

import (
	"time"

	"github.com/fulmarlatch/fulmarlatch/internal/api"
	"github.com/fulmarlatch/fulmarlatch/internal/fault"
	"github.com/fulmarlatch/fulmarlatch/internal/message"
	"github.com/fulmarlatch/fulmarlatch/internal/queue"
	"github.com/fulmarlatch/fulmarlatch/internal/record"
)

// attemptPhase is the state of an attempt as its coordinator sees it.
type attemptPhase int

const (
	attemptUnplaced  attemptPhase = iota // no holder has been asked, or the last one refused
	attemptReserving                     // waits for a holder's response to Reserve
	attemptReserved                      // has a reservation
	attemptLogging                       // waits until its start record is read
	attemptCommitted                     // Commit was sent; may run
	attemptRunning                       // runs
	attemptStranded                      // may run; its holder is unknown
	attemptClosing                       // has ended; waits until its end record is read
)

// attempt is one attempt to run a task, as its coordinator sees it.
type attempt struct {
	id             api.AttemptID
	job            *job
	item           queue.Item
	gang           *gangPlacement // set until the gang starts
	group          []*attempt     // all attempts of a gang that starts as a whole
	logged         bool           // the start record was read
	phase          attemptPhase
	holder         api.EntryRef
	placement      message.Placement
	announcedEpoch uint64    // highest epoch of the worker that a holder announced
	since          time.Time // when the holder was asked, or it was committed or stranded
	started        time.Time
	tried          []string // names of the holders asked so far
	preempted      bool     // a holder was asked to preempt others for it
	cancelled      bool
	charged        bool // its use is charged to its class and workspace
	end            *record.End
}

// isBound reports whether the attempt is bound to a worker. It may then run, or start
// later, so it is cancelled instead of abandoned.
func (a *attempt) isBound() bool { return a.phase >= attemptLogging }

// taskRef identifies a task.
type taskRef struct {
	jobID  string
	number int
}

// attemptTable holds the attempts that this process coordinates.
type attemptTable struct {
	byID              map[api.AttemptID]*attempt
	byTask            map[taskRef]*attempt
	byWorker          map[string]map[api.AttemptID]*attempt
	reserving         map[api.AttemptID]*attempt
	stranded          map[api.AttemptID]*attempt
	workspaceUse      map[string]api.Resources
	delayed           []delayedItem
	placementFailures int // tasks and gangs that fitted nowhere, since the last tick
}

func newAttemptTable() attemptTable {
	return attemptTable{
		byID:         make(map[api.AttemptID]*attempt),
		byTask:       make(map[taskRef]*attempt),
		byWorker:     make(map[string]map[api.AttemptID]*attempt),
		reserving:    make(map[api.AttemptID]*attempt),
		stranded:     make(map[api.AttemptID]*attempt),
		workspaceUse: make(map[string]api.Resources),
	}
}

func (t *attemptTable) add(a *attempt) {
	t.byID[a.id] = a
	t.byTask[taskRef{a.id.Job, a.id.Task}] = a
}

func (t *attemptTable) remove(a *attempt) {
	delete(t.byID, a.id)
	ref := taskRef{a.id.Job, a.id.Task}
	if t.byTask[ref] == a {
		delete(t.byTask, ref)
	}
	delete(t.reserving, a.id)
	delete(t.stranded, a.id)
	t.unbind(a)
}

// bind records the worker on which an attempt may run.
func (t *attemptTable) bind(a *attempt) {
	attempts := t.byWorker[a.placement.Worker]
	if attempts == nil {
		attempts = make(map[api.AttemptID]*attempt)
		t.byWorker[a.placement.Worker] = attempts
	}
	attempts[a.id] = a
}

func (t *attemptTable) unbind(a *attempt) {
	attempts := t.byWorker[a.placement.Worker]
	delete(attempts, a.id)
	if len(attempts) == 0 {
		delete(t.byWorker, a.placement.Worker)
	}
}

// newAttempt creates the next attempt of a waiting task. The task's attempt counter
// changes only when the attempt may run.
func (c *Core) newAttempt(j *job, it queue.Item, number int) *attempt {
	a := &attempt{
		id:   api.AttemptID{Job: j.spec.ID, Task: number, Number: j.tasks[number].attempts + 1},
		job:  j,
		item: it,
	}
	c.attempts.add(a)
	return a
}

// startReserved starts a reserved attempt: it commits the attempt, or first appends the
// start record if the job is logged.
func (c *Core) startReserved(a *attempt) {
	a.tried = nil
	c.attempts.bind(a)
	c.chargeUse(a)
	t := &a.job.tasks[a.id.Task]
	t.phase = taskActive
	t.attempts = a.id.Number
	t.placement = placementRef{a.placement.Worker, a.placement.Epoch, a.placement.Boot}
	if !a.job.spec.Kind.Logged() {
		c.commit(a)
		return
	}
	a.phase = attemptLogging
	c.append(record.Record{Start: &record.Start{
		Attempt: a.id, Worker: a.placement.Worker, Epoch: a.placement.Epoch, Boot: a.placement.Boot,
	}})
}

// chargeUse charges the attempt's resources to its class and workspace.
func (c *Core) chargeUse(a *attempt) {
	if a.charged {
		return
	}
	a.charged = true
	it := a.taskItem()
	c.queue.Started(c.now, it)
	workspace := a.job.spec.Workspace
	c.attempts.workspaceUse[workspace] = c.attempts.workspaceUse[workspace].Add(a.job.spec.Resources)
}

// releaseUse reverts chargeUse.
func (c *Core) releaseUse(a *attempt) {
	if !a.charged {
		return
	}
	a.charged = false
	ran := time.Duration(0)
	if !a.started.IsZero() {
		ran = c.now.Sub(a.started)
	}
	c.queue.Finished(c.now, a.taskItem(), ran)
	workspace := a.job.spec.Workspace
	left := c.attempts.workspaceUse[workspace].Sub(a.job.spec.Resources)
	if left == (api.Resources{}) {
		delete(c.attempts.workspaceUse, workspace)
		return
	}
	c.attempts.workspaceUse[workspace] = left
}

// taskItem returns the queue item of the attempt's task alone; the item of a gang
// covers all tasks.
func (a *attempt) taskItem() queue.Item {
	it := a.item
	it.Key.Task = a.id.Task
	it.Tasks = 1
	return it
}

// commit asks the holder to start the attempt.
func (c *Core) commit(a *attempt) {
	a.phase = attemptCommitted
	a.since = c.now
	c.counters.Commits++
	if !c.isUp(a.holder) {
		c.strand(a)
		return
	}
	c.send(a.holder, message.Commit{Placement: a.placement, Payload: a.job.spec.Payload})
}

func (c *Core) attemptStarted(id api.AttemptID) {
	a := c.attempts.byID[id]
	if a == nil || a.phase != attemptCommitted && a.phase != attemptStranded {
		return
	}
	delete(c.attempts.stranded, id)
	c.markRunning(a)
}

func (c *Core) markRunning(a *attempt) {
	a.phase = attemptRunning
	if a.started.IsZero() {
		a.started = c.now
	}
	if a.job.started.IsZero() {
		a.job.started = c.now
	}
	a.job.ran = true
	if a.cancelled {
		c.send(a.holder, message.CancelAttempt{Attempt: a.id, Worker: a.placement.Worker})
	}
}

// attemptRefused handles the refusal of a commit: the attempt certainly did not start.
func (c *Core) attemptRefused(m message.StartRefused) {
	a := c.attempts.byID[m.Attempt]
	if a == nil || a.phase < attemptCommitted || a.phase == attemptClosing {
		return
	}
	c.finishAttempt(a, result{outcome: api.OutcomeNotRun, reason: m.Reason})
}

// attemptEnded handles a holder's report that an attempt ended. Reports on attempts
// that this process does not track have no effect on the task.
func (c *Core) attemptEnded(from api.EntryRef, r api.TaskReport) {
	a := c.attempts.byID[r.Spec.Attempt]
	if a == nil {
		c.acknowledgeUnknown(from, r.Spec)
		return
	}
	if a.phase < attemptCommitted || a.phase == attemptClosing {
		return
	}
	a.holder = from
	if a.started.IsZero() {
		c.markRunning(a)
	}
	res := result{outcome: r.Outcome, body: r.Body, interrupted: wasInterrupted(r)}
	if r.Outcome != api.OutcomeCompleted {
		res.reason = fault.New(fault.TaskFailed, "the task failed: "+r.Error, "see the upstream's logs")
	}
	if r.Length > 0 && len(r.Body) == 0 && r.Outcome == api.OutcomeCompleted && !a.job.spec.Kind.Logged() {
		res.outcome = api.OutcomeUnknown
		res.reason = errAnswerDropped(a.job.spec.ID)
	}
	c.finishAttempt(a, res)
}

// acknowledgeUnknown acknowledges the end of an attempt that this process does not
// track. It leaves a logged attempt unacknowledged while its job may still be adopted
// here.
func (c *Core) acknowledgeUnknown(from api.EntryRef, spec api.TaskSpec) {
	if spec.Kind.Logged() {
		isUnknown := c.jobs.byID[spec.Attempt.Job] == nil && c.caughtUp
		if !isUnknown && !c.hasLoggedEnd(spec.Attempt) {
			return
		}
	}
	c.send(from, message.Acknowledge{Attempts: []api.AttemptID{spec.Attempt}})
}

// taskAt returns a task of the job, or nil if the number is out of range.
func (j *job) taskAt(number int) *task {
	if number < 0 || number >= len(j.tasks) {
		return nil
	}
	return &j.tasks[number]
}

// abandon drops an attempt that is not bound to a worker, or its whole gang. It
// requeues nothing.
func (c *Core) abandon(a *attempt) {
	if a.gang != nil {
		c.abandonGang(a.gang)
		return
	}
	c.abandonOne(a)
}

func (c *Core) abandonOne(a *attempt) {
	if a.phase == attemptReserving || a.phase == attemptReserved {
		c.send(a.holder, message.Release{Attempts: []api.AttemptID{a.id}})
	}
	c.attempts.remove(a)
}

// holderDown handles the attempts whose holder is down.
func (c *Core) holderDown(ref api.EntryRef) {
	atHolder := func(a *attempt) bool { return a.holder == ref }
	for _, a := range sortedAttempts(c.attempts.byID, atHolder) {
		switch a.phase {
		case attemptReserving:
			c.tryNextHolder(a)
		case attemptCommitted, attemptRunning:
			c.strand(a)
		}
	}
}

// strandWorker strands the attempts on a worker whose lease the holder lost.
func (c *Core) strandWorker(worker string, holder api.EntryRef) {
	for _, a := range sortedAttempts(c.attempts.byWorker[worker], anyAttempt) {
		if a.holder == holder && (a.phase == attemptCommitted || a.phase == attemptRunning) {
			c.strand(a)
		}
	}
}

// strand marks an attempt whose holder is unknown. queryStranded queries all entry
// processes for it.
func (c *Core) strand(a *attempt) {
	a.phase = attemptStranded
	a.since = c.now
	c.attempts.stranded[a.id] = a
	c.counters.Stranded++
}

// leaseAcquired queries the new holder of a worker for the attempts that this process
// coordinates there.
func (c *Core) leaseAcquired(from api.EntryRef, m message.LeaseAcquired) {
	for _, a := range sortedAttempts(c.attempts.byWorker[m.Worker], anyAttempt) {
		if a.placement.Epoch >= m.Epoch && a.placement.Boot == m.Boot && a.phase != attemptStranded {
			continue
		}
		if a.phase == attemptCommitted || a.phase == attemptRunning {
			c.strand(a)
		}
		if a.phase == attemptStranded {
			a.announcedEpoch = max(a.announcedEpoch, m.Epoch)
			c.query(from, a)
		}
	}
}

func (c *Core) query(to api.EntryRef, a *attempt) {
	c.send(to, message.QueryAttempt{
		Attempt: a.id, Worker: a.placement.Worker, Epoch: max(a.placement.Epoch, a.announcedEpoch), Boot: a.placement.Boot,
		CoordinatorOffset: a.job.coordinatorOffset,
	})
}

// strandedLimit is how long the holders are queried for an unlogged attempt. It is
// less than endedRetention, so that a holder that has dropped the end of an attempt
// never reports that the attempt did not run.
const strandedLimit = 5 * time.Minute

// queryStranded queries all entry processes for the stranded attempts.
func (c *Core) queryStranded() {
	for _, a := range sortedAttempts(c.attempts.stranded, anyAttempt) {
		if !a.job.spec.Kind.Logged() && c.now.Sub(a.since) >= strandedLimit {
			c.finishAttempt(a, result{outcome: api.OutcomeUnknown, reason: errOutcomeLost(a.id.Job)})
			continue
		}
		c.query(c.cfg.Self, a)
		for _, name := range sortedKeys(c.members.peers) {
			c.query(c.members.peers[name].ref, a)
		}
	}
	c.deliverLocal()
}

// attemptState handles a holder's answer about a stranded attempt.
func (c *Core) attemptState(from api.EntryRef, m message.AttemptState) {
	a := c.attempts.byID[m.Attempt]
	if a == nil {
		return
	}
	isAtHolder := a.phase == attemptCommitted || a.phase == attemptRunning
	if m.Status == message.AttemptNotHeld && a.holder == from && isAtHolder {
		c.strand(a)
	}
	if a.phase != attemptStranded {
		return
	}
	switch m.Status {
	case message.AttemptRunning:
		if m.Placement.Boot == a.placement.Boot && m.Placement.Epoch < a.announcedEpoch {
			return // the holder has lost its lease to a later one
		}
		delete(c.attempts.stranded, a.id)
		a.holder = from
		a.placement = m.Placement
		c.markRunning(a)
	case message.AttemptVoid:
		c.finishAttempt(a, result{outcome: api.OutcomeNotRun, reason: errStartLost()})
	case message.AttemptLost:
		c.finishAttempt(a, result{outcome: api.OutcomeUnknown, reason: errWorkerRestarted(a.placement.Worker)})
	}
}

// workerGone ends all attempts on a worker that no longer exists.
func (c *Core) workerGone(name string) {
	for _, a := range sortedAttempts(c.attempts.byWorker[name], anyAttempt) {
		if a.phase == attemptCommitted || a.phase == attemptRunning || a.phase == attemptStranded {
			c.finishAttempt(a, result{outcome: api.OutcomeUnknown, reason: errWorkerGone(name)})
		}
	}
}
