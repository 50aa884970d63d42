package cell

import "slices"

// Action is an instruction from the Scheduler that the holder carries out.
type Action interface{ isAction() }

// Start starts a run of a task on a worker. The holder reports the result through
// Scheduler.Started.
type Start struct {
	Worker     string
	Task       TaskID
	Run        uint32
	Spec       string
	Checkpoint string // checkpoint to resume from; empty to start from the beginning
	Ticket     string // ticket from the policy service; empty if the queue needs none
}

// Stop stops a run. The holder repeats the order until the worker has answered it.
type Stop struct {
	Worker string
	Task   TaskID
	Run    uint32
	Reason string // for the logs
}

// Throttle sets the CPU share, in percent, that a filler may use.
type Throttle struct {
	Worker  string
	Task    TaskID
	Run     uint32
	Percent int
}

// RequestPermits asks the policy service, through the entry process Caller, which of the
// workers may run the step. The holder reports the result through
// Scheduler.PermitsReceived.
type RequestPermits struct {
	Caller  string
	Step    string
	Workers []string
}

// Acknowledge allows an incarnation of a worker to discard its ended runs up to Number.
// It is sent with the next lease renewal.
type Acknowledge struct {
	Worker      string
	Incarnation int64
	Number      uint64
}

// Persist writes the newest record of a key; a nil Value deletes the key. The holder
// calls Scheduler.Stored(Seq) once this record and all earlier ones are in the log.
type Persist struct {
	Seq   uint64
	Key   string
	Value []byte
}

// WorkerRemoved reports that the Scheduler keeps nothing about a worker any more, unless
// Scheduler.HasWorker says that it has come back. Calls to the worker can end.
type WorkerRemoved struct{ Worker string }

// LogEvent is an event to log and to count in the metrics.
type LogEvent struct {
	Event  Event
	Failed bool // the event is a failure; logged as a warning
	Job    string
	Task   string // task name or step name
	Run    uint32
	Worker string
	Detail string
	AgeMS  int64 // meaning depends on the event, see Events
}

// Event identifies a kind of LogEvent. Its value is the event name in the logs.
type Event string

// Events that a Scheduler emits.
const (
	EventJobAccepted        Event = "job_taken"
	EventJobCompleted       Event = "job_completed"
	EventJobFailed          Event = "job_failed"
	EventJobCancelled       Event = "job_cancelled"
	EventPermitsGiven       Event = "permits_given"
	EventPermitsFailed      Event = "permits_failed"
	EventPermitsRejected    Event = "permits_rejected"
	EventStepPlaced         Event = "step_placed"
	EventStepPlacedLate     Event = "step_placed_late"
	EventStepWaits          Event = "step_waits"
	EventStartRefused       Event = "start_refused"
	EventRunFailed          Event = "run_failed"
	EventRunHung            Event = "run_hung"
	EventRunSlow            Event = "run_slow"
	EventRunLost            Event = "run_lost"
	EventWorkerDraining     Event = "worker_draining"
	EventWorkerLeaseExpired Event = "worker_lapsed"
	EventWorkerReconciled   Event = "worker_reconciled"
	EventListingDropped     Event = "listing_dropped"
	EventCellResumed        Event = "cell_resumed"
	EventCellSettled        Event = "cell_settled"
	EventWorkerRestarted    Event = "worker_restarted"
	EventCrashSuspected     Event = "crash_suspected"
	EventTaskGivenUp        Event = "task_given_up"
	EventLimitReached       Event = "limit_reached"
	EventLimitLeft          Event = "limit_left"
)

// EventInfo documents an event for operators.
type EventInfo struct {
	Event   Event
	Meaning string
	Age     string // meaning of age_ms
	Detail  string
}

