package cell

import "math"

// job is a job and its progress.
type job struct {
	*Job
	use         *workspaceUse // nil if the job has no workspace
	final       State         // empty until the job has ended
	acceptSeq   uint64
	endSeq      uint64  // of the record with the final state
	recordSeq   uint64  // of the newest record
	ended       Instant // on this holder's clock, so that steps of the wall clock do not age it
	accepted    Instant
	unsubmitted bool         // cancelled before it was submitted
	keyless     bool         // that was by a caller without a key, and does not apply to jobs of workspaces
	stopping    stoppingRuns // of a restored job that has ended
	started     bool         // a task has run
	restored    bool         // read from the log by a new holder; its tasks may be running on any worker
	offsets     []int        // by step, see stepOffsets
	dirty       bool         // the progress must be written
	// changedParts and storedParts are the parts of the progress that must be written, and
	// those that have a record.
	changedParts map[int]bool
	storedParts  map[int]bool
	occurrences  map[int]*occurrence
	finished     numberSet // completed occurrences of a repeated job
	nextDue      int       // number of the occurrence that becomes due next
}

// occurrence is one execution of the steps of a job. A job without a schedule has a
// single occurrence, number 0.
type occurrence struct {
	job    *job
	number int
	due    Instant // when the job was accepted or the occurrence was scheduled
	steps  []*step
	left   int // steps that are not complete
}

// step is a step of an occurrence.
type step struct {
	job          *job
	occ          *occurrence
	index        int
	def          *Step
	demand       Resources
	tasks        []*task
	done         int
	queued       bool    // in the list of waiting steps
	readyAt      Instant // when the step was first queued
	waitReported Instant // when EventStepWaits was last emitted; 0 if never
	latestStart  Instant // latest start for the job to meet its objective
	expires      Instant // latest start for the job to have any value
	permits      permits
	failed       []uint32 // failed runs of a gang
	failedOn     []string // workers on which a run of a task failed
	lastRun      uint32   // highest run number of all tasks
	brokenRun    uint32   // newest run of a gang that a failed member ended; the workers end the others
	checkpoint   string   // newest checkpoint of a gang
	started      bool
	gangEnd      Instant  // when the slowest member of a running gang is estimated to end
	plan         gangPlan // of a gang that does not fit yet
	nextSearch   Instant  // when to search for capacity again even if no worker has gained any
	limited      bool     // the limit of its workspace held the step in the last pass
	suspects     int      // tasks that are suspected of crashing workers
	otherTried   bool     // a task that is not suspected was on trial since suspects was 0
}

// name returns the step name as used in calls to the policy service.
func (s *step) name() string {
	return TaskID{Job: s.job.ID, Occurrence: s.occ.number, Step: s.index}.StepName()
}

// task is a task of a step.
type task struct {
	step       *step
	index      int
	done       bool
	failed     []uint32 // failed runs
	lastRun    uint32   // highest run number
	checkpoint string   // newest checkpoint
	attempts   []*attempt
	crashes    crashes
	// openCrashes are those of the counted crashes that are not confirmed.
	openCrashes []openCrash
	restarts    restarts // of a task of a service
	// speculate is set if a speculative attempt should start alongside a slow one.
	speculate bool
	// unreconciledOn holds the workers that may be running the task for an earlier holder
	// and have not sent a listing.
	unreconciledOn []string
	// unknownOn holds the workers that list a run of the task without an attempt, which is being
	// stopped, once for each such run.
	unknownOn []string
}

// isPlaceable reports whether an attempt of the task should be started.
func (t *task) isPlaceable() bool {
	return !t.done && !t.mayRunUnknown() && (len(t.attempts) == 0 || t.speculate && len(t.attempts) == 1)
}

// mayRunUnknown reports whether a worker may be running the task without an attempt.
func (t *task) mayRunUnknown() bool { return len(t.unreconciledOn) > 0 || len(t.unknownOn) > 0 }

func (t *task) id() TaskID {
	return TaskID{Job: t.step.job.ID, Occurrence: t.step.occ.number, Step: t.step.index, Index: t.index}
}

// phase is the state of an attempt.
type phase int

