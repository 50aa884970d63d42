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

// result is what became of an attempt.
type result struct {
	outcome     api.Outcome // completed, failed, not_run or unknown
	reason      *fault.Error
	body        []byte
	interrupted bool // stopped or checkpointed on request
}

// attemptOver ends an attempt that is proved to be over, and decides whether the
// task is attempted again.
func (c *Core) attemptOver(a *attempt, res result) {
	c.uncount(a)
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
		c.requeue(a.job, a.unit(), res)
		return
	}
	c.settle(a.job, a.id.Task, res)
}

// shouldRetry decides whether a task is attempted again. An attempt that never
// started may always be repeated; one that may have run, only if the job is
// idempotent.
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

// isLost reports whether a task of a logged job was lost with its worker. Such a
// task is attempted again even without retry budget, but then after a long and
// random pause: the loss of a failure domain must neither fail accepted jobs nor
// start all of their tasks at once.
func isLost(j *job, res result) bool {
	return res.outcome == api.OutcomeUnknown && j.spec.Kind.Logged()
}

// Pauses before a task is attempted again.
const (
	minRetryDelay = 50 * time.Millisecond
	maxRetryDelay = 5 * time.Second
	// lostRetrySpread is the longest pause of a lost task without retry budget.
	lostRetrySpread = 30 * time.Second
)

// requeue lets a task wait for its next attempt. The pause grows with the number
// of attempts, so that a task that fails at once does not spin.
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

// delayedItem is a task that waits for the time of its next attempt. It is kept
// out of the queue, where a postponed item would hold back others of its size.
type delayedItem struct {
	at   time.Time
	item queue.Item
}

// requeueDelayed puts tasks whose pause is over back into the queue.
func (c *Core) requeueDelayed() {
	kept := c.attempts.delayed[:0]
	for _, d := range c.attempts.delayed {
		if d.at.After(c.now) || !c.requeueNow(d.item) {
			kept = append(kept, d)
		}
	}
	c.attempts.delayed = kept
}

// requeueNow puts a task back into the queue if it still waits. It returns false if
// this has to be tried again later.
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

// isWaiting reports whether this process has to find room for the task.
func (c *Core) isWaiting(key queue.Key) bool {
	j := c.jobs.byID[key.JobID]
	if j == nil || j.phase != phaseOpen || j.owner != c.cfg.Self || j.cancelled {
		return false
	}
	return j.tasks[key.Task].phase == taskWaiting && c.attempts.byTask[taskRef{key.JobID, key.Task}] == nil
}

// settle gives a task of an unlogged job its final result.
func (c *Core) settle(j *job, number int, res result) {
	t := &j.tasks[number]
	if t.phase == taskDone {
		return
	}
	t.phase = taskDone
	t.outcome = res.outcome
	j.open--
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
// read. It did not run here, but another process may have run its key.
func (c *Core) answerUnclaimed(j *job, reason *fault.Error) {
	waiters := j.waiters
	j.waiters = nil
	for _, w := range waiters {
		c.reply(w, api.RefuseSubmission(api.Job{Key: j.spec.Key}, reason))
	}
}

// taskOver ends a task that has no attempt: it was cancelled or refused while it
// waited.
func (c *Core) taskOver(j *job, number int, outcome api.Outcome) {
	t := &j.tasks[number]
	if t.phase == taskDone {
		return
	}
	t.phase = taskDone
	t.outcome = outcome
	j.open--
}

// closeIfDone finishes a job whose tasks are all done.
func (c *Core) closeIfDone(j *job) {
	if j.open > 0 || j.phase == phaseDone {
		return
	}
	counts := j.counts()
	answer := api.Answer{Outcome: api.OutcomeCompleted, Tasks: counts, Results: j.results()}
	switch {
	case counts.Completed == len(j.tasks):
	case counts.Unknown > 0:
		answer.Outcome = api.OutcomeUnknown
		answer.Error = fault.New(fault.OutcomeLost, fmt.Sprintf("it cannot be told whether %d tasks ran", counts.Unknown), "check the effect of the job before you submit it again")
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
	if answer.Error == nil && j.hasDropped() {
		answer.Results = nil
		answer.Error = errAnswerDropped(j.spec.ID)
	}
	c.finishJob(j, answer)
}

// hasDropped reports whether the answers of some tasks are not known here.
func (j *job) hasDropped() bool {
	return slices.ContainsFunc(j.tasks, func(t task) bool { return t.dropped })
}

// refuseWaiting ends a task that waits in the queue and will not run.
func (c *Core) refuseWaiting(it queue.Item, reason *fault.Error) {
	j := c.jobs.byID[it.Key.JobID]
	if j == nil || j.phase == phaseDone || j.owner != c.cfg.Self {
		return
	}
	if j.spec.Kind.Logged() {
		if !j.refused {
			j.refused = true
			c.append(record.Record{Cancel: &record.Cancel{JobID: j.spec.ID}})
		}
		return
	}
	c.counters.countRefusal(reason.Kind)
	outcome := api.OutcomeNotRun
	if j.ran {
		outcome = api.OutcomeFailed
	}
	c.settle(j, it.Key.Task, result{outcome: outcome, reason: reason})
}

// closeLogged records the end of an attempt. The log decides: the task changes
// when the record is read back.
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
	return fault.New(fault.Cancelled, "the job was cancelled", "submit it again if it is still wanted")
}

func errTooLate() *fault.Error {
	return fault.New(fault.TooLate, "no room was found before the deadline", "send the request again, or allow a later deadline")
}

func errClassRemoved(class, workspace string) *fault.Error {
	return fault.New(fault.Invalid, fmt.Sprintf("class %q or workspace %q left the bundle while the job waited", class, workspace), "use a class and a workspace of the bundle in force")
}

func errStartLost() *fault.Error {
	return fault.New(fault.Unavailable, "the holder was lost before the task started", "none needed, the task is attempted again")
}

func errWorkerRestarted(worker string) *fault.Error {
	return fault.New(fault.OutcomeLost, fmt.Sprintf("worker %s restarted and lost its record of the task", worker), "check the effect of the request before you submit it again")
}

func errWorkerGone(worker string) *fault.Error {
	return fault.New(fault.OutcomeLost, fmt.Sprintf("worker %s no longer exists", worker), "check the effect of the request before you submit it again")
}
