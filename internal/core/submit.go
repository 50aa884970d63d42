package core

import (
	"fmt"
	"time"

	"github.com/fulmarlatch/fulmarlatch/internal/api"
	"github.com/fulmarlatch/fulmarlatch/internal/fault"
	"github.com/fulmarlatch/fulmarlatch/internal/message"
	"github.com/fulmarlatch/fulmarlatch/internal/record"
)

// logRetryAfter is the shortest delay that callers are advised to wait while the log
// does not answer.
const logRetryAfter = 5 * time.Second

// minResources is the least that a task uses on a worker.
var minResources = api.Resources{Slots: 1}

// submit handles a submission: it admits a new job, or attaches the waiter to an
// earlier submission. It looks up the ID or key before it refuses anything, because
// the job may have run under an earlier submission.
func (c *Core) submit(w waiter, spec api.Job) {
	switch {
	case spec.ID != "":
		c.submitMinted(w, spec)
	case spec.Key != "":
		c.submitKeyed(w, spec)
	default:
		spec.ID = c.nextID()
		c.admit(w, spec, spec.Kind.Logged())
	}
}

// checkSubmission fills in defaults and returns a *fault.Error for a job that cannot
// be admitted.
func (c *Core) checkSubmission(spec *api.Job) error {
	if !c.Ready() {
		return fault.New(fault.NotReady, "the entry process accepts no new work", "send the request again")
	}
	if spec.Tasks == 0 {
		spec.Tasks = 1
	}
	if err := spec.Check(); err != nil {
		return err
	}
	if spec.Resources.Slots == 0 {
		spec.Resources.Slots = minResources.Slots
	}
	class, ok := c.policy.classes[spec.Class]
	if !ok {
		return fault.New(fault.Invalid, fmt.Sprintf("class %q is not in the bundle", spec.Class), "use a class of the bundle in force")
	}
	if spec.DeadlineMS == 0 && spec.Kind == api.KindRequest {
		spec.DeadlineMS = class.DeadlineMS
	}
	return c.checkFits(spec)
}

// checkFits refuses a job whose tasks do not fit on the workers of the VM list even if
// these are empty.
func (c *Core) checkFits(spec *api.Job) error {
	if len(c.workers.shapes) == 0 {
		return nil
	}
	var largest api.Resources
	fitting := int64(0)
	for shape, count := range c.workers.shapes {
		largest = largest.Max(shape)
		if spec.Resources.Fits(shape) {
			fitting += int64(count) * tasksPerWorker(spec.Resources, shape)
		}
	}
	if fitting == 0 {
		return errNeverFits(spec.Resources, largest)
	}
	if spec.Kind == api.KindGang && int64(spec.Tasks) > fitting {
		return fault.New(fault.NeverFits,
			fmt.Sprintf("the gang has %d tasks and at most %d of this size fit on the workers", spec.Tasks, fitting),
			"use fewer or smaller tasks")
	}
	return nil
}

func errNeverFits(need, largest api.Resources) error {
	d, exceeds := need.Exceeds(largest)
	if !exceeds {
		return fault.New(fault.NeverFits, "no single worker has all of the requested resources: "+need.String(), "ask for less in one dimension")
	}
	return fault.New(fault.NeverFits,
		fmt.Sprintf("%s is %d and the largest worker has %d", d, need.Get(d), largest.Get(d)),
		fmt.Sprintf("ask for at most %d", largest.Get(d)))
}

// tasksPerWorker returns how many tasks of one size fit on an empty worker.
func tasksPerWorker(need, shape api.Resources) int64 {
	count := shape.Slots
	for d := api.CPU; d < api.NumDimensions; d++ {
		if need.Get(d) > 0 {
			count = min(count, shape.Get(d)/need.Get(d))
		}
	}
	return count
}

