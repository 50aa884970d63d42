package core

import (
	"maps"
	"slices"
	"time"

	"github.com/fulmarlatch/fulmarlatch/internal/api"
	"github.com/fulmarlatch/fulmarlatch/internal/message"
	"github.com/fulmarlatch/fulmarlatch/internal/record"
)

// adoptJobs takes over logged jobs whose coordinator is gone or stopping. Each
// job has one preferred adopter; if two processes try, the first record by offset
// wins. This is the adopt step of spec/claim.pml.
func (c *Core) adoptJobs() {
	if !c.Ready() || !c.logUp || !c.caughtUp {
		return
	}
	list := c.candidates()
	for _, owner := range slices.SortedFunc(maps.Keys(c.jobs.byOwner), compareRefs) {
		if !c.isAdoptable(owner) {
			continue
		}
		jobs := c.jobs.byOwner[owner]
		for _, id := range sortedKeys(jobs) {
			j := jobs[id]
			if c.mayAdopt(j, list) && c.now.Sub(j.adoptTried) >= adoptInterval {
				j.adoptTried = c.now
				c.append(record.Record{Adopt: &record.Adopt{JobID: j.spec.ID, Replaces: j.claim}})
			}
		}
	}
}

const (
	// adoptInterval is the pause before an adoption is tried again.
	adoptInterval = 5 * time.Second
	// adoptPatience is how long the second choice waits for the preferred adopter,
	// which may not reach the log, or may have started after the log dropped the
	// job's records. All others wait for twice as long.
	adoptPatience = 15 * time.Second
)

// mayAdopt reports whether it is this process's turn to adopt the job.
func (c *Core) mayAdopt(j *job, list []candidate) bool {
	if j.adoptable.IsZero() {
		j.adoptable = c.now
	}
	waited := c.now.Sub(j.adoptable)
	first, second := choose(list, j.spec.ID, "")
	switch c.cfg.Self {
	case first:
		return true
	case second:
		return waited >= adoptPatience
	}
	return waited >= 2*adoptPatience
}

// isAdoptable reports whether a coordinator's jobs may be taken over.
func (c *Core) isAdoptable(owner api.EntryRef) bool {
	if owner == c.cfg.Self {
		return false
	}
	if c.isUp(owner) {
		return c.isStopping(owner)
	}
	since, ok := c.members.downSince[owner]
	if !ok {
		c.members.downSince[owner] = c.now
		return false
	}
	return c.now.Sub(since) >= c.policy.timing.orphanGrace
}

func (c *Core) readAdopt(offset uint64, writer api.EntryRef, m record.Adopt) {
	j := c.jobs.byID[m.JobID]
	if j == nil || j.phase == phaseDone || j.claim != m.Replaces {
		return
	}
	c.changeOwner(j, writer, offset)
}

// changeOwner moves a logged job to another coordinator.
func (c *Core) changeOwner(j *job, owner api.EntryRef, claim uint64) {
	wasMine := j.owner == c.cfg.Self
	c.jobs.setOwner(j, owner, claim)
	switch {
	case owner == c.cfg.Self && !wasMine:
		c.takeOver(j)
	case owner != c.cfg.Self && wasMine:
		c.giveUp(j)
	}
}

// takeOver starts to coordinate a job. Attempts that the log names as started are
// asked for at their holders before anything else is attempted.
func (c *Core) takeOver(j *job) {
	c.counters.Adopted++
	c.logEvent("job_adopted", Field{"job", j.spec.ID})
	gangWaits := j.spec.Kind == api.KindGang
	for i := range j.tasks {
		gangWaits = gangWaits && j.tasks[i].phase == taskWaiting
	}
	if gangWaits {
		c.queue.Requeue(c.now, j.item(gangTask, true))
		return
	}
	for i := range j.tasks {
		switch j.tasks[i].phase {
		case taskWaiting:
			c.queue.Requeue(c.now, j.item(i, true))
		case taskActive:
			c.lookFor(j, i)
		}
	}
	if j.cancelled {
		c.cancelTasks(j)
	}
}

// lookFor makes a stranded attempt of a task that the log names as started.
func (c *Core) lookFor(j *job, number int) {
	t := &j.tasks[number]
	id := api.AttemptID{Job: j.spec.ID, Task: number, Number: t.attempts}
	a := &attempt{
		id:    id,
		job:   j,
		item:  j.item(number, true),
		place: message.Place{Attempt: id, Worker: t.place.worker, Epoch: t.place.epoch, Boot: t.place.boot},
	}
	c.attempts.add(a)
	c.attempts.bind(a)
	c.count(a)
	c.strand(a)
}

const (
	// pauseNoticed is the time between two events that shows a pause.
	pauseNoticed = 2 * time.Second
	// resumeGrace is the time after a pause in which the tail may not have read
	// yet that jobs of this process were adopted or are over.
	resumeGrace = 30 * time.Second
)

// loseLog handles a gap in the log: jobs of this process may have been adopted or
// may be over since. It gives up all logged jobs, reads no more records and stops,
// so that the other processes adopt what is left and a new incarnation starts from
// the log as it is.
func (c *Core) loseLog() {
	c.lostLog = true
	c.caughtUp = false
	c.logEvent("log_gap", Field{"remedy", "none needed, the process stops and has to be started again"})
	for _, id := range sortedKeys(c.jobs.byID) {
		j := c.jobs.byID[id]
		if j.phase != phaseDone && (j.spec.Kind.Logged() || j.phase == phaseLogging) {
			c.forgetJob(j)
		}
	}
	c.stop()
}

// forgetJob drops a job of which this process cannot tell what became of it.
func (c *Core) forgetJob(j *job) {
	if j.owner == c.cfg.Self {
		c.giveUp(j)
	}
	delete(c.jobs.byID, j.spec.ID)
	delete(c.jobs.logging, j.spec.ID)
	c.jobs.dropOwner(j)
	j.phase = phaseDone
	answer := errorAnswer(j.spec.ID, errForgotten(j.spec.ID))
	j.final = &answer
	for _, w := range j.waiters {
		c.reply(w, answer)
	}
	j.waiters = nil
}

// unstart takes back a start whose record was not read as the coordinator's and
// thus does not count for the other processes.
func (t *task) unstart(a *attempt) {
	if a.logged {
		return
	}
	t.phase = taskWaiting
	t.attempts = a.id.Number - 1
	t.place = placeRef{}
}

// giveUp stops coordinating a job that another process adopted. What runs goes on
// under the new coordinator.
func (c *Core) giveUp(j *job) {
	for _, it := range j.items() {
		c.queue.Cancel(it.Key)
	}
	j.parked = nil
	for i := range j.tasks {
		c.queue.Cancel(j.item(i, false).Key)
		a := c.attempts.byTask[taskRef{j.spec.ID, i}]
		if a == nil {
			continue
		}
		if a.phase == attemptLogging {
			c.send(a.holder, message.Release{Attempts: []api.AttemptID{a.id}})
			j.tasks[i].unstart(a)
		}
		if !a.isCommitted() {
			c.abandonOne(a)
			continue
		}
		c.uncount(a)
		c.attempts.remove(a)
	}
}