const (
	starting phase = iota // the start order was emitted and is not confirmed
	running               // the worker has confirmed the run
	stopping              // a stop was emitted, also after an unanswered start order
)

// attempt is a run of a task on a worker. It occupies the worker's resources until the
// worker reports its end or can no longer run it.
type attempt struct {
	task         *task
	run          uint32
	worker       *worker
	phase        phase
	demand       Resources
	started      Instant
	confirmed    Instant // when the worker confirmed the start or the stop
	stopEmitted  Instant // when a stop was last emitted
	load         int64   // last reported value of RunningTask.Load
	cpuShare     int     // CPU share of a filler in percent
	progress     progress
	placed       bool    // started by this holder
	accepted     bool    // the worker has confirmed the start
	runningSince Instant // when it did
	onTrial      bool    // no other step starts tasks on the worker, to show whether this one crashes it
	resumed      bool    // resumed from a checkpoint or adopted from an earlier holder
	comparedAt   Instant // progress.at in the last speed comparison
	relative     float64 // speed relative to the other runs of the step; 0 if unknown
	estimatedEnd Instant
}

type runKey struct {
	task TaskID
	run  uint32
}

// worker is the state and resource accounting of one worker. Facts about its process are
// in life, which a restart replaces; the other fields are about its ID, its VM or the orders
// of this holder.
type worker struct {
	WorkerInfo
	life
	idHash      uint64    // hash of the ID
	registered  bool      // in the platform's registry
	fenced      bool      // has sent a listing to this holder, and so rejects earlier holders
	used        Resources // by attempts
	attempts    map[runKey]*attempt
	health      health
	speed       speed
	cordoned    bool    // excluded from placement during maintenance of its VM
	undrainedAt Instant // when Undrain was called, until the next listing; 0 if it was not
	unreachable bool    // has not answered since a renewal of its lease failed
	silentSince Instant // when that renewal failed
	// unansweredUntil is when the starts without an answer can run nowhere any more, once the lease
	// of the known incarnation has expired; 0 before.
	unansweredUntil Instant
	listedClosed    bool          // the newest roster lists the worker as closed
	leavesAt        Instant       // when a draining worker may leave; 0 if unknown
	trial           *attempt      // of a suspected task; no other step may start tasks meanwhile
	reservations    []reservation // made in the current placement pass
	// rosterSeq is the sequence number of the roster record that contains the worker as
	// open: 0 if an earlier holder wrote it, notInRoster if the worker needs none.
	rosterSeq uint64
}

// life is what is known about one incarnation of a worker. Another one runs nothing and
// numbers its ends from 1, so it gets a new life.
type life struct {
	incarnation int64 // start time in Unix ms, from the newest listing
	// unknownRuns holds runs that the worker reports but for which the Scheduler has no
	// attempt, and when their stop was last emitted. The worker gets no tasks until they
	// have ended.
	unknownRuns  map[runKey]Instant
	charges      map[runKey]charge // of these runs
	lastListing  Instant           // when the newest listing was requested
	endsOmitted  bool              // the newest listing may lack ended tasks
	lastEnd      uint64            // highest number of a processed end
	pendingEnds  []*pendingEnd
	acknowledged uint64  // number up to which ends are acknowledged
	avoidUntil   Instant // no tasks are placed on the worker before
	lastStart    Instant // when a task was last placed on the worker; 0 if never
	keptFor      *step   // for whose trial the worker starts no tasks until keptUntil
	keptUntil    Instant // 0 if the worker is not kept
	throttledAt  Instant // when the CPU share of a filler last changed
}

func newLife(incarnation int64) life {
	return life{incarnation: incarnation, unknownRuns: map[runKey]Instant{}, charges: map[runKey]charge{}}
}

// pendingEnd is an ended run that may be acknowledged once the log holds the record
// that accounts for it.
type pendingEnd struct {
	number uint64
	job    *job   // nil if the end changed nothing
	seq    uint64 // of the record; set when the job's progress is written
}

// unwritten is the sequence number of a record that has not been written yet.
const unwritten = math.MaxUint64

// notInRoster is the rosterSeq of a draining worker without runs, which was removed
// from the roster.
const notInRoster = unwritten - 1