// Events lists the events that a Scheduler emits, with their meaning.
var Events = []EventInfo{
	{EventJobAccepted, "a job was submitted; it is accepted once its record is stored", "", "queue"},
	{EventJobCompleted, "all tasks of a job are done", "age of the job", "queue"},
	{EventJobFailed, "a task or gang has failed as often as the queue allows, or a task has crashed its workers", "age of the job", "queue"},
	{EventJobCancelled, "the caller cancelled the job, or submitted a job that was cancelled before", "age of the job", "queue"},
	{EventPermitsGiven, "the policy service answered a call for a step", "duration of the call", "workers allowed/named in the call; worker is the calling entry process"},
	{EventPermitsFailed, "the policy service did not answer a call for a step; the step requests permits again", "duration of the call", "worker is the calling entry process"},
	{EventPermitsRejected, "the policy service does not accept a call for a step; the step requests permits again after a delay that doubles from 0.25 to 30 s", "duration of the call", "worker is the calling entry process"},
	{EventStepPlaced, "tasks of a step were placed", "wait since the step was ready", "queue, tasks placed/all"},
	{EventStepPlacedLate, "tasks of a step were placed after the latest start for the job's objective", "wait since the step was ready", "queue, tasks placed/all"},
	{EventStepWaits, "a step has waited for 10 s or more; the constraint that holds it, and for each check how many workers pass it and all earlier ones, and the tasks that they take", "wait since the step was ready", "constraint, tasks needed, workers/tasks of each check"},
	{EventStartRefused, "a worker refused a start or did not answer it, or the start was not sent", "time since the order", "outcome of the start"},
	{EventRunFailed, "a run of a task failed", "failed runs of the task so far", "queue"},
	{EventRunHung, "a run makes no progress and is stopped", "time without progress", "percent done"},
	{EventRunSlow, "a run on a slow worker is stopped; its task continues on another worker from the checkpoint", "estimated time saved by the move", ""},
	{EventRunLost, "a run was stopped, ended with the worker's lease, or its gang did not assemble in time; the task is placed again", "", "how the run ended"},
	{EventWorkerDraining, "a worker is draining and gets no new tasks", "minimum time until the worker leaves; 0 if unknown", ""},
	{EventWorkerLeaseExpired, "the lease of an unreachable worker has expired, or the worker was replaced; its tasks are placed again", "number of tasks", ""},
	{EventCrashSuspected, "a worker crashed soon after it started the task; until a run lasts, the task is started where no other task starts", "such crashes of the task in a row", "whether no other step had started a task there"},
	{EventTaskGivenUp, "a task has crashed its workers; its job fails", "crashes under the task", "queue"},
	{EventLimitReached, "the limit of a workspace begins to hold steps of it", "", "workspace, what its tasks use of what they may"},
	{EventLimitLeft, "the limit of a workspace has held no step for 1 s", "for how long it held some", "workspace, what its tasks use of what they may"},
	{EventWorkerRestarted, "a worker has restarted; its tasks are placed again", "number of tasks", ""},
	{EventWorkerReconciled, "after a takeover, a worker that an earlier holder used is accounted for, later than most or without a listing: none of the tasks of older jobs waits for it any more", "time since the records were read", "listed, lease_expired, replaced, or waited for the longest lease that an earlier holder can have given"},
	{EventListingDropped, "a worker without accounting has sent a listing, which is not used; reported once until the registry names the worker", "", "runs and ends listed"},
	{EventCellResumed, "after a takeover, tasks of older jobs are placed unless an unreachable worker may be running them", "time since the records were read", "unreachable workers whose tasks still wait"},
	{EventCellSettled, "after a takeover, every worker has listed its tasks or can run none any more", "time since the records were read", "workers without a listing, for whose leases the holder waited"},
}

// endEvents maps each final job state to the event that reports it.
var endEvents = map[State]Event{Completed: EventJobCompleted, Failed: EventJobFailed, Cancelled: EventJobCancelled}

func (Start) isAction()          {}
func (Stop) isAction()           {}
func (Throttle) isAction()       {}
func (RequestPermits) isAction() {}
func (Acknowledge) isAction()    {}
func (Persist) isAction()        {}
func (WorkerRemoved) isAction()  {}
func (LogEvent) isAction()       {}

// StartOutcome is a worker's response to a start order.
type StartOutcome int

// Outcomes of a start order.
const (
	StartAccepted         StartOutcome = iota
	StartNoCapacity                    // not enough free resources on the worker
	StartOldRun                        // the run number has been used before
	StartTooLate                       // the order arrived after its deadline
	StartNoPermit                      // the permit is missing or has expired
	StartFenced                        // the worker has accepted a newer holder
	StartUnhealthy                     // the worker temporarily refuses tasks
	StartWrongIncarnation              // the worker has restarted
	StartInvalid                       // any other error response
	StartUnanswered                    // no response: the order may have been, or may still be, carried out
	StartNotSent                       // too many start orders to the worker are in flight
)

var startOutcomeNames = [...]string{"accepted", "no_room", "old_run", "too_late", "no_permit", "fenced", "unhealthy", "wrong_life", "invalid", "unanswered", "not_sent"}

// String returns the name of the outcome as it appears in logs.
func (o StartOutcome) String() string { return startOutcomeNames[o] }

// EndKind is how a run ended.
type EndKind string

// Kinds of ends.
const (
	EndDone            EndKind = "done"
	EndFailed          EndKind = "failed"
	EndStopped         EndKind = "stopped"
	EndLeaseExpired    EndKind = "lapsed" // the worker's lease expired
	EndGangMemberEnded EndKind = "broken" // another task of the gang ended
	EndGangIncomplete  EndKind = "alone"  // the gang did not assemble in time
)

// RunningTask is a run that a worker reports as running.
type RunningTask struct {
	Task       TaskID
	Run        uint32
	Checkpoint string
	Percent    int
	// Load is the tail latency in ms of a service task, and the CPU use in thousandths
	// of a core of any other task.
	Load int64
}

// EndedTask is an ended run. The worker reports it until it is acknowledged.
type EndedTask struct {
	Number     uint64
	Task       TaskID
	Run        uint32
	Kind       EndKind
	Checkpoint string
}

// Listing is a worker's report of its running and ended tasks.
type Listing struct {
	Worker      string
	Incarnation int64 // worker's start time in Unix ms
	// RequestedAt is when the listing was requested. It includes everything that the
	// worker had confirmed before that time.
	RequestedAt Instant
	Running     []RunningTask
	Ended       []EndedTask
	// EndsOmitted is set if the worker may hold more ended tasks than Ended lists. A run
	// that the listing lacks may have ended then.
	EndsOmitted bool
}

// WorkerInfo describes a worker as the platform's registry lists it.
type WorkerInfo struct {
	ID       string
	Service  string
	Address  string
	Domain   string
	Rack     string
	Labels   []string
	Capacity Resources
	Draining bool
	// LeavesInMS is the minimum time in ms until a draining worker leaves; 0 if
	// unknown.
	LeavesInMS  int64
	Incarnation int64 // worker's start time in Unix ms; 0 if unknown
}

// suitsLike reports whether the two entries suit the same steps.
func (i *WorkerInfo) suitsLike(other *WorkerInfo) bool {
	return i.Service == other.Service && i.Draining == other.Draining && i.Capacity == other.Capacity && slices.Equal(i.Labels, other.Labels)
}
