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
	attemptRefused   attemptPhase = iota // looks for a holder
	attemptReserving                     // a holder was asked
	attemptReserved                      // has a place
	attemptLogging                       // waits for its start record
	attemptCommitted                     // may run
	attemptRunning                       // runs
	attemptStranded                      // may run; its holder is lost
	attemptClosing                       // is over; waits for its end record
)

// attempt is one try to run a task, seen by the coordinator.
type attempt struct {
	id        api.AttemptID
	job       *job
	item      queue.Item
	gang      *gang      // while the gang looks for room
	group     []*attempt // of a gang that starts as a whole, this one included
	logged    bool       // its start record was read
	phase     attemptPhase
	holder    api.EntryRef
	place     message.Place
	granted   uint64 // latest epoch of the worker that a holder announced
	since     time.Time
	started   time.Time
	tried     []string // names of holders, while it looks for room
	preempted bool
	cancelled bool
	counted   bool // in the use of the class and the workspace
	end       *record.End
}

func (a *attempt) isCommitted() bool { return a.phase >= attemptLogging }

// taskRef names a task.
type taskRef struct {
	jobID  string
	number int
}

// attemptTable holds the attempts that this process coordinates.
type attemptTable struct {
	byID         map[api.AttemptID]*attempt
	byTask       map[taskRef]*attempt
	byWorker     map[string]map[api.AttemptID]*attempt
	reserving    map[api.AttemptID]*attempt
	stranded     map[api.AttemptID]*attempt
	workspaceUse map[string]api.Resources
	delayed      []delayedItem
	failures     int // tasks without room since the last tick
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
	t.leaveWorker(a)
}

// bind notes the worker on which a committed attempt may run.
func (t *attemptTable) bind(a *attempt) {
	on := t.byWorker[a.place.Worker]
	if on == nil {
		on = make(map[api.AttemptID]*attempt)
		t.byWorker[a.place.Worker] = on
	}
	on[a.id] = a
}

func (t *attemptTable) leaveWorker(a *attempt) {
	on := t.byWorker[a.place.Worker]
	delete(on, a.id)
	if len(on) == 0 {
		delete(t.byWorker, a.place.Worker)
	}
}

// newAttempt makes the next attempt of a waiting task. Its number counts only
// once the attempt may run.
func (c *Core) newAttempt(j *job, it queue.Item, number int) *attempt {
	a := &attempt{
		id:   api.AttemptID{Job: j.spec.ID, Task: number, Number: j.tasks[number].attempts + 1},
		job:  j,
		item: it,
	}
	c.attempts.add(a)
	return a
}

// proceed commits a reserved attempt, after its start record for a logged job.
func (c *Core) proceed(a *attempt) {
	a.tried = nil
	c.attempts.bind(a)
	c.count(a)
	t := &a.job.tasks[a.id.Task]
	t.phase = taskActive
	t.attempts = a.id.Number
	t.place = placeRef{a.place.Worker, a.place.Epoch, a.place.Boot}
	if !a.job.spec.Kind.Logged() {
		c.commit(a)
		return
	}
	a.phase = attemptLogging
	c.append(record.Record{Start: &record.Start{
		Attempt: a.id, Worker: a.place.Worker, Epoch: a.place.Epoch, Boot: a.place.Boot,
	}})
}

// count adds the attempt to the use of its class and workspace.
func (c *Core) count(a *attempt) {
	if a.counted {
		return
	}
	a.counted = true
	it := a.unit()
	c.queue.Started(c.now, it)
	workspace := a.job.spec.Workspace
	c.attempts.workspaceUse[workspace] = c.attempts.workspaceUse[workspace].Add(a.job.spec.Resources)
}

func (c *Core) uncount(a *attempt) {
	if !a.counted {
		return
	}
	a.counted = false
	ran := time.Duration(0)
	if !a.started.IsZero() {
		ran = c.now.Sub(a.started)
	}
	c.queue.Finished(c.now, a.unit(), ran)
	workspace := a.job.spec.Workspace
	left := c.attempts.workspaceUse[workspace].Sub(a.job.spec.Resources)
	if left == (api.Resources{}) {
		delete(c.attempts.workspaceUse, workspace)
		return
	}
	c.attempts.workspaceUse[workspace] = left
}

// unit returns the queue item of this one task; a gang's item covers all tasks.
func (a *attempt) unit() queue.Item {
	it := a.item
	it.Key.Task = a.id.Task
	it.Tasks = 1
	return it
}

func (c *Core) commit(a *attempt) {
	a.phase = attemptCommitted
	a.since = c.now
	c.counters.Commits++
	if !c.isUp(a.holder) {
		c.strand(a)
		return
	}
	c.send(a.holder, message.Commit{Place: a.place, Payload: a.job.spec.Payload})
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
		c.send(a.holder, message.CancelAttempt{Attempt: a.id, Worker: a.place.Worker})
	}
}

