package core

import (
	"fmt"
	"slices"
	"time"

	"github.com/fulmarlatch/fulmarlatch/internal/api"
	"github.com/fulmarlatch/fulmarlatch/internal/fault"
	"github.com/fulmarlatch/fulmarlatch/internal/message"
	"github.com/fulmarlatch/fulmarlatch/internal/queue"
	"github.com/fulmarlatch/fulmarlatch/internal/record"
)

// result describes how an attempt ended.
type result struct {
	outcome     api.Outcome // completed, failed, not_run or unknown
	reason      *fault.Error
	body        []byte
	interrupted bool // stopped or checkpointed on request
}

// finishAttempt ends an attempt that has certainly ended or never started, and decides
// whether the task is attempted again.
func (c *Core) finishAttempt(a *attempt, res result) {
	c.releaseUse(a)
	if res.outcome != api.OutcomeNotRun {
		a.job.ran = true
	}
	retry := c.shouldRetry(a, res)
	delete(c.attempts.stranded, a.id)
	if a.job.spec.Kind.Logged() {
		c.closeLogged(a, res, retry)
		return
	}
	c.attempts.remove(a)
	if res.outcome != api.OutcomeNotRun {
		c.send(a.holder, message.Acknowledge{Attempts: []api.AttemptID{a.id}})
	}
	if retry {
		c.requeue(a.job, a.taskItem(), res)
		return
	}
	c.finishUnloggedTask(a.job, a.id.Task, res)
}

// shouldRetry reports whether a task is attempted again. If the attempt never started,
// another one is always allowed; if it may have run, only for an idempotent job.
func (c *Core) shouldRetry(a *attempt, res result) bool {
	j := a.job
	switch {
	case res.outcome == api.OutcomeCompleted && j.spec.Kind != api.KindService:
		return false
	case j.cancelled || a.cancelled:
		return false
	case res.outcome == api.OutcomeNotRun:
		return true
	case !j.spec.Idempotent:
		return false
	case res.interrupted, j.spec.Kind == api.KindService:
		return true
	}
	if a.id.Number >= c.policy.classes[j.spec.Class].MaxAttempts {
		return false
	}
	return isLost(j, res) || c.queue.AllowRetry(j.spec.Class)
}

// isLost reports whether a task of a logged job was lost with its worker. Such a task
// is attempted again even without retry budget, but then after a long random delay:
// the loss of a failure domain must neither fail accepted jobs nor restart all of
// their tasks at once.
func isLost(j *job, res result) bool {
	return res.outcome == api.OutcomeUnknown && j.spec.Kind.Logged()
}

// Delays before a task is attempted again.
const (
	minRetryDelay = 50 * time.Millisecond
	maxRetryDelay = 5 * time.Second
	// lostRetrySpread is the longest delay of a lost task without retry budget.
	lostRetrySpread = 30 * time.Second
)

// requeue schedules the next attempt of a task. The delay doubles with each attempt,
// so that a task that fails at once is not retried in a tight loop.
func (c *Core) requeue(j *job, it queue.Item, res result) {
	t := &j.tasks[it.Key.Task]
	t.phase = taskWaiting
	it.Retry = true
	c.counters.Retries++
	delay := min(minRetryDelay<<min(t.attempts, 8), maxRetryDelay)
	if res.outcome == api.OutcomeNotRun {
		delay = minRetryDelay
	}
	if isLost(j, res) && !c.queue.AllowRetry(j.spec.Class) {
		delay = time.Duration(c.rng.Int64N(int64(lostRetrySpread)))
	}
	c.attempts.delayed = append(c.attempts.delayed, delayedItem{at: c.now.Add(c.jitter(delay)), item: it})
}

// delayedItem is a task that waits for the time of its next attempt. It is not in the
// queue, where a postponed item would block others of its size.
type delayedItem struct {
	at   time.Time
	item queue.Item
}

// requeueDelayed puts the tasks whose delay has passed back into the queue.
func (c *Core) requeueDelayed() {
	kept := c.attempts.delayed[:0]
	for _, d := range c.attempts.delayed {
		if d.at.After(c.now) || !c.requeueNow(d.item) {
			kept = append(kept, d)
		}
	}
	c.attempts.delayed = kept
}

// requeueNow puts a task back into the queue if it still waits. It returns false if it
// must be called again later.
func (c *Core) requeueNow(it queue.Item) bool {
	if !c.isWaiting(it.Key) {
		return true
	}
	if it.Kind == api.KindGang {
		return c.requeueGangTask(c.jobs.byID[it.Key.JobID], it)
	}
	c.queue.Requeue(c.now, it)
	return true
}

// isWaiting reports whether the task waits for this process to place it and has no
// attempt.
func (c *Core) isWaiting(key queue.Key) bool {
	j := c.jobs.byID[key.JobID]
	if j == nil || j.phase != phaseOpen || j.coordinator != c.cfg.Self || j.cancelled {
		return false
	}
	return j.tasks[key.Task].phase == taskWaiting && c.attempts.byTask[taskRef{key.JobID, key.Task}] == nil
}

