package core

import (
	"slices"
	"time"

	"github.com/fulmarlatch/fulmarlatch/internal/api"
	"github.com/fulmarlatch/fulmarlatch/internal/fault"
	"github.com/fulmarlatch/fulmarlatch/internal/message"
	"github.com/fulmarlatch/fulmarlatch/internal/record"
)

// applyRecord applies the next record of the work stream. All processes read the same
// records in the same order, so they agree on the coordinator of a job and on the
// state of its tasks.
func (c *Core) applyRecord(offset uint64, r record.Record) {
	if c.logGap || r.Sequence <= c.jobs.read[r.Writer] {
		return // after a gap in the log, or a repeated append
	}
	c.jobs.read[r.Writer] = r.Sequence
	switch {
	case r.Claim != nil:
		c.applyClaim(r.Writer, *r.Claim)
	case r.Accept != nil:
		c.applyAccept(offset, r.Writer, *r.Accept)
	case r.Start != nil:
		c.applyStart(r.Writer, *r.Start)
	case r.End != nil:
		c.applyEnd(r.Writer, *r.End)
	case r.Adopt != nil:
		c.applyAdopt(offset, r.Writer, *r.Adopt)
	case r.Cancel != nil:
		c.applyCancel(r.Cancel.JobID)
	}
}

// claimKey assigns a key to the first job that claims it in the log, and reports
// whether jobID is that job.
func (c *Core) claimKey(writer api.EntryRef, workspace, key, jobID string) bool {
	ref := keyRef{workspace, key}
	k := c.jobs.keys[ref]
	if k != nil && k.logged {
		return k.jobID == jobID
	}
	c.jobs.keys[ref] = &claim{jobID: jobID, owner: writer, readAt: c.now, logged: true}
	return true
}

func (c *Core) applyClaim(writer api.EntryRef, m record.Claim) {
	won := c.claimKey(writer, m.Workspace, m.Key, m.JobID)
	j := c.jobs.byID[m.JobID]
	if writer != c.cfg.Self || j == nil || j.phase != phaseLogging {
		return
	}
	if !won {
		c.loseKey(j)
		return
	}
	c.openJob(j)
}

// loseKey ends a job whose key another job claimed first, and moves its waiters to
// that job.
func (c *Core) loseKey(j *job) {
	for _, it := range j.items() {
		c.queue.Cancel(it.Key)
	}
	delete(c.jobs.byID, j.spec.ID)
	delete(c.jobs.logging, j.spec.ID)
	waiters := j.waiters
	j.waiters = nil
	j.phase = phaseDone
	j.final = &api.Answer{JobID: j.spec.ID, Outcome: api.OutcomeNotRun, Error: errKeyTaken()}
	for _, w := range waiters {
		if w.from != c.cfg.Self {
			c.reply(w, *j.final)
			continue
		}
		delete(c.requests.jobs, w.token)
		c.submitKeyed(w, j.spec)
	}
}

func errKeyTaken() *fault.Error {
	return fault.New(fault.Conflict, "another request claimed the idempotency key first", "send the request again to receive the answer of the first one")
}

// openJob allows the tasks of a job to run once its claim or accept record was
// read.
func (c *Core) openJob(j *job) {
	j.phase = phaseOpen
	delete(c.jobs.logging, j.spec.ID)
	parked := j.parked
	j.parked = nil
	for _, it := range parked {
		c.queue.Requeue(c.now, it)
	}
}