// admit admits a job and queues its tasks. If logged is true, the tasks wait until the
// job's claim or accept record has been read.
func (c *Core) admit(w waiter, spec api.Job, logged bool) {
	if err := c.checkSubmission(&spec); err != nil {
		c.refuse(w, spec, err)
		return
	}
	if logged && !c.logUp {
		err := fault.New(fault.LogDown, "the platform's log does not answer", "send the request again later, or use a minted ID instead of a key")
		err.RetryAfterMS = c.jitter(2 * logRetryAfter).Milliseconds()
		c.refuse(w, spec, err)
		return
	}
	j := newJob(spec, c.cfg.Self, c.now)
	if spec.DeadlineMS > 0 {
		j.deadline = c.now.Add(spec.Deadline())
	}
	if err := c.offer(j); err != nil {
		c.refuse(w, spec, err)
		return
	}
	old := c.jobs.byID[spec.ID]
	if old != nil {
		j.continueNumbers(old)
	}
	j.keepAnswer = logged || spec.Key != "" || old != nil || c.requests.wasMinted(spec.ID)
	c.addWaiter(w, j)
	c.jobs.byID[spec.ID] = j
	c.counters.Submitted++
	if !logged {
		j.phase = phaseOpen
		return
	}
	c.jobs.logging[spec.ID] = j
	if spec.Kind.Logged() {
		c.append(record.Record{Accept: &record.Accept{Job: spec}})
		return
	}
	c.append(record.Record{Claim: &record.Claim{Workspace: spec.Workspace, Key: spec.Key, JobID: spec.ID}})
}

// offer puts all tasks of a job into the queue, or none if the queue refuses one.
func (c *Core) offer(j *job) error {
	items := j.items()
	for i, it := range items {
		if err := c.queue.Offer(c.now, it); err != nil {
			for _, taken := range items[:i] {
				c.queue.Cancel(taken.Key)
			}
			return err
		}
	}
	return nil
}

// refuse answers a submission that is not admitted. Unless the first claim in
// the log of the job's key is by this job, the outcome is unknown: another process may
// have claimed the key and run the job.
func (c *Core) refuse(w waiter, spec api.Job, err error) {
	c.counters.countRefusal(fault.KindOf(err))
	answer := api.Refuse(spec.ID, err)
	if spec.Key != "" && !c.ownsKey(spec) {
		c.dropPendingClaim(spec)
		spec.ID = ""
		answer = api.RefuseSubmission(spec, err)
	}
	c.counters.count(answer.Outcome)
	c.reply(w, answer)
}

// reply answers a waiter of this process or of a peer.
func (c *Core) reply(w waiter, answer api.Answer) {
	if w.from == c.cfg.Self {
		delete(c.requests.jobs, w.token)
		c.emit(AnswerCaller{Token: w.token, Answer: answer})
		return
	}
	c.send(w.from, message.ForwardAnswer{RequestID: w.token, Answer: answer})
}

// cancel cancels a job for a caller. A logged job is cancelled when its cancel record
// is read.
func (c *Core) cancel(w waiter, j *job) {
	if j.phase == phaseDone {
		c.reply(w, *j.final)
		return
	}
	if j.spec.Kind.Logged() {
		if !c.logUp {
			c.reply(w, logDownAnswer(j.spec.ID))
			return
		}
		c.append(record.Record{Cancel: &record.Cancel{JobID: j.spec.ID}})
		c.addWaiter(w, j)
		return
	}
	c.addWaiter(w, j)
	c.cancelTasks(j)
}

func logDownAnswer(id string) api.Answer {
	return api.Answer{JobID: id, Outcome: api.OutcomeUnknown,
		Error: fault.New(fault.LogDown, "the platform's log does not answer", "cancel again later")}
}

// cancelTasks ends the waiting tasks of a job and requests the others to be stopped.
func (c *Core) cancelTasks(j *job) {
	j.cancelled = true
	j.parked = nil
	for _, it := range j.items() {
		c.queue.Cancel(it.Key)
	}
	for i := range j.tasks {
		c.cancelTask(j, i)
	}
	c.finishIfDone(j)
}

func (c *Core) cancelTask(j *job, number int) {
	t := &j.tasks[number]
	if t.phase == taskDone {
		return
	}
	c.queue.Cancel(j.item(number, false).Key)
	a := c.attempts.byTask[taskRef{j.spec.ID, number}]
	switch {
	case a == nil && t.phase == taskWaiting:
		c.finishTask(j, number, api.OutcomeNotRun)
	case a != nil && !a.isBound():
		c.abandon(a)
		if t.phase == taskWaiting {
			c.finishTask(j, number, api.OutcomeNotRun)
		}
	case a != nil:
		a.cancelled = true
		c.send(a.holder, message.CancelAttempt{Attempt: a.id, Worker: a.placement.Worker})
	}
}
