package core

import (
	"time"

	"github.com/fulmarlatch/fulmarlatch/internal/api"
	"github.com/fulmarlatch/fulmarlatch/internal/queue"
)

// gangTask is the task number in the queue item of a whole gang.
const gangTask = -1

// jobPhase is the state of a job.
type jobPhase int

const (
	// phaseLogging is the phase until the job's claim or accept record is read.
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
	attempts int // number of the latest attempt
	outcome  api.Outcome
	// placement is where the latest attempt may run. For a logged job it comes from the
	// start record.
	placement placementRef
	// body is the answer of a done task of a logged job, and omitted the size in bytes
	// of an answer that was too large for the log.
	body    []byte
	omitted int64
	// answerUnknown is true for a done task whose outcome is known here, but not its
	// answer.
	answerUnknown bool
}

// placementRef identifies a worker under one epoch and boot.
type placementRef struct {
	worker string
	epoch  uint64
	boot   uint64
}

// waiter is a caller of this process or of a peer that waits for an answer.
type waiter struct {
	token uint64
	from  api.EntryRef
}

// job is a job that this process coordinates, or a logged job of any process.
type job struct {
	spec  api.Job
	phase jobPhase
	// coordinator is the entry process in charge of the job. For a logged job it
	// follows from the log.
	coordinator api.EntryRef
	// coordinatorOffset is the log offset of the accept or adopt record that made that
	// process the coordinator.
	coordinatorOffset uint64
	submitted         time.Time
	deadline          time.Time
	started           time.Time
	ran               bool // some attempt may have run
	tasks             []task
	unfinished        int          // tasks that are not done
	parked            []queue.Item // taken from the queue in phaseLogging
	waiters           []waiter
	final             *api.Answer
	doneAt            time.Time
	cancelled         bool
	cancelAppended    bool // this process appended a cancel record because a task cannot run
	// keepAnswer is true if the answer is kept for callers that repeat the request.
	keepAnswer bool
	refreshed  time.Time
	// adoptTried is when this process last tried to adopt the job.
	adoptTried     time.Time
	adoptableSince time.Time // since when it may be adopted; zero if not seen adoptable
}

func newJob(spec api.Job, coordinator api.EntryRef, now time.Time) *job {
	return &job{
		spec:        spec,
		coordinator: coordinator,
		submitted:   now,
		refreshed:   now,
		tasks:       make([]task, spec.Tasks),
		unfinished:  spec.Tasks,
	}
}

// continueNumbers continues the attempt numbers of an earlier submission under the
// same ID, so that a late message about an old attempt cannot match a new one.
func (j *job) continueNumbers(old *job) {
	for i := range min(len(j.tasks), len(old.tasks)) {
		j.tasks[i].attempts = old.tasks[i].attempts
	}
}

// jobTable holds the jobs by ID.
type jobTable struct {
	byID          map[string]*job
	byCoordinator map[api.EntryRef]map[string]*job // logged jobs that are not done
	finished      []*job                           // in order of doneAt
	// logging holds the jobs of this process in phaseLogging.
	logging map[string]*job
	// bodyBytes is the size of the answers of finished jobs.
	bodyBytes int
	sequence  uint64                  // of the last record of this process
	read      map[api.EntryRef]uint64 // last sequence read from each writer
	keys      map[keyRef]*claim
	// keysChecked is when expired keys were last dropped.
	keysChecked time.Time
}

// keyRef identifies an idempotency key of a workspace.
type keyRef struct{ workspace, key string }

// claim is the use of an idempotency key by a job. The first claim in the log is
// final; until it is read, a claim made by this process stands in for it.
type claim struct {
	jobID  string
	owner  api.EntryRef // the process that claimed the key
	readAt time.Time    // when the claim was read or made
	logged bool         // the claim was read from the log
}

func newJobTable() jobTable {
	return jobTable{
		byID:          make(map[string]*job),
		byCoordinator: make(map[api.EntryRef]map[string]*job),
		logging:       make(map[string]*job),
		read:          make(map[api.EntryRef]uint64),
		keys:          make(map[keyRef]*claim),
	}
}

// setCoordinator sets the coordinator of an unfinished logged job.
func (t *jobTable) setCoordinator(j *job, coordinator api.EntryRef, coordinatorOffset uint64) {
	t.dropCoordinator(j)
	j.coordinator, j.coordinatorOffset = coordinator, coordinatorOffset
	j.adoptableSince = time.Time{}
	jobs := t.byCoordinator[coordinator]
	if jobs == nil {
		jobs = make(map[string]*job)
		t.byCoordinator[coordinator] = jobs
	}
	jobs[j.spec.ID] = j
}

// dropCoordinator removes the job from the unfinished ones of its coordinator.
func (t *jobTable) dropCoordinator(j *job) {
	jobs := t.byCoordinator[j.coordinator]
	delete(jobs, j.spec.ID)
	if len(jobs) == 0 {
		delete(t.byCoordinator, j.coordinator)
	}
}

// Limits on the finished jobs whose answers are kept for retries.
const (
	maxFinishedJobs = 20000
	maxFinishedBody = 8 << 20 // bytes
)

// finishJob sets the final answer of a job and sends it to the waiters.
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
	c.jobs.dropCoordinator(j)
	for _, w := range j.waiters {
		c.reply(w, answer)
	}
	j.waiters = nil
	if !j.keepAnswer {
		delete(c.jobs.byID, j.spec.ID)
		return
	}
	c.jobs.finished = append(c.jobs.finished, j)
	c.jobs.bodyBytes += answer.BodyBytes()
}

// expireFinished drops finished jobs that are past their retention or too many, and
// the oldest answers if the kept ones take too much memory.
func (c *Core) expireFinished() {
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
	c.expireKeys()
}

// expireKeysInterval is the interval between two scans of all keys. Keeping a key
// beyond its retention is harmless.
const expireKeysInterval = time.Minute

// expireKeys drops the keys that are past their retention.
func (c *Core) expireKeys() {
	t := &c.jobs
	if c.now.Sub(t.keysChecked) < expireKeysInterval {
		return
	}
	t.keysChecked = c.now
	for ref, k := range t.keys {
		isUsed := k.logged || t.byID[k.jobID] == nil
		if isUsed && c.now.Sub(k.readAt) >= c.cfg.KeyRetention {
			delete(t.keys, ref)
		}
	}
}

// dropBody replaces the kept answer by one that reports that the body was dropped.
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
