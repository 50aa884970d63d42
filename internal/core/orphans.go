package core

import (
	"maps"
	"slices"
	"time"

	"github.com/fulmarlatch/fulmarlatch/internal/api"
	"github.com/fulmarlatch/fulmarlatch/internal/message"
)

// endedRetention is how long the end of an unlogged attempt is kept when its
// coordinator is down.
const endedRetention = 10 * time.Minute

// bodyRetention is how long the answer body of such an attempt is kept, which limits
// memory use. The end itself is kept longer, because it proves that the attempt ran.
const bodyRetention = time.Minute

// adoptListed takes over the tasks that a worker listed when it granted its lease.
func (c *Core) adoptListed(w *workerState, reports []api.TaskReport) {
	for _, r := range reports {
		r.Spec.Payload = nil
		t := &heldTask{
			spec:      r.Spec,
			placement: message.Placement{Attempt: r.Spec.Attempt, Worker: w.vm.Name, Epoch: w.epoch, Boot: w.boot},
			phase:     heldRunning,
		}
		if r.State == api.TaskEnded {
			t.phase = heldEnded
			t.endedAt = c.now
			t.report = &r
		} else {
			c.pool.Adopt(c.now, w.vm.Name, r.Spec)
		}
		c.held.add(t)
		c.stopHeldIfEnded(t.spec.Attempt)
		if t.phase == heldEnded {
			c.send(t.spec.Coordinator, message.Ended{Report: r})
		}
	}
}

// answerQuery answers a coordinator's query for an attempt. An attempt that was not
// started on the worker is voided and its reservation is dropped, so that a late commit
// is refused. This is the query step of spec/claim.pml.
func (c *Core) answerQuery(from api.EntryRef, m message.QueryAttempt) {
	answer := message.AttemptState{Attempt: m.Attempt, Status: message.AttemptNotHeld}
	w := c.workers.byName[m.Worker]
	if w == nil || w.phase != leaseHeld || w.isSuperseded(m.Boot, m.Epoch) {
		c.send(from, answer)
		return
	}
	t := c.held.tasks[m.Attempt]
	switch {
	case t != nil:
		if m.CoordinatorOffset >= t.coordinatorOffset {
			t.coordinatorOffset = m.CoordinatorOffset
			c.held.setCoordinator(t, from)
		}
		if t.phase == heldEnded {
			c.send(from, message.Ended{Report: *t.report})
			return
		}
		answer.Status = message.AttemptRunning
		answer.Placement = t.placement
	case m.Boot != w.boot:
		answer.Status = message.AttemptLost
	default:
		c.dropReservation(m.Attempt)
		answer.Status = message.AttemptVoid
	}
	c.send(from, answer)
}

// stopOrphans stops idempotent unlogged attempts whose coordinator has been down for
// the orphan grace time, and drops the ends of unlogged attempts after their
// retention. Logged attempts are left to the process that adopts the job.
func (c *Core) stopOrphans() {
	if c.policy == nil {
		return
	}
	c.stopAllEndedInLog()
	for _, ref := range slices.SortedFunc(maps.Keys(c.held.byCoordinator), compareRefs) {
		if !c.isUp(ref) {
			c.stopOrphansOf(ref)
		}
	}
}

// stopOrphansOf handles the unlogged attempts of a coordinator that is down.
func (c *Core) stopOrphansOf(ref api.EntryRef) {
	since, ok := c.members.downSince[ref]
	if !ok {
		c.members.downSince[ref] = c.now
		return
	}
	if c.now.Sub(since) < c.policy.timing.orphanGrace {
		return
	}
	for _, t := range sortedAttempts(c.held.byCoordinator[ref], anyAttempt) {
		c.stopOrphan(t)
	}
}

// endedScanSeconds is the interval in seconds between two scans of all held attempts
// for ones that have ended according to the log. Most are found when their end record
// is read or their worker is taken over.
const endedScanSeconds = 10

// stopAllEndedInLog stops or drops the held attempts that have ended according to the
// log, or whose job is no longer in the log.
func (c *Core) stopAllEndedInLog() {
	scanned := c.held.ended
	if c.lastSecond.Unix()%endedScanSeconds == 0 {
		scanned = c.held.tasks
	}
	isEnded := func(t *heldTask) bool { return c.isEndedInLog(t) || c.hasExpiredJob(t) }
	for _, t := range sortedAttempts(scanned, isEnded) {
		c.stopEndedInLog(t)
	}
}

