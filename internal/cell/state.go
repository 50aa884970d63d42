package cell

import "math"

// job is a job with its progress. The scheduler owns it.
type job struct {
	*Job
	final       State // empty while the job lives
	acceptSeq   uint64
	endSeq      uint64 // of the record with the final state
	recordSeq   uint64 // of the newest record
	endedUnixMS int64
	accepted    Instant
	started     bool // a task has run
	restored    bool // read back by a new holder; its tasks may run anywhere
	dirty       bool // the progress has to be written
	occurrences map[int]*occurrence
	finished    map[int]bool // occurrences of a repeated job that are complete
	nextDue     int          // the occurrence that becomes due next
}

// occurrence is one pass through the steps of a job.
type occurrence struct {
	job    *job
	number int
	due    Instant
	steps  []*step
	left   int // steps that are not done
}

// step is one step of one occurrence.
type step struct {
	job      *job
	occ      *occurrence
	index    int
	def      *Step
	demand   Resources
	tasks    []*task
	done     int
	queued   bool    // in the list of waiting steps
	readyAt  Instant // when the step was first queued
	latest   Instant // latest start for the job to meet its objective
	expires  Instant // start after which the job earns nothing
	permits  permits
	failed   []uint32 // failed runs of a gang
	failedOn []string // workers on which a run of a task failed
	lastRun  uint32   // highest run of any task
	saved    string   // newest checkpoint of a gang
	started  bool
	plan     gangPlan // of a gang that holds room
	searchAt Instant  // when room is searched for again if none becomes free
}

// name returns the name of the step at the policy service.
func (s *step) name() string {
	return TaskID{Job: s.job.ID, Occurrence: s.occ.number, Step: s.index}.StepName()
}

// task is one task of a step.
type task struct {
	step     *step
	index    int
	done     bool
	failed   []uint32 // failed runs
	lastRun  uint32
	saved    string // newest checkpoint
	attempts []*attempt
	// wantsCopy is set if a second run should start beside a slow one.
	wantsCopy bool
}

// isPlaceable reports whether a run of the task should be started.
func (t *task) isPlaceable() bool {
	return !t.done && (len(t.attempts) == 0 || t.wantsCopy && len(t.attempts) == 1)
}

func (t *task) id() TaskID {
	return TaskID{Job: t.step.job.ID, Occurrence: t.step.occ.number, Step: t.step.index, Index: t.index}
}

// phase is what the scheduler knows of an attempt.
type phase int

const (
	starting phase = iota // the order is out
	running               // the worker has confirmed it
	closing               // stopped, or unanswered: a stop is out
)

// attempt is one run of a task on a worker. It holds room until the worker lists
// its end or can no longer run it.
type attempt struct {
	task      *task
	run       uint32
	worker    *worker
	phase     phase
	demand    Resources
	started   Instant
	confirmed Instant // when the worker confirmed the start or the stop
	load      int64   // as last listed, see RunningTask
	pace      int     // share in percent at which a filler works
	progress  progress
	resumed   bool    // began at a checkpoint, or under an earlier holder
	judgedAt  Instant // progress.at when the speed was last judged
	relative  float64 // speed compared with the other runs of the step; 0 if unknown
	ends      Instant // estimate
}

type runKey struct {
	task TaskID
	run  uint32
}

// worker is the accounting of one worker.
type worker struct {
	WorkerInfo
	mix      uint64 // hash of the ID
	listed   bool   // in the platform's registry
	fenced   bool   // has listed its tasks to this holder
	life     int64
	used     Resources
	attempts map[runKey]*attempt
	// foreign holds runs that the worker lists and the scheduler does not know,
	// until their end is listed. The worker takes no work meanwhile.
	foreign      map[runKey]bool
	lastListed   Instant // when the newest listing was asked for
	lastEnd      uint64  // highest number of a processed end
	ends         []*pendingEnd
	acknowledged uint64
	health       health
	speed        speed
	avoidUntil   Instant
	held         bool          // kept free for the upkeep of its machine
	leavesAt     Instant       // when a draining worker may leave; 0 if unknown
	pacedAt      Instant       // when fillers were last paced
	reservations []reservation // of the present placement pass
	// namedBy is the sequence number of the record of workers that names this one;
	// 0 if that of an earlier holder does, unnamed if none has to.
	namedBy uint64
}

// pendingEnd is an end that may be acknowledged once the log holds the record
// that tells of it.
type pendingEnd struct {
	number uint64
	job    *job   // nil if the end changed nothing
	seq    uint64 // of the record; set when the progress of the job is written
}

// unwritten is the sequence number of a record that is not written yet.
const unwritten = math.MaxUint64

// unnamed stands for the record of workers that names a worker without tasks that
// leaves: there is none.
const unnamed = unwritten - 1

func (w *worker) free() Resources { return w.Capacity.Plus(w.used, -1) }

// takesWork reports whether new tasks may be placed on the worker.
func (w *worker) takesWork(now Instant) bool {
	return w.listed && w.fenced && !w.Draining && !w.held && len(w.foreign) == 0 && now >= w.avoidUntil
}

// isNamed reports whether the log names the worker. A new holder waits for the
// workers that the log names before it places restored tasks, so a worker that it
// does not name must run none.
func (s *Scheduler) isNamed(w *worker) bool { return w.namedBy <= s.stored }

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
	// Term counts the holders of the cell before this one. Run numbers of tasks
	// that were read back start above 1000 times the term, because the
	// scheduler cannot know every number that earlier holders used.
	Term uint32
	// RestoreUntil is the time until which tasks of restored jobs may still run
	// on workers that this holder has not reached.
	RestoreUntil Instant
	// FarFactor is how many times longer a task takes away from its data, or a
	// step with OneRack on several racks.
	FarFactor float64
	// KeepEndedMS is how long the state of an ended job is kept, in ms.
	KeepEndedMS int64
	// StopTimeoutMS is the longest time in ms that a worker takes to stop a run.
	StopTimeoutMS int64
}

