package cell

// Action is something that the holder has to do for the scheduler.
type Action interface{ isAction() }

// Start starts a run of a task on a worker. Its result comes back as Started.
type Start struct {
	Worker     string
	Task       TaskID
	Run        uint32
	Spec       string
	Checkpoint string // where the run resumes; empty for the beginning
	Permit     string // of the policy service; empty if the queue needs none
}

// Stop ends a run. The holder repeats it until the worker has answered.
type Stop struct {
	Worker string
	Task   TaskID
	Run    uint32
	Reason string // for the log
}

// Pace sets the share, in percent, at which a filler works.
type Pace struct {
	Worker  string
	Task    TaskID
	Run     uint32
	Percent int
}

// AskPolicy asks the policy service, through the entry process Caller, which of
// the workers may run the step. Its result comes back as Permitted.
type AskPolicy struct {
	Caller  string
	Step    string
	Workers []string
}

// Acknowledge lets a worker forget its ends up to a number, from its next renewal
// on.
type Acknowledge struct {
	Worker string
	Number uint64
}

// Persist writes the newest record of a key; a nil Value drops the key. The
// holder reports Stored(Seq) once it and all before it are in the log.
type Persist struct {
	Seq   uint64
	Key   string
	Value []byte
}

// Decision is a line for the log and counts in the metrics.
type Decision struct {
	Event  Event
	Failed bool // the line tells of something that went wrong
	Job    string
	Task   string // name of the task or step
	Run    uint32
	Worker string
	Detail string
	AgeMS  int64 // by event, see Events
}

// Event names a kind of decision.
type Event string

// Events of the scheduler.
const (
	EventJobTaken        Event = "job_taken"
	EventJobCompleted    Event = "job_completed"
	EventJobFailed       Event = "job_failed"
	EventJobCancelled    Event = "job_cancelled"
	EventPermitsGiven    Event = "permits_given"
	EventPermitsFailed   Event = "permits_failed"
	EventStepPlaced      Event = "step_placed"
	EventStepPlacedLate  Event = "step_placed_late"
	EventStartRefused    Event = "start_refused"
	EventRunFailed       Event = "run_failed"
	EventRunHung         Event = "run_hung"
	EventRunSlow         Event = "run_slow"
	EventRunLost         Event = "run_lost"
	EventWorkerDraining  Event = "worker_draining"
	EventWorkerLapsed    Event = "worker_lapsed"
	EventWorkerRestarted Event = "worker_restarted"
)

// EventInfo tells what an event means.
type EventInfo struct {
	Event   Event
	Meaning string
	Age     string // what age_ms is
	Detail  string
}

// Events lists the events of the scheduler.
var Events = []EventInfo{
	{EventJobTaken, "a job was handed in; it counts once it is stored", "", "queue"},
	{EventJobCompleted, "all tasks of a job have ended as done", "age of the job", "queue"},
	{EventJobFailed, "a task or gang has failed as often as the queue allows", "age of the job", "queue"},
	{EventJobCancelled, "the caller cancelled the job", "age of the job", "queue"},
	{EventPermitsGiven, "the policy service answered for a step", "time of the call", "workers allowed/asked; worker is the calling process"},
	{EventPermitsFailed, "the policy service did not answer; the step is asked for again", "time of the call", "worker is the calling process"},
	{EventStepPlaced, "tasks of a step were placed", "wait since the step was ready", "queue, tasks placed/all"},
	{EventStepPlacedLate, "the same, after the latest start for the job's objective", "wait since the step was ready", "queue, tasks placed/all"},
	{EventStartRefused, "a worker did not carry out a start, or did not answer", "time since the order", "the worker's reason"},
	{EventRunFailed, "a run of a task failed", "failed runs of the task so far", "queue"},
	{EventRunHung, "a run makes no progress and is stopped", "time without progress", ""},
	{EventRunSlow, "a run on a slow worker is stopped and goes on elsewhere from its checkpoint", "time that the move gains", ""},
	{EventRunLost, "a run was stopped, lapsed or waited for its gang in vain; the task is placed again", "", "how it ended"},
	{EventWorkerDraining, "a worker says that it leaves", "time left as the worker told it", ""},
	{EventWorkerLapsed, "the lease of a silent worker has run out; its tasks are placed again", "number of tasks", ""},
	{EventWorkerRestarted, "a worker has started anew; its tasks are placed again", "number of tasks", ""},
}

// endEvents are the events of final states.
var endEvents = map[State]Event{Completed: EventJobCompleted, Failed: EventJobFailed, Cancelled: EventJobCancelled}

func (Start) isAction()       {}
func (Stop) isAction()        {}
func (Pace) isAction()        {}
func (AskPolicy) isAction()   {}
func (Acknowledge) isAction() {}
func (Persist) isAction()     {}
func (Decision) isAction()    {}

// StartOutcome is how a worker answered a start.
type StartOutcome int

// Outcomes of a start.
const (
	StartAccepted   StartOutcome = iota
	StartNoRoom                  // the worker lacks room
	StartOldRun                  // the run number was used before
	StartTooLate                 // the deadline of the order had passed
	StartNoPermit                // the permit was missing or had expired
	StartFenced                  // the worker obeys a newer holder
	StartUnhealthy               // the worker refuses work for now
	StartWrongLife               // the worker has been restarted
	StartInvalid                 // the worker does not accept the order at all
	StartUnanswered              // the order may be carried out now or later
	StartNotSent                 // too many starts at the worker are under way
)

var startOutcomeNames = [...]string{"accepted", "no_room", "old_run", "too_late", "no_permit", "fenced", "unhealthy", "wrong_life", "invalid", "unanswered", "not_sent"}

// String returns the name for logs.
func (o StartOutcome) String() string { return startOutcomeNames[o] }

// EndKind is how a run ended.
type EndKind string

// Kinds of ends.
const (
	EndDone    EndKind = "done"
	EndFailed  EndKind = "failed"
	EndStopped EndKind = "stopped"
	EndLapsed  EndKind = "lapsed" // the worker's lease ran out
	EndBroken  EndKind = "broken" // another task of the gang ended
	EndAlone   EndKind = "alone"  // the gang did not assemble in time
)

// RunningTask is a run that a worker lists.
type RunningTask struct {
	Task       TaskID
	Run        uint32
	Checkpoint string
	Percent    int
	// Load is the tail latency in ms of a service task, and the processors in
	// use in thousandths of a core of any other task.
	Load int64
}

// EndedTask is an end that a worker lists until it is acknowledged.
type EndedTask struct {
	Number     uint64
	Task       TaskID
	Run        uint32
	Kind       EndKind
	Checkpoint string
}

// Listing is the state of a worker as the worker told it.
type Listing struct {
	Worker string
	Life   int64 // start of the worker in Unix ms
	// Asked is when the request for the listing was sent. Everything that a
	// worker had confirmed before is part of the listing.
	Asked   Instant
	Running []RunningTask
	Ended   []EndedTask
}

// WorkerInfo is what the platform's registry says of a worker.
type WorkerInfo struct {
	ID       string
	Service  string
	Address  string
	Domain   string
	Rack     string
	Labels   []string
	Capacity Resources
	Draining bool
	// LeavesInMS is the least time in ms that a draining worker has left; 0 if
	// unknown.
	LeavesInMS int64
	Life       int64 // start of the worker in Unix ms; 0 if unknown
}
