package core

import (
	"maps"
	"slices"
	"time"

	"github.com/fulmarlatch/fulmarlatch/internal/api"
	"github.com/fulmarlatch/fulmarlatch/internal/message"
	"github.com/fulmarlatch/fulmarlatch/internal/record"
)

// adoptJobs appends adopt records for logged jobs whose coordinator is down or
// stopping. Each job has one preferred adopter; if several processes try, the adopt
// record with the lowest offset wins. This is the adopt step of spec/claim.pml.
func (c *Core) adoptJobs() {
	if !c.Ready() || !c.logUp || !c.caughtUp {
		return
	}
	list := c.candidates()
	for _, coordinator := range slices.SortedFunc(maps.Keys(c.jobs.byCoordinator), compareRefs) {
		if !c.isAdoptable(coordinator) {
			continue
		}
		jobs := c.jobs.byCoordinator[coordinator]
		for _, id := range sortedKeys(jobs) {
			j := jobs[id]
			if c.mayAdopt(j, list) && c.now.Sub(j.adoptTried) >= adoptInterval {
				j.adoptTried = c.now
				c.append(record.Record{Adopt: &record.Adopt{JobID: j.spec.ID, Replaces: j.coordinatorOffset}})
			}
		}
	}
}

const (
	// adoptInterval is the delay before an adoption is tried again.
	adoptInterval = 5 * time.Second
	// adoptFallbackDelay is how long the second choice waits for the preferred adopter,
	// which may be unable to reach the log, or may have started after the log
	// dropped the job's records. All others wait twice as long.
	adoptFallbackDelay = 15 * time.Second
)

// mayAdopt reports whether this process may try to adopt the job now.
func (c *Core) mayAdopt(j *job, list []candidate) bool {
	if j.adoptableSince.IsZero() {
		j.adoptableSince = c.now
	}
	waited := c.now.Sub(j.adoptableSince)
	first, second := choose(list, j.spec.ID, "")
	switch c.cfg.Self {
	case first:
		return true
	case second:
		return waited >= adoptFallbackDelay
	}
	return waited >= 2*adoptFallbackDelay
}

// isAdoptable reports whether the jobs of a coordinator may be adopted: it is
// stopping, or has been down for the orphan grace time.
func (c *Core) isAdoptable(coordinator api.EntryRef) bool {
	if coordinator == c.cfg.Self {
		return false
	}
	if c.isUp(coordinator) {
		return c.isStopping(coordinator)
	}
	since, ok := c.members.downSince[coordinator]
	if !ok {
		c.members.downSince[coordinator] = c.now
		return false
	}
	return c.now.Sub(since) >= c.policy.timing.orphanGrace
}

func (c *Core) applyAdopt(offset uint64, writer api.EntryRef, m record.Adopt) {
	j := c.jobs.byID[m.JobID]
	if j == nil || j.phase == phaseDone || j.coordinatorOffset != m.Replaces {
		return
	}
	c.changeOwner(j, writer, offset)
}

// changeOwner moves a logged job to another coordinator. This is the changeOwner step of
// spec/claim_log.pml.
func (c *Core) changeOwner(j *job, coordinator api.EntryRef, coordinatorOffset uint64) {
	wasCoordinator := j.coordinator == c.cfg.Self
	c.jobs.setCoordinator(j, coordinator, coordinatorOffset)
	switch {
	case coordinator == c.cfg.Self && !wasCoordinator:
		c.takeOver(j)
	case coordinator != c.cfg.Self && wasCoordinator:
		c.stopCoordinating(j)
	}
}

// takeOver starts coordinating a job. Attempts with a start record are looked up at
// the holders before their tasks are attempted again.
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
			c.recoverAttempt(j, i)
		}
	}
	if j.cancelled {
		c.cancelTasks(j)
	}
}

// recoverAttempt recreates the attempt of a task that has a start record, as a stranded
// attempt.
func (c *Core) recoverAttempt(j *job, number int) {
	t := &j.tasks[number]
	id := api.AttemptID{Job: j.spec.ID, Task: number, Number: t.attempts}
	a := &attempt{
		id:        id,
		job:       j,
		item:      j.item(number, true),
		placement: message.Placement{Attempt: id, Worker: t.placement.worker, Epoch: t.placement.epoch, Boot: t.placement.boot},
	}
	c.attempts.add(a)
	c.attempts.bind(a)
	c.chargeUse(a)
	c.strand(a)
}

const (
	// pauseThreshold is the shortest time between two events that counts as a pause
	// of the process.
	pauseThreshold = 2 * time.Second
	// resumeGrace is the time after a pause during which this process may not have
	// read yet that its jobs were adopted or have ended.
	resumeGrace = 30 * time.Second
)

// handleLogGap handles a gap in the log: the missing records may have adopted or ended
// jobs of this process. It drops all logged jobs, ignores further records and stops,
// so that other processes adopt the remaining jobs and a new incarnation starts from
// the records that are left.
func (c *Core) handleLogGap() {
	c.logGap = true
	c.caughtUp = false
	c.logEvent("log_gap", Field{"remedy", "none needed, the process stops and must be started again"})
	for _, id := range sortedKeys(c.jobs.byID) {
		j := c.jobs.byID[id]
		if j.phase != phaseDone && (j.spec.Kind.Logged() || j.phase == phaseLogging) {
			c.dropJob(j)
		}
	}
	c.stop()
}

// dropJob drops a job whose outcome this process cannot determine.
func (c *Core) dropJob(j *job) {
	if j.coordinator == c.cfg.Self {
		c.stopCoordinating(j)
	}
	delete(c.jobs.byID, j.spec.ID)
	delete(c.jobs.logging, j.spec.ID)
	c.jobs.dropCoordinator(j)
	j.phase = phaseDone
	answer := errorAnswer(j.spec.ID, errOutcomeLost(j.spec.ID))
	j.final = &answer
	for _, w := range j.waiters {
		c.reply(w, answer)
	}
	j.waiters = nil
}

// revertStart reverts the start of an attempt whose start record was not read while
// this process coordinated the job. Other processes ignore such a record.
func (t *task) revertStart(a *attempt) {
	if a.logged {
		return
	}
	t.phase = taskWaiting
	t.attempts = a.id.Number - 1
	t.placement = placementRef{}
}

// stopCoordinating stops coordinating a job, usually because another process adopted
// it. Committed attempts continue under the new coordinator.
func (c *Core) stopCoordinating(j *job) {
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
			j.tasks[i].revertStart(a)
		}
		if !a.isBound() {
			c.abandonOne(a)
			continue
		}
		c.releaseUse(a)
		c.attempts.remove(a)
	}
}