// finishUnloggedTask ends a task of an unlogged job and finishes the job, which has no
// other task.
func (c *Core) finishUnloggedTask(j *job, number int, res result) {
	t := &j.tasks[number]
	if t.phase == taskDone {
		return
	}
	t.phase = taskDone
	t.outcome = res.outcome
	j.unfinished--
	answer := api.Answer{Outcome: res.outcome, Body: res.body, Error: res.reason}
	if j.cancelled && res.outcome != api.OutcomeCompleted {
		answer.Error = errCancelled()
	}
	if res.outcome == api.OutcomeCompleted {
		answer.Error = nil
	}
	if res.outcome == api.OutcomeNotRun && j.spec.Key != "" && !c.ownsKey(j.spec) {
		c.answerUnclaimed(j, res.reason)
	}
	c.finishJob(j, answer)
}

// answerUnclaimed answers the callers of a request that ends before its claim was
// read. It did not run here, but another process may have run a request with the same
// key.
func (c *Core) answerUnclaimed(j *job, reason *fault.Error) {
	waiters := j.waiters
	j.waiters = nil
	for _, w := range waiters {
		c.reply(w, api.RefuseSubmission(api.Job{Key: j.spec.Key}, reason))
	}
}

// finishTask ends a task that was cancelled while it had no attempt.
func (c *Core) finishTask(j *job, number int, outcome api.Outcome) {
	t := &j.tasks[number]
	if t.phase == taskDone {
		return
	}
	t.phase = taskDone
	t.outcome = outcome
	j.unfinished--
}

// finishIfDone finishes a job whose tasks are all done.
func (c *Core) finishIfDone(j *job) {
	if j.unfinished > 0 || j.phase == phaseDone {
		return
	}
	counts := j.counts()
	answer := api.Answer{Outcome: api.OutcomeCompleted, Tasks: counts, Results: j.results()}
	switch {
	case counts.Completed == len(j.tasks):
	case counts.Unknown > 0:
		answer.Outcome = api.OutcomeUnknown
		answer.Error = fault.New(fault.OutcomeLost, fmt.Sprintf("whether %d of the tasks ran is unknown", counts.Unknown), "check the effect of the job before you submit it again")
	case counts.Failed == 0 && counts.Completed == 0 && !j.ran:
		answer.Outcome = api.OutcomeNotRun
		answer.Error = errCancelled()
	case j.cancelled:
		answer.Outcome = api.OutcomeFailed
		answer.Error = errCancelled()
	default:
		answer.Outcome = api.OutcomeFailed
		answer.Error = fault.New(fault.TaskFailed, fmt.Sprintf("%d of %d tasks failed", counts.Failed, len(j.tasks)), "see the upstream's logs")
	}
	if answer.Error == nil && j.hasUnknownAnswer() {
		answer.Results = nil
		answer.Error = errAnswerDropped(j.spec.ID)
	}
	c.finishJob(j, answer)
}

// hasUnknownAnswer reports whether the answer of some task is not known here.
func (j *job) hasUnknownAnswer() bool {
	return slices.ContainsFunc(j.tasks, func(t task) bool { return t.answerUnknown })
}

// refuseWaiting ends a task that waits in the queue and will not run.
func (c *Core) refuseWaiting(it queue.Item, reason *fault.Error) {
	j := c.jobs.byID[it.Key.JobID]
	if j == nil || j.phase == phaseDone || j.coordinator != c.cfg.Self {
		return
	}
	if j.spec.Kind.Logged() {
		if !j.cancelAppended {
			j.cancelAppended = true
			c.append(record.Record{Cancel: &record.Cancel{JobID: j.spec.ID}})
		}
		return
	}
	c.counters.countRefusal(reason.Kind)
	outcome := api.OutcomeNotRun
	if j.ran {
		outcome = api.OutcomeFailed
	}
	c.finishUnloggedTask(j, it.Key.Task, result{outcome: outcome, reason: reason})
}

// closeLogged appends the end record of an attempt of a logged job. The task changes
// only when the record is read.
func (c *Core) closeLogged(a *attempt, res result, retry bool) {
	a.phase = attemptClosing
	a.end = &record.End{Attempt: a.id, Outcome: res.outcome, Retry: retry}
	a.end.Body = res.body
	if len(res.body) > record.MaxBodyBytes {
		a.end.Body = nil
		a.end.OmittedBytes = int64(len(res.body))
	}
	c.append(record.Record{End: a.end})
}

func errCancelled() *fault.Error {
	return fault.New(fault.Cancelled, "the job was cancelled", "submit the job again if it is still needed")
}

func errTooLate() *fault.Error {
	return fault.New(fault.TooLate, "the deadline passed before the task could start", "send the request again, or allow a later deadline")
}

func errClassRemoved(class, workspace string) *fault.Error {
	return fault.New(fault.Invalid, fmt.Sprintf("class %q or workspace %q was removed from the bundle while the job waited", class, workspace), "use a class and a workspace of the bundle in force")
}

func errStartLost() *fault.Error {
	return fault.New(fault.Unavailable, "the reservation was lost before the task started", "none needed, the task is attempted again")
}

func errWorkerRestarted(worker string) *fault.Error {
	return fault.New(fault.OutcomeLost, fmt.Sprintf("worker %s restarted and lost its record of the task", worker), "check the effect of the request before you submit it again")
}

func errWorkerGone(worker string) *fault.Error {
	return fault.New(fault.OutcomeLost, fmt.Sprintf("worker %s no longer exists", worker), "check the effect of the request before you submit it again")
}
