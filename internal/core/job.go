package core

import (
	"time"

	"github.com/fulmarlatch/fulmarlatch/internal/api"
	"github.com/fulmarlatch/fulmarlatch/internal/queue"
)

// gangTask is the task number of the queue item that stands for a whole gang.
const gangTask = -1

// jobPhase is the state of a job.
type jobPhase int

const (
	// phaseLogging waits for the job's own claim or accept record.
	phaseLogging jobPhase = iota
	phaseOpen
	phaseDone
)

// taskPhase is the state of a task.
type taskPhase int

const (
	taskWaiting taskPhase = iota
	taskActive            // has an attempt that may run
	taskDone
)

// task is one task of a job.
type task struct {
	phase    taskPhase
	attempts int // number of the last attempt
	outcome  api.Outcome
	// place is where the last attempt of a logged job may run, as the log says.
	place placeRef
	// body and omitted are the answer of a done task of a logged job.
	body    []byte
	omitted int64
	// dropped is true for a done task of which only the progress is known.
	dropped bool
}

// placeRef names a worker under one epoch and boot.
type placeRef struct {
	worker string
	epoch  uint64
	boot   uint64
}

// waiter is a caller, here or behind a peer, that waits for an answer.
type waiter struct {
	token uint64
	from  api.EntryRef
}

// job is a job that this process coordinates, or a logged job of any process.
type job struct {
	spec  api.Job
	phase jobPhase
	// owner is the coordinator. For a logged job the log decides it.
	owner api.EntryRef
	// claim is the offset of the record that made owner the coordinator.
	claim     uint64
	submitted time.Time
	deadline  time.Time
	started   time.Time
	ran       bool // some attempt may have run
	tasks     []task
	open      int // tasks that are not done
	parked    []queue.Item
	waiters   []waiter
	final     *api.Answer
	doneAt    time.Time
	cancelled bool
	refused   bool // this process has appended a cancellation for its waiting tasks
	// keep is true if callers may come back for the answer.
	keep      bool
	refreshed time.Time
	// adoptTried is when this process last tried to adopt the job.
	adoptTried time.Time
	adoptable  time.Time // since when the coordinator is gone, zero if it is not
}

func newJob(spec api.Job, owner api.EntryRef, now time.Time) *job {
	return &job{
		spec:      spec,
		owner:     owner,
		submitted: now,
		refreshed: now,
		tasks:     make([]task, spec.Tasks),
		open:      spec.Tasks,
	}
}

// continueNumbers numbers attempts after those of an earlier submission under the
// same id, so that a late message about one of those is not taken for a new one.
func (j *job) continueNumbers(old *job) {
	for i := range min(len(j.tasks), len(old.tasks)) {
		j.tasks[i].attempts = old.tasks[i].attempts
	}
}

// jobTable holds the jobs by id.
type jobTable struct {
	byID     map[string]*job
	byOwner  map[api.EntryRef]map[string]*job // logged jobs that are not done
	finished []*job                           // in order of doneAt
	// logging are the jobs of this process whose own record was not read yet.
	logging map[string]*job
	// bodyBytes is the size of the kept answers.
	bodyBytes int
	sequence  uint64                  // of this process's records
	read      map[api.EntryRef]uint64 // last sequence read from each writer
	keys      map[keyRef]*claim
	// keysChecked is when the retention of the keys was last applied.
	keysChecked time.Time
}

// keyRef names an idempotency key of a workspace.
type keyRef struct{ workspace, key string }

// claim is the first use of an idempotency key.
type claim struct {
	jobID  string
	owner  api.EntryRef
	readAt time.Time
	won    bool // the claim was read from the log
}

func newJobTable() jobTable {
	return jobTable{
		byID:    make(map[string]*job),
		byOwner: make(map[api.EntryRef]map[string]*job),
		logging: make(map[string]*job),
		read:    make(map[api.EntryRef]uint64),
		keys:    make(map[keyRef]*claim),
	}
}

// setOwner moves an unfinished logged job to a coordinator.
func (t *jobTable) setOwner(j *job, owner api.EntryRef, claim uint64) {
	t.dropOwner(j)
	j.owner, j.claim = owner, claim
	j.adoptable = time.Time{}
	of := t.byOwner[owner]
	if of == nil {
		of = make(map[string]*job)
		t.byOwner[owner] = of
	}
	of[j.spec.ID] = j
}

func (t *jobTable) dropOwner(j *job) {
	of := t.byOwner[j.owner]
	delete(of, j.spec.ID)
	if len(of) == 0 {
		delete(t.byOwner, j.owner)
	}
}

// Bounds on the answers of finished jobs, which are kept for retries.
const (
	maxFinishedJobs = 20000
	maxFinishedBody = 8 << 20 // bytes
)