func (w *worker) free() Resources { return w.Capacity.AddScaled(w.used, -1) }

// takesWork reports whether new tasks may be placed on the worker.
func (w *worker) takesWork(now Instant) bool {
	return w.fenced && !w.isClosed() && w.isDescribed() && len(w.unknownRuns) == 0 && now >= w.avoidUntil
}

// isDescribed reports whether the registry's entry is about the present incarnation of the
// worker. That of another one may name a capacity and labels that it does not have.
func (w *worker) isDescribed() bool {
	return w.Incarnation == 0 || w.Incarnation == w.incarnation
}

func (w *worker) hasLabel(label string) bool {
	if label == "" {
		return true
	}
	for _, l := range w.Labels {
		if l == label {
			return true
		}
	}
	return false
}

// Config holds the settings of a Scheduler.
type Config struct {
	// Term is the number of earlier holders of the cell. Run numbers of restored tasks
	// start above 1000 times the term, because the log does not hold every run number
	// that earlier holders used.
	Term uint32
	// RestoreUntil is the time until which tasks of restored jobs may still be running
	// on workers that this holder has not reached, unless another holder has succeeded it.
	RestoreUntil Instant
	// RemoteDataFactor is how many times longer a task takes if it runs on a rack other
	// than Step.DataRack, or if a OneRack step is spread over racks. Run time estimates
	// apply it only in the first case.
	RemoteDataFactor float64
	// KeepEndedMS is how long the state of an ended job is kept, in ms.
	KeepEndedMS int64
	// StopTimeoutMS is the maximum time in ms that a worker takes to stop a run.
	StopTimeoutMS int64
	// LimitsRequired is set if workspaces have limits: their tasks start only once SetWorkspaces
	// has been called.
	LimitsRequired bool
	// LongestLeaseMS is the longest time that the lease of a worker can last on this process's clock, in ms.
	LongestLeaseMS int64
}

// Scheduler makes the placement decisions of one cell. It is not safe for concurrent
// use.
type Scheduler struct {
	cfg    Config
	now    Instant
	unixMS int64
	// confirmed is the newest time at which this holder certainly had no successor.
	confirmed Instant
	actions   []Action
	seq       uint64 // of the last Persist
	stored    uint64 // highest sequence number in the log

	jobs         map[string]*job
	workers      map[string]*worker
	waiting      []*step          // steps with tasks to place, by latest start
	dirty        []*job           // jobs whose progress must be written
	newEnds      []*pendingEnd    // received since progress was last written
	unstored     map[*worker]bool // workers with ends that may not be acknowledged yet
	reserved     []*worker        // workers with reservations in the current pass
	freed        []*worker        // workers with newly freed capacity since the last pass
	waitingStale bool             // waiting may contain steps without tasks to place
	rosterDirty  bool             // the roster must be written
	rosterSeq    uint64           // of the newest roster
	closingDue   Instant          // when the roster must list closed workers; 0 if it does
	// unreconciled holds the workers in the roster of earlier holders that have not sent
	// a listing, by ID.
	unreconciled     map[string]*unreconciledWorker
	openUnreconciled int             // number of them that are not closed
	rosterLost       bool            // the roster could not be read, so any worker may be in it
	reconciling      bool            // the reconciliation with these workers has not ended
	resumed          bool            // tasks of restored jobs may be placed
	restoredAt       Instant         // when the records were restored
	dropped          map[string]bool // workers whose dropped listing has been reported
	callers          callers
	allowedShares    allowedShares
	nextCheck        Instant // when runs are checked next
	nextComparison   Instant // when speeds are compared next
	rotation         int     // position in the queue after which a pass tries rotatingTries steps
	// workersVersion changes whenever a worker may have become suitable for a step or begins
	// another life. What a step has concluded from all workers holds for one version only.
	workersVersion uint64
	unanswered     map[*worker]bool         // workers whose unansweredUntil is set
	lost           map[string]*lostRuns     // runs of workers that have stopped answering, by worker ID
	trials         []*attempt               // runs of suspected tasks
	uses           map[string]*workspaceUse // by name of the workspace
	limitsKnown    bool                     // SetWorkspaces has been called
	passNumber     uint64                   // of placement passes
	callQueue      []*permitCall            // waiting for a caller
	backlog        callBacklog              // of calls, as last computed
	queuedCalls    map[bool]int             // number of calls in callQueue by permitCall.isLong
	endedJobs      []*job                   // in order of their end
	scheduledJobs  []*job                   // jobs with future occurrences
}