func (c *Core) applyAccept(offset uint64, writer api.EntryRef, m record.Accept) {
	// 0 is a valid coordinator offset, so the first record is recognised by its lack of
	// progress.
	isFirst := len(m.Tasks) == 0
	coordinatorOffset := m.CoordinatorOffset
	if isFirst {
		coordinatorOffset = offset
	}
	j := c.jobs.byID[m.Job.ID]
	if j != nil && j.phase != phaseLogging {
		c.readProgress(j, writer, coordinatorOffset, m)
		return
	}
	if j == nil && !isFirst && c.caughtUp {
		return // a replaced coordinator wrote this; the job has ended and was dropped
	}
	if m.Job.Key != "" && !c.claimKey(writer, m.Job.Workspace, m.Job.Key, m.Job.ID) {
		if j != nil && writer == c.cfg.Self {
			c.loseKey(j)
		}
		return
	}
	if j == nil {
		j = newJob(m.Job, writer, c.now)
		if m.Job.DeadlineMS > 0 {
			// Relative to now, which is later than the submission.
			j.deadline = c.now.Add(m.Job.Deadline())
		}
		j.keepAnswer = true
		c.jobs.byID[m.Job.ID] = j
		j.applyProgress(m.Tasks)
		j.cancelled = m.Cancelled
	}
	j.refreshed = c.now
	c.jobs.setCoordinator(j, writer, coordinatorOffset)
	c.openJob(j)
	c.answerAccepted(j)
	c.finishIfDone(j)
}

// answerAccepted answers the callers that submitted the job: it is in the log.
func (c *Core) answerAccepted(j *job) {
	waiters := j.waiters
	j.waiters = nil
	for _, w := range waiters {
		c.reply(w, j.progress())
	}
}

// readProgress applies a later copy of a job's accept record. It replaces the state of
// the tasks only if its writer became the coordinator later than the one known here.
func (c *Core) readProgress(j *job, writer api.EntryRef, coordinatorOffset uint64, m record.Accept) {
	if j.phase == phaseDone {
		return
	}
	if coordinatorOffset > j.coordinatorOffset {
		j.applyProgress(m.Tasks)
		j.cancelled = j.cancelled || m.Cancelled
		c.changeOwner(j, writer, coordinatorOffset)
	}
	j.refreshed = c.now
	c.finishIfDone(j)
}

// applyProgress sets the state of a job's tasks from a later copy of its accept record.
func (j *job) applyProgress(progress []record.TaskProgress) {
	if len(progress) != len(j.tasks) {
		return
	}
	j.unfinished = 0
	for i, p := range progress {
		t := &j.tasks[i]
		*t = task{attempts: p.Attempts, outcome: p.Outcome, placement: placementRef{p.Worker, p.Epoch, p.Boot}}
		switch {
		case p.Outcome != "":
			t.phase = taskDone
			t.answerUnknown = true
		case p.Started:
			t.phase = taskActive
		}
		if p.Attempts > 0 {
			j.ran = true
		}
		if t.phase != taskDone {
			j.unfinished++
		}
	}
}

// applyStart applies a start record. The record has no effect unless its writer is the
// coordinator at this offset, so that a process that was replaced during a pause
// cannot start tasks.
func (c *Core) applyStart(writer api.EntryRef, m record.Start) {
	j := c.jobs.byID[m.Attempt.Job]
	if j == nil || j.coordinator != writer || j.phase == phaseDone {
		return
	}
	t := j.taskAt(m.Attempt.Task)
	if t == nil || t.phase == taskDone {
		return
	}
	t.phase = taskActive
	t.attempts = m.Attempt.Number
	t.placement = placementRef{m.Worker, m.Epoch, m.Boot}
	j.ran = true
	if writer != c.cfg.Self {
		return
	}
	a := c.attempts.byID[m.Attempt]
	if a == nil || a.phase != attemptLogging {
		return
	}
	a.logged = true
	switch {
	case a.group != nil:
		c.commitGang(a.group)
	case j.cancelled:
		c.voidLogged(a, errCancelled())
	default:
		c.commit(a)
	}
}

// voidLogged ends an attempt that has a start record but was not committed.
func (c *Core) voidLogged(a *attempt, reason *fault.Error) {
	c.send(a.holder, message.Release{Attempts: []api.AttemptID{a.id}})
	c.finishAttempt(a, result{outcome: api.OutcomeNotRun, reason: reason})
}