// Scheduler decides for one cell. It is not safe for concurrent use.
type Scheduler struct {
	cfg     Config
	now     Instant
	unixMS  int64
	actions []Action
	seq     uint64 // of the last Persist
	stored  uint64

	jobs      map[string]*job
	workers   map[string]*worker
	waiting   []*step // steps with tasks to place, by latest start
	dirty     []*job
	newEnds   []*pendingEnd    // taken since the last write of progress
	unstored  map[*worker]bool // workers with ends that may not be acknowledged yet
	reserved  []*worker        // workers with reservations of the present pass
	freed     []*worker        // workers that have gained room since the last pass
	changed   bool             // an attempt was opened, or a task or job has ended, since waiting was looked through
	rename    bool             // the record of workers has to be written
	rosterSeq uint64           // of the newest record of workers
	before    map[string]bool  // workers of earlier holders that have not listed their tasks
	callers   callers
	shares    shares
	checkAt   Instant // when what runs is checked next
	judgeAt   Instant // when speeds are compared next
	turn      int     // position in the queue from which on a pass tries other steps
	// unaskedSince is when a worker last appeared that steps may not have asked for.
	unaskedSince Instant
	asks         []*step // steps that wait for a call of the policy service
	reaper       []*job  // ended jobs, oldest first
	timed        []*job  // jobs with occurrences to come
}

// New returns a scheduler without jobs and workers.
func New(cfg Config) *Scheduler {
	return &Scheduler{
		cfg:      cfg,
		jobs:     map[string]*job{},
		workers:  map[string]*worker{},
		unstored: map[*worker]bool{},
		before:   map[string]bool{},
		callers:  callers{},
		shares:   shares{},
	}
}

// checkIntervalMS is the pause between two checks of what runs, in ms. Workers list
// their tasks less often.
const checkIntervalMS = 100

// Tick sets the time. The holder calls it before it passes events.
func (s *Scheduler) Tick(now Instant, unixMS int64) {
	s.now = max(s.now, now)
	s.unixMS = unixMS
}

// Actions runs the decisions that are due and returns what the holder has to do.
func (s *Scheduler) Actions() []Action {
	if len(s.before) > 0 && s.Settled() {
		clear(s.before)
		s.rename = true
	}
	s.openOccurrences()
	if s.now >= s.checkAt {
		s.checkAt = s.now + checkIntervalMS
		s.checkHangs()
		s.judgeSpeeds()
		s.evacuate()
		s.dropDrained()
		s.paceFillers()
	}
	s.place()
	s.askPolicy()
	s.writeProgress()
	s.writeRoster()
	s.forget()
	out := s.actions
	s.actions = nil
	return out
}

func (s *Scheduler) act(a Action) { s.actions = append(s.actions, a) }

// persist emits a record and returns its sequence number.
func (s *Scheduler) persist(key string, value []byte) uint64 {
	s.seq++
	s.act(Persist{Seq: s.seq, Key: key, Value: value})
	return s.seq
}

// Stored notes that all records up to seq are in the log.
func (s *Scheduler) Stored(seq uint64) {
	if s.stored < s.rosterSeq && seq >= s.rosterSeq {
		for _, w := range s.workers {
			s.freed = append(s.freed, w) // the log names all of them now
		}
	}
	s.stored = max(s.stored, seq)
	for w := range s.unstored {
		s.releaseEnds(w)
	}
}

// releaseEnds moves the acknowledgement past all ends whose records are stored.
func (s *Scheduler) releaseEnds(w *worker) {
	n, last := 0, w.acknowledged
	for n < len(w.ends) && w.ends[n].seq <= s.stored {
		last = max(last, w.ends[n].number)
		n++
	}
	w.ends = w.ends[n:]
	s.acknowledge(w, last)
	if len(w.ends) == 0 {
		delete(s.unstored, w)
	} else {
		s.unstored[w] = true
	}
}

// acknowledge lets a worker forget its ends up to a number.
func (s *Scheduler) acknowledge(w *worker, number uint64) {
	if number != w.acknowledged {
		w.acknowledged = number
		s.act(Acknowledge{Worker: w.ID, Number: number})
	}
}

// Acknowledged returns the highest number of the worker's ends that may be
// forgotten by it.
func (s *Scheduler) Acknowledged(workerID string) uint64 {
	if w := s.workers[workerID]; w != nil {
		return w.acknowledged
	}
	return 0
}

// writeRoster persists the workers in use when one was added, or when some that
// left can no longer run anything.
func (s *Scheduler) writeRoster() {
	if !s.rename {
		return
	}
	s.rename = false
	r := roster{}
	for id, w := range s.workers {
		if w.namedBy != unnamed {
			r.Workers = append(r.Workers, id)
		}
	}
	for id := range s.before {
		if s.workers[id] == nil {
			r.Workers = append(r.Workers, id)
		}
	}
	s.rosterSeq = s.persist(rosterKey, encode(r))
	for _, w := range s.workers {
		if w.namedBy == unwritten {
			w.namedBy = s.rosterSeq
		}
	}
}

// Settled reports whether tasks of restored jobs may be placed: every worker
// that may run one has listed its tasks, or can no longer run them.
func (s *Scheduler) Settled() bool { return len(s.before) == 0 || s.now >= s.cfg.RestoreUntil }