// stopHeldIfEnded stops an attempt if it runs here and has ended according to the log.
func (c *Core) stopHeldIfEnded(id api.AttemptID) {
	if t := c.held.tasks[id]; t != nil && t.phase != heldEnded && c.isEndedInLog(t) {
		c.stopEndedInLog(t)
	}
}

// hasExpiredJob reports whether a logged attempt belongs to a job that is no longer in
// the log, and its coordinator has been down for endedRetention. No process will
// query such an attempt, because none has the job.
func (c *Core) hasExpiredJob(t *heldTask) bool {
	ref := t.spec.Coordinator
	if !t.spec.Kind.Logged() || c.isUp(ref) || !c.logUp || !c.caughtUp || c.jobs.byID[t.spec.Attempt.Job] != nil {
		return false
	}
	since, ok := c.members.downSince[ref]
	if !ok {
		c.members.downSince[ref] = c.now
	}
	return ok && c.now.Sub(since) >= endedRetention
}

// isEndedInLog reports whether an attempt is logged and has ended according to the
// log.
func (c *Core) isEndedInLog(t *heldTask) bool {
	return t.spec.Kind.Logged() && c.hasLoggedEnd(t.spec.Attempt)
}

// stopEndedInLog handles a held attempt that has ended according to the log. It stops
// one that still runs, for example because the VM list reported its worker as gone by
// mistake, and drops an ended one whose coordinator is down and cannot acknowledge it.
func (c *Core) stopEndedInLog(t *heldTask) {
	switch {
	case t.phase != heldEnded:
		c.stopHeld(t.spec.Attempt)
	case !c.isUp(t.spec.Coordinator):
		c.dropEnded(t)
	}
}

// hasLoggedEnd reports whether a logged attempt has ended according to the log. It is
// false for unknown jobs.
func (c *Core) hasLoggedEnd(id api.AttemptID) bool {
	j := c.jobs.byID[id.Job]
	if j == nil {
		return false
	}
	t := j.taskAt(id.Task)
	return t == nil || t.phase == taskDone || t.attempts > id.Number ||
		t.phase == taskWaiting && t.attempts == id.Number
}

// stopOrphan stops an attempt whose coordinator is down, or drops its end after the
// retention.
func (c *Core) stopOrphan(t *heldTask) {
	switch {
	case t.phase == heldEnded && c.now.Sub(t.endedAt) >= endedRetention:
		c.dropEnded(t)
	case t.phase == heldEnded:
		if c.now.Sub(t.endedAt) >= bodyRetention {
			t.report.Body = nil
		}
	case t.spec.Idempotent && !t.stopRequested:
		c.counters.OrphansStopped++
		c.logEvent("orphan_stopped", Field{"attempt", t.spec.Attempt.String()},
			Field{"coordinator", t.spec.Coordinator.String()})
		c.stopHeld(t.spec.Attempt)
	}
}

// The delay before an unacknowledged end is sent again doubles from resendInterval up
// to maxResendInterval, because ends of logged attempts stay unacknowledged while the
// log is down.
const (
	resendInterval    = 2 * time.Second
	maxResendInterval = time.Minute
)

// resendEnded sends unacknowledged ends again. The message may have been lost with a
// link.
func (c *Core) resendEnded() {
	overdue := func(t *heldTask) bool {
		return c.isUp(t.spec.Coordinator) && !c.now.Before(t.nextResend())
	}
	for _, t := range sortedAttempts(c.held.ended, overdue) {
		t.resends++
		t.lastResent = c.now
		c.send(t.spec.Coordinator, message.Ended{Report: *t.report})
	}
}

func (t *heldTask) nextResend() time.Time {
	last := t.endedAt
	if t.resends > 0 {
		last = t.lastResent
	}
	return last.Add(min(resendInterval<<min(t.resends, 8), maxResendInterval))
}

// resendEndedTo sends the ends that a coordinator with a new link may have missed.
func (c *Core) resendEndedTo(ref api.EntryRef) {
	missed := func(t *heldTask) bool { return t.spec.Coordinator == ref }
	for _, t := range sortedAttempts(c.held.ended, missed) {
		c.send(ref, message.Ended{Report: *t.report})
	}
}

// relievePressure throttles, checkpoints or stops tasks on workers whose tasks use
// more memory than there is.
func (c *Core) relievePressure() {
	for _, v := range c.pool.PressureVictims(c.now) {
		t := c.held.tasks[v.Attempt]
		if t == nil || t.phase != heldRunning {
			continue
		}
		c.logEvent("task_over_memory", Field{"attempt", v.Attempt.String()},
			Field{"worker", v.Worker}, Field{"step", string(v.Action)})
		c.control(t, TaskCommand(v.Action))
	}
}