// attemptRefused handles a commit that is proved not to have started.
func (c *Core) attemptRefused(m message.StartRefused) {
	a := c.attempts.byID[m.Attempt]
	if a == nil || a.phase < attemptCommitted || a.phase == attemptClosing {
		return
	}
	c.attemptOver(a, result{outcome: api.OutcomeNotRun, reason: m.Reason})
}

// attemptEnded handles a holder's report on an ended attempt. Only the report on
// the task's present attempt counts.
func (c *Core) attemptEnded(from api.EntryRef, r api.TaskReport) {
	a := c.attempts.byID[r.Spec.Attempt]
	if a == nil {
		c.acknowledgeStray(from, r.Spec)
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
	c.attemptOver(a, res)
}

// acknowledgeStray lets a worker forget an attempt that nobody waits for. The end
// of a logged attempt is kept while its job may still be adopted here.
func (c *Core) acknowledgeStray(from api.EntryRef, spec api.TaskSpec) {
	if spec.Kind.Logged() {
		isForgotten := c.jobs.byID[spec.Attempt.Job] == nil && c.caughtUp
		if !isForgotten && !c.isClosed(spec.Attempt) {
			return
		}
	}
	c.send(from, message.Acknowledge{Attempts: []api.AttemptID{spec.Attempt}})
}

func (j *job) taskAt(number int) *task {
	if number < 0 || number >= len(j.tasks) {
		return nil
	}
	return &j.tasks[number]
}

// abandon gives up an attempt that was never committed and requeues nothing.
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

// holderDown reacts to the loss of an entry process that holds attempts.
func (c *Core) holderDown(ref api.EntryRef) {
	atHolder := func(a *attempt) bool { return a.holder == ref }
	for _, a := range sortedAttempts(c.attempts.byID, atHolder) {
		switch a.phase {
		case attemptReserving:
			c.leaveHolder(a)
		case attemptCommitted, attemptRunning:
			c.strand(a)
		}
	}
}

// strandWorker marks the attempts on a worker whose holder lost the lease.
func (c *Core) strandWorker(worker string, holder api.EntryRef) {
	for _, a := range sortedAttempts(c.attempts.byWorker[worker], anyAttempt) {
		if a.holder == holder && (a.phase == attemptCommitted || a.phase == attemptRunning) {
			c.strand(a)
		}
	}
}

func (c *Core) strand(a *attempt) {
	a.phase = attemptStranded
	a.since = c.now
	c.attempts.stranded[a.id] = a
	c.counters.Stranded++
}

// workerHeld asks the new holder of a worker for this process's attempts on it.
func (c *Core) workerHeld(from api.EntryRef, m message.WorkerHeld) {
	for _, a := range sortedAttempts(c.attempts.byWorker[m.Worker], anyAttempt) {
		if a.place.Epoch >= m.Epoch && a.place.Boot == m.Boot && a.phase != attemptStranded {
			continue
		}
		if a.phase == attemptCommitted || a.phase == attemptRunning {
			c.strand(a)
		}
		if a.phase == attemptStranded {
			a.granted = max(a.granted, m.Epoch)
			c.query(from, a)
		}
	}
}

func (c *Core) query(to api.EntryRef, a *attempt) {
	c.send(to, message.QueryAttempt{
		Attempt: a.id, Worker: a.place.Worker, Epoch: max(a.place.Epoch, a.granted), Boot: a.place.Boot,
		Claim: a.job.claim,
	})
}

// strandedLimit is how long an unlogged attempt is looked for. It is less than
// endedRetention, so that a holder never says that an attempt did not run after
// it has forgotten the attempt's end.
const strandedLimit = 5 * time.Minute

// queryStranded asks all holders for attempts whose holder is lost.
func (c *Core) queryStranded() {
	for _, a := range sortedAttempts(c.attempts.stranded, anyAttempt) {
		if !a.job.spec.Kind.Logged() && c.now.Sub(a.since) >= strandedLimit {
			c.attemptOver(a, result{outcome: api.OutcomeUnknown, reason: errForgotten(a.id.Job)})
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
		if m.Place.Boot == a.place.Boot && m.Place.Epoch < a.granted {
			return // the holder has lost its lease since
		}
		delete(c.attempts.stranded, a.id)
		a.holder = from
		a.place = m.Place
		c.markRunning(a)
	case message.AttemptVoid:
		c.attemptOver(a, result{outcome: api.OutcomeNotRun, reason: errStartLost()})
	case message.AttemptLost:
		c.attemptOver(a, result{outcome: api.OutcomeUnknown, reason: errWorkerRestarted(a.place.Worker)})
	}
}

// workerGone ends all attempts on a worker that no longer exists.
func (c *Core) workerGone(name string) {
	for _, a := range sortedAttempts(c.attempts.byWorker[name], anyAttempt) {
		if a.phase == attemptCommitted || a.phase == attemptRunning || a.phase == attemptStranded {
			c.attemptOver(a, result{outcome: api.OutcomeUnknown, reason: errWorkerGone(name)})
		}
	}
}