// finishJob gives a job its final answer and tells everyone who waits.
func (c *Core) finishJob(j *job, answer api.Answer) {
	if j.phase == phaseDone {
		return
	}
	answer.JobID = j.spec.ID
	if !j.started.IsZero() {
		answer.WaitMS = j.started.Sub(j.submitted).Milliseconds()
	}
	j.phase = phaseDone
	j.doneAt = c.now
	j.final = &answer
	j.spec.Payload = nil
	delete(c.jobs.logging, j.spec.ID)
	c.counters.count(answer.Outcome)
	c.jobs.dropOwner(j)
	for _, w := range j.waiters {
		c.reply(w, answer)
	}
	j.waiters = nil
	if !j.keep {
		delete(c.jobs.byID, j.spec.ID)
		return
	}
	c.jobs.finished = append(c.jobs.finished, j)
	c.jobs.bodyBytes += answer.BodyBytes()
}

// forgetFinished drops the oldest finished jobs past their retention, and their
// answers when these take too much memory.
func (c *Core) forgetFinished() {
	t := &c.jobs
	drop := 0
	for _, j := range t.finished {
		tooMany := len(t.finished)-drop > maxFinishedJobs
		if c.now.Sub(j.doneAt) < c.cfg.ResultRetention && !tooMany {
			break
		}
		drop++
		t.bodyBytes -= j.final.BodyBytes()
		if t.byID[j.spec.ID] == j {
			delete(t.byID, j.spec.ID)
		}
	}
	clear(t.finished[:drop])
	t.finished = t.finished[drop:]
	for _, j := range t.finished {
		if t.bodyBytes <= maxFinishedBody {
			break
		}
		t.bodyBytes -= j.final.BodyBytes()
		j.dropBody()
	}
	c.forgetKeys()
}

// forgetKeysInterval is the pause between two looks at all keys. A key that is
// kept longer than its retention does no harm.
const forgetKeysInterval = time.Minute

// forgetKeys drops the keys past their retention.
func (c *Core) forgetKeys() {
	t := &c.jobs
	if c.now.Sub(t.keysChecked) < forgetKeysInterval {
		return
	}
	t.keysChecked = c.now
	for ref, k := range t.keys {
		isUsed := k.won || t.byID[k.jobID] == nil
		if isUsed && c.now.Sub(k.readAt) >= c.cfg.KeyRetention {
			delete(t.keys, ref)
		}
	}
}

// dropBody replaces the kept answer by one that says that it is gone.
func (j *job) dropBody() {
	if j.final.BodyBytes() == 0 {
		return
	}
	answer := *j.final
	answer.Body = nil
	answer.Results = nil
	j.tasks = nil
	answer.Error = errAnswerDropped(j.spec.ID)
	j.final = &answer
}

// progress returns the answer for a job that is not done.
func (j *job) progress() api.Answer {
	return api.Answer{JobID: j.spec.ID, Outcome: api.OutcomeAccepted, Tasks: j.counts()}
}

// results returns the answers of the tasks of a logged job.
func (j *job) results() []api.TaskResult {
	list := make([]api.TaskResult, len(j.tasks))
	for i := range j.tasks {
		t := &j.tasks[i]
		list[i] = api.TaskResult{Task: i, Outcome: t.outcome, Body: t.body, OmittedBytes: t.omitted}
	}
	return list
}

// counts returns the number of tasks by state.
func (j *job) counts() *api.TaskCounts {
	counts := &api.TaskCounts{}
	for i := range j.tasks {
		switch j.tasks[i].phase {
		case taskWaiting:
			counts.Waiting++
		case taskActive:
			counts.Running++
		case taskDone:
			countOutcome(counts, j.tasks[i].outcome)
		}
	}
	return counts
}

func countOutcome(counts *api.TaskCounts, o api.Outcome) {
	switch o {
	case api.OutcomeCompleted:
		counts.Completed++
	case api.OutcomeFailed:
		counts.Failed++
	case api.OutcomeUnknown:
		counts.Unknown++
	default:
		counts.Cancelled++
	}
}

// item returns the queue item of a task, or of the whole gang.
func (j *job) item(taskNumber int, retry bool) queue.Item {
	tasks := 1
	if taskNumber == gangTask {
		tasks = j.spec.Tasks
	}
	return queue.Item{
		Key:       queue.Key{JobID: j.spec.ID, Task: taskNumber},
		Workspace: j.spec.Workspace,
		Class:     j.spec.Class,
		Kind:      j.spec.Kind,
		Resources: j.spec.Resources,
		Tasks:     tasks,
		Submitted: j.submitted,
		Deadline:  j.deadline,
		RunTime:   time.Duration(j.spec.RunTimeMS) * time.Millisecond,
		Retry:     retry,
	}
}

// items returns the queue items of all tasks.
func (j *job) items() []queue.Item {
	if j.spec.Kind == api.KindGang {
		return []queue.Item{j.item(gangTask, false)}
	}
	list := make([]queue.Item, j.spec.Tasks)
	for i := range list {
		list[i] = j.item(i, false)
	}
	return list
}
