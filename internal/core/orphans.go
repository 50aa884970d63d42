package core

import (
	"maps"
	"slices"
	"time"

	"github.com/fulmarlatch/fulmarlatch/internal/api"
	"github.com/fulmarlatch/fulmarlatch/internal/message"
)

// endedRetention is how long the answer of an unlogged attempt is kept after
// its coordinator is gone.
const endedRetention = 10 * time.Minute

// bodyRetention bounds the memory for answers whose coordinator is gone. The end
// itself is kept longer, because it proves that the attempt has run.
const bodyRetention = time.Minute

// adoptListed takes over the tasks that a worker listed with its lease.
func (c *Core) adoptListed(w *workerState, reports []api.TaskReport) {
	for _, r := range reports {
		r.Spec.Payload = nil
		t := &heldTask{
			spec:  r.Spec,
			place: message.Place{Attempt: r.Spec.Attempt, Worker: w.vm.Name, Epoch: w.epoch, Boot: w.boot},
			phase: heldRunning,
		}
		if r.State == api.TaskEnded {
			t.phase = heldEnded
			t.endedAt = c.now
			t.report = &r
		} else {
			c.pool.Adopt(c.now, w.vm.Name, r.Spec)
		}
		c.held.add(t)
		c.closeHeld(t.spec.Attempt)
		if t.phase == heldEnded {
			c.send(t.spec.Coordinator, message.Ended{Report: r})
		}
	}
}

// queryHeld answers a coordinator that lost track of an attempt. An attempt that
// was only reserved is voided, so that a late commit is refused. This is the
// query step of spec/claim.pml.
func (c *Core) queryHeld(from api.EntryRef, m message.QueryAttempt) {
	answer := message.AttemptState{Attempt: m.Attempt, Status: message.AttemptNotHeld}
	w := c.workers.byName[m.Worker]
	if w == nil || w.phase != leaseHeld || w.isBefore(m.Boot, m.Epoch) {
		c.send(from, answer)
		return
	}
	t := c.held.tasks[m.Attempt]
	switch {
	case t != nil:
		if m.Claim >= t.claim {
			t.claim = m.Claim
			c.held.setCoordinator(t, from)
		}
		if t.phase == heldEnded {
			c.send(from, message.Ended{Report: *t.report})
			return
		}
		answer.Status = message.AttemptRunning
		answer.Place = t.place
	case m.Boot != w.boot:
		answer.Status = message.AttemptLost
	default:
		c.dropReservation(m.Attempt)
		answer.Status = message.AttemptVoid
	}
	c.send(from, answer)
}

// stopOrphans stops idempotent unlogged attempts whose coordinator has been down
// for the grace time, and forgets their answers. Logged attempts wait for the
// process that adopts the job.
func (c *Core) stopOrphans() {
	if c.policy == nil {
		return
	}
	c.closeOverInLog()
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

// overScanSeconds is the number of seconds between two searches of all held attempts
// for ones that the log tells are over. Most are found when their record is read
// or their worker is taken over.
const overScanSeconds = 10

// closeOverInLog closes held attempts that are over in the log, or whose job is
// forgotten everywhere.
func (c *Core) closeOverInLog() {
	among := c.held.ended
	if c.lastSecond.Unix()%overScanSeconds == 0 {
		among = c.held.tasks
	}
	isOver := func(t *heldTask) bool { return c.isOverInLog(t) || c.isForgotten(t) }
	for _, t := range sortedAttempts(among, isOver) {
		c.stopOver(t)
	}
}

// closeHeld closes an attempt that the log has just told to be over, if it is held
// here.
func (c *Core) closeHeld(id api.AttemptID) {
	if t := c.held.tasks[id]; t != nil && t.phase != heldEnded && c.isOverInLog(t) {
		c.stopOver(t)
	}
}

// isForgotten reports whether a logged attempt belongs to a job that the log no
// longer has, which is over, and its coordinator has been down for long. No process
// will ask for it.
func (c *Core) isForgotten(t *heldTask) bool {
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

// isOverInLog reports whether a logged attempt is over as the log tells it.
func (c *Core) isOverInLog(t *heldTask) bool {
	return t.spec.Kind.Logged() && c.isClosed(t.spec.Attempt)
}

// stopOver stops an attempt that still runs although the log tells that it is over,
// as after a wrong report that its worker is gone. It forgets an ended one whose
// coordinator is down and did not acknowledge it.
func (c *Core) stopOver(t *heldTask) {
	switch {
	case t.phase != heldEnded:
		c.stopHeld(t.spec.Attempt)
	case !c.isUp(t.spec.Coordinator):
		c.forgetHeld(t)
	}
}

// isClosed reports whether the log holds the end of a logged attempt. Jobs that
// are not known are not closed.
func (c *Core) isClosed(id api.AttemptID) bool {
	j := c.jobs.byID[id.Job]
	if j == nil {
		return false
	}
	t := j.taskAt(id.Task)
	return t == nil || t.phase == taskDone || t.attempts > id.Number ||
		t.phase == taskWaiting && t.attempts == id.Number
}

func (c *Core) stopOrphan(t *heldTask) {
	switch {
	case t.phase == heldEnded && c.now.Sub(t.endedAt) >= endedRetention:
		c.forgetHeld(t)
	case t.phase == heldEnded:
		if c.now.Sub(t.endedAt) >= bodyRetention {
			t.report.Body = nil
		}
	case t.spec.Idempotent && !t.stopped:
		c.counters.OrphansStopped++
		c.logEvent("orphan_stopped", Field{"attempt", t.spec.Attempt.String()},
			Field{"coordinator", t.spec.Coordinator.String()})
		c.stopHeld(t.spec.Attempt)
	}
}

// The pause before an unacknowledged end is sent again doubles from resendInterval
// to maxResendInterval: while the log is down, ends of logged attempts are not
// acknowledged for long.
const (
	resendInterval    = 2 * time.Second
	maxResendInterval = time.Minute
)

// resendEnded repeats ends that were not acknowledged. The message may have been
// lost with a link.
func (c *Core) resendEnded() {
	overdue := func(t *heldTask) bool {
		return c.isUp(t.spec.Coordinator) && !c.now.Before(t.nextResend())
	}
	for _, t := range sortedAttempts(c.held.ended, overdue) {
		t.resends++
		t.resent = c.now
		c.send(t.spec.Coordinator, message.Ended{Report: *t.report})
	}
}

func (t *heldTask) nextResend() time.Time {
	last := t.endedAt
	if t.resends > 0 {
		last = t.resent
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

// relievePressure throttles, checkpoints or stops tasks that grew past the
// memory of their worker.
func (c *Core) relievePressure() {
	for _, v := range c.pool.Pressure(c.now) {
		t := c.held.tasks[v.Attempt]
		if t == nil || t.phase != heldRunning {
			continue
		}
		c.logEvent("task_over_memory", Field{"attempt", v.Attempt.String()},
			Field{"worker", v.Worker}, Field{"step", string(v.Step)})
		c.control(t, TaskCommand(v.Step))
	}
}