func (c *Core) applyEnd(writer api.EntryRef, m record.End) {
	j := c.jobs.byID[m.Attempt.Job]
	if j == nil || j.coordinator != writer || j.phase == phaseDone {
		return
	}
	t := j.taskAt(m.Attempt.Task)
	if t == nil || t.phase == taskDone || t.attempts != m.Attempt.Number {
		return
	}
	a := c.attempts.byID[m.Attempt]
	// The coordinator may have decided to retry before it read the cancellation.
	m.Retry = m.Retry && !j.cancelled
	if m.Retry {
		t.phase = taskWaiting
	} else {
		t.phase = taskDone
		t.outcome = m.Outcome
		t.body = m.Body
		t.omitted = m.OmittedBytes
		j.unfinished--
	}
	if a != nil && a.phase == attemptClosing {
		c.closeAttempt(a, m)
	}
	c.stopHeldIfEnded(m.Attempt)
	c.finishIfDone(j)
}

// closeAttempt removes an attempt of this process whose end record was read, and
// queues the task again if the record says so.
func (c *Core) closeAttempt(a *attempt, m record.End) {
	c.attempts.remove(a)
	if m.Outcome != api.OutcomeNotRun {
		c.send(a.holder, message.Acknowledge{Attempts: []api.AttemptID{a.id}})
	}
	if m.Retry {
		c.requeue(a.job, a.taskItem(), result{outcome: m.Outcome})
	}
}

// applyCancel cancels a logged job. The coordinator also stops the running attempts.
func (c *Core) applyCancel(id string) {
	j := c.jobs.byID[id]
	if j == nil || j.phase == phaseDone || j.cancelled {
		return
	}
	j.cancelled = true
	if j.coordinator == c.cfg.Self {
		c.cancelTasks(j)
		return
	}
	for i := range j.tasks {
		if j.tasks[i].phase == taskWaiting {
			c.finishTask(j, i, api.OutcomeNotRun)
		}
	}
	c.finishIfDone(j)
}

// refreshJobs appends the unfinished logged jobs of this process again before the log
// drops the earlier copies. After a pause it first waits for resumeGrace.
func (c *Core) refreshJobs() {
	if !c.logUp || c.logGap || c.now.Sub(c.resumedAt) < min(resumeGrace, c.cfg.RefreshInterval/2) {
		return
	}
	mine := c.jobs.byCoordinator[c.cfg.Self]
	var due []string
	for id, j := range mine {
		age := c.now.Sub(j.refreshed)
		if age >= c.cfg.RefreshInterval && age >= c.cfg.RefreshInterval+c.refreshSpread(j) {
			due = append(due, id)
		}
	}
	slices.Sort(due)
	for _, id := range due {
		j := mine[id]
		j.refreshed = c.now
		c.append(record.Record{Accept: &record.Accept{Job: j.spec, CoordinatorOffset: j.coordinatorOffset, Tasks: c.taskProgress(j), Cancelled: j.cancelled}})
	}
}

// refreshSpread returns up to a quarter of the refresh interval, depending on the job
// ID, so that jobs that were accepted together are not appended again together.
func (c *Core) refreshSpread(j *job) time.Duration {
	return time.Duration(rendezvousScore(j.spec.ID, "") % uint64(c.cfg.RefreshInterval/4+1))
}

// taskProgress returns the state of the tasks after all records that this process has
// appended, including those that were not read yet: a process that starts later may
// read the copy of the job but not the records before it.
func (c *Core) taskProgress(j *job) []record.TaskProgress {
	list := make([]record.TaskProgress, len(j.tasks))
	for i, t := range j.tasks {
		list[i] = record.TaskProgress{Attempts: t.attempts, Outcome: t.outcome}
		if a := c.attempts.byTask[taskRef{j.spec.ID, i}]; a != nil && a.phase == attemptClosing {
			if !a.end.Retry {
				list[i].Outcome = a.end.Outcome
			}
			continue
		}
		if t.phase == taskActive {
			list[i].Started = true
			list[i].Worker, list[i].Epoch, list[i].Boot = t.placement.worker, t.placement.epoch, t.placement.boot
		}
	}
	return list
}