// New returns a Scheduler without jobs and workers.
func New(cfg Config) *Scheduler {
	return &Scheduler{
		cfg:           cfg,
		jobs:          map[string]*job{},
		workers:       map[string]*worker{},
		unstored:      map[*worker]bool{},
		unanswered:    map[*worker]bool{},
		unreconciled:  map[string]*unreconciledWorker{},
		lost:          map[string]*lostRuns{},
		dropped:       map[string]bool{},
		uses:          map[string]*workspaceUse{},
		callers:       callers{},
		allowedShares: allowedShares{},
		queuedCalls:   map[bool]int{},
	}
}

// checkIntervalMS is the interval between two checks of the runs, in ms. Workers send
// listings less often than that.
const checkIntervalMS = 100

// Tick sets the current time. The holder calls it before it passes events.
func (s *Scheduler) Tick(now Instant, unixMS int64) {
	s.now = max(s.now, now)
	s.unixMS = unixMS
}

// Confirm records that this holder had no successor yet at the given time. A successor may
// renew leases that this holder believes to have expired.
func (s *Scheduler) Confirm(at Instant) { s.confirmed = max(s.confirmed, at) }

// Actions makes all decisions that are due and returns the actions to carry out, in
// order.
func (s *Scheduler) Actions() []Action {
	s.reconcile()
	s.openOccurrences()
	if s.now >= s.nextCheck {
		s.nextCheck = s.now + checkIntervalMS
		s.stopHungRuns()
		s.endQuietProbations()
		s.compareSpeeds()
		s.evacuate()
		s.dropDrained()
		s.throttleFillers()
		s.confirmGone()
		s.releaseUnanswered()
		s.reportWaits()
		s.reportLimits()
	}
	s.checkTrials()
	s.place()
	s.dispatchCalls()
	s.writeProgress()
	s.writeRoster()
	s.dropEndedJobs()
	out := s.actions
	s.actions = nil
	return out
}

func (s *Scheduler) emit(a Action) { s.actions = append(s.actions, a) }

// persist emits a record and returns its sequence number.
func (s *Scheduler) persist(key string, value []byte) uint64 {
	s.seq++
	s.emit(Persist{Seq: s.seq, Key: key, Value: value})
	return s.seq
}

// Stored reports that all records up to seq are in the log.
func (s *Scheduler) Stored(seq uint64) {
	if s.stored < s.rosterSeq && seq >= s.rosterSeq {
		for _, w := range s.workers {
			s.freed = append(s.freed, w) // the stored roster now contains all of them
		}
	}
	s.stored = max(s.stored, seq)
	for w := range s.unstored {
		s.releaseEnds(w)
	}
}

// releaseEnds acknowledges the worker's ends up to the first one whose record is not
// stored.
func (s *Scheduler) releaseEnds(w *worker) {
	n, last := 0, w.acknowledged
	for n < len(w.pendingEnds) && w.pendingEnds[n].seq <= s.stored {
		last = max(last, w.pendingEnds[n].number)
		n++
	}
	w.pendingEnds = w.pendingEnds[n:]
	s.acknowledge(w, last)
	if len(w.pendingEnds) == 0 {
		delete(s.unstored, w)
	} else {
		s.unstored[w] = true
	}
}

// acknowledge emits an Acknowledge action if the number has changed.
func (s *Scheduler) acknowledge(w *worker, number uint64) {
	if number != w.acknowledged {
		w.acknowledged = number
		s.emit(Acknowledge{Worker: w.ID, Incarnation: w.incarnation, Number: number})
	}
}

// Acknowledged returns the number up to which the worker may discard its ended runs.
func (s *Scheduler) Acknowledged(workerID string) uint64 {
	if w := s.workers[workerID]; w != nil {
		return w.acknowledged
	}
	return 0
}
