package cell

import (
	"fmt"
	"iter"
	"slices"
)

// A placement pass tries the steps at the front of the queue until frontTries of them
// did not fit, and then rotatingTries more steps, which change from pass to pass.
// Trying every step would make passes over a long queue expensive; trying only the
// front would starve all others while the first steps fit nowhere. Steps whose permits
// have just arrived are tried in any case, because permits expire within seconds.
const (
	frontTries    = 48
	rotatingTries = 32
)

// place starts tasks of the waiting steps in placement order. Gangs that do not fit
// reserve capacity, so that smaller tasks do not starve them.
func (s *Scheduler) place() {
	for _, w := range s.reserved {
		w.reservations = w.reservations[:0]
	}
	s.reserved = s.reserved[:0]
	s.passNumber++
	s.updateUnlisted()
	var budget *reservationBudget
	tries, position := 0, 0
	order := s.order()
	for _, st := range order {
		if !s.placeable(st) {
			s.requestAhead(st)
			continue
		}
		if s.heldByLimit(st) {
			continue
		}
		if st.awaitsFirstPermits() {
			s.requestFirstPermits(st)
			continue
		}
		if st.def.Gang {
			if budget == nil {
				budget = s.newReservationBudget()
			}
			if s.placeGang(st, budget.allows(st)) {
				budget.spend(st)
			}
			continue
		}
		position++
		if !s.mayFindCapacity(st) || tries >= frontTries && !st.permits.unused && !s.inRotation(position) {
			continue
		}
		st.permits.unused = false
		if !s.placeTasks(st) {
			tries++
		}
	}
	clear(s.freed)
	s.freed = s.freed[:0]
	s.rotation += rotatingTries
	if s.rotation > len(order) {
		s.rotation = 0
	}
	s.dropPlaced()
}

// searchIntervalMS is the interval in ms at which the search for capacity for a step is
// repeated although no allowed worker has gained any. Workers also become usable again
// after a pause, and gangs release reservations.
const searchIntervalMS = 40

// mayFindCapacity reports whether a new search for capacity for the step can succeed
// after the last one failed.
func (s *Scheduler) mayFindCapacity(st *step) bool {
	if s.now >= st.nextSearch {
		return true
	}
	for _, w := range s.freed {
		if st.isAllowed(w) && s.isEligible(st, w) && s.fitCount(st, w) > 0 {
			return true
		}
	}
	return false
}

// isAllowed reports whether the policy service allows the step on the worker, as far as
// it has been asked. It is true for queues without a policy.
func (s *step) isAllowed(w *worker) bool {
	return s.job.Queue.Policy == nil || s.permits.allowed[w.ID] != nil
}

// inRotation reports whether the step at the given position is among the rotatingTries
// steps that this pass tries.
func (s *Scheduler) inRotation(position int) bool {
	return position > s.rotation && position <= s.rotation+rotatingTries
}

// placeable reports whether tasks of the step may be started: the job is stored and, if
// restored, no worker may be running them for an earlier holder.
func (s *Scheduler) placeable(st *step) bool {
	if st.job.final != "" || st.complete() || st.job.acceptSeq > s.stored {
		return false
	}
	if st.def.Gang && (st.isHeld() || st.isDelayed(s.now)) {
		return false
	}
	return !st.job.restored || s.mayPlaceRestored()
}

// dropPlaced removes steps without tasks to place from the waiting list. It does
// nothing unless a task was placed or a task or job has ended since its last call.
func (s *Scheduler) dropPlaced() {
	if !s.waitingStale {
		return
	}
	s.waitingStale = false
	kept := s.waiting[:0]
	for _, st := range s.waiting {
		if st.job.final == "" && !st.complete() && st.unplaced() {
			kept = append(kept, st)
		} else {
			st.queued = false
		}
	}
	clear(s.waiting[len(kept):])
	s.waiting = kept
}

func (s *step) unplaced() bool {
	for _, t := range s.tasks {
		if t.isPlaceable() {
			return true
		}
	}
	return false
}

// candidate is a worker that a step may use, with the number of its tasks that fit now.
type candidate struct {
	worker *worker
	fits   int
}

// isEligible reports whether the worker could run tasks of the step if it had enough
// free capacity.
func (s *Scheduler) isEligible(st *step, w *worker) bool {
	return w.Service == st.job.Queue.Service && w.takesWork(s.now) && s.isInRoster(w) && w.hasLabel(st.def.Label) &&
		(!w.health.probation || w.health.allows(s.now, w.endingRuns())) && w.Capacity.Covers(st.demand)
}

// fitCount returns how many tasks of the step fit on the worker now without using
// capacity reserved for gangs.
func (s *Scheduler) fitCount(st *step, w *worker) int {
	if w.isKeptForTrial(st, s.now) {
		return 0
	}
	limit := len(st.tasks)
	if w.health.probation {
		limit = 1
	}
	if st.def.MaxPerWorker > 0 {
		limit = min(limit, st.def.MaxPerWorker-st.runsOn(w))
	}
	n := w.free().FitCount(st.demand, max(limit, 0))
	ends := s.now + Instant(s.runTime(st, w))
	for i := range w.reservations {
		if r := &w.reservations[i]; ends > r.start && r.step != st {
			n = min(n, r.spare.FitCount(st.demand, n))
		}
	}
	return n
}

// runsOn returns how many tasks of the step have an attempt on the worker.
func (s *step) runsOn(w *worker) int {
	n := 0
	for _, t := range s.tasks {
		if t.runsOn(w) {
			n++
		}
	}
	return n
}

func (t *task) runsOn(w *worker) bool {
	return slices.ContainsFunc(t.attempts, func(a *attempt) bool { return a.worker == w })
}

// placeTasks starts as many tasks of the step as fit and reports whether it started
// any.
func (s *Scheduler) placeTasks(st *step) bool {
	cands, fitsWithoutPermit := s.candidates(st)
	s.rank(st, cands)
	placed, left := 0, s.limitFit(st)
	if st.suspects > 0 {
		trials := s.placeTrials(st)
		st.nextSearch = s.now + searchIntervalMS
		if trials || !st.outlasted(s.now) {
			return trials
		}
	}
	for _, t := range st.tasks {
		if !t.isPlaceable() || t.crashes.suspected {
			continue
		}
		if s.now < t.restarts.notBefore {
			st.nextSearch = s.now + searchIntervalMS
			continue
		}
		if placed == left {
			break // the limit of the workspace is reached
		}
		c := firstWithCapacity(cands, t)
		if c == nil {
			st.nextSearch = s.now + searchIntervalMS
			s.requestMorePermits(st, fitsWithoutPermit)
			break
		}
		c.fits--
		s.start(st, t, c.worker, max(t.lastRun, s.runBase(st))+1, t.checkpoint)
		placed++
	}
	s.logPlaced(st, placed)
	return placed > 0
}

// logPlaced reports the placement of tasks of a step.
func (s *Scheduler) logPlaced(st *step, placed int) {
	if placed == 0 {
		return
	}
	event := EventStepPlaced
	if st.lateness(s.now) != onTime {
		event = EventStepPlacedLate
	}
	s.emit(LogEvent{
		Event: event, Job: st.job.ID, Task: st.name(), AgeMS: int64(s.now - st.readyAt),
		Detail: fmt.Sprintf("%s %d/%d", st.job.Queue.Name, placed, len(st.tasks)),
	})
}

// firstWithCapacity returns the first candidate with free capacity that has no attempt
// of the task yet. The worker on which a task of a service ended last is taken only if there is
// no other.
func firstWithCapacity(cands []candidate, t *task) *candidate {
	var last *candidate
	for i := range cands {
		c := &cands[i]
		switch {
		case c.fits == 0 || t.runsOn(c.worker):
		case c.worker.ID == t.restarts.lastOn:
			last = c
		default:
			return c
		}
	}
	return last
}

// runBase returns a number that is at least as high as every run number that earlier
// holders may have used for a task of the step.
func (s *Scheduler) runBase(st *step) uint32 {
	if st.job.restored {
		return s.cfg.Term * runsPerTerm
	}
	return 0
}

// runsPerTerm is the number of run numbers set aside for each holder's term.
const runsPerTerm = 1000

// candidates returns the permitted workers with free capacity, and reports whether
// there is capacity on workers whose permit is not valid.
func (s *Scheduler) candidates(st *step) (cands []candidate, fitsWithoutPermit bool) {
	avoided := s.avoided(st)
	s.eachAllowed(st, func(w *worker) {
		if !s.isEligible(st, w) || slices.Contains(avoided, w.ID) {
			return
		}
		n := s.fitCount(st, w)
		if n == 0 {
			return
		}
		if !st.permitted(w, s.now) {
			fitsWithoutPermit = true
			return
		}
		cands = append(cands, candidate{w, n})
	})
	return cands, fitsWithoutPermit
}

// eachAllowed calls visit for each worker that is allowed to run the step, as far as is
// known.
func (s *Scheduler) eachAllowed(st *step, visit func(*worker)) {
	for w := range s.allowedTo(st) {
		visit(w)
	}
}

// allowedTo returns the workers that are allowed to run the step, as far as is known.
func (s *Scheduler) allowedTo(st *step) iter.Seq[*worker] {
	return func(yield func(*worker) bool) {
		if st.job.Queue.Policy == nil {
			for _, w := range s.workers {
				if !yield(w) {
					return
				}
			}
			return
		}
		for id := range st.permits.allowed {
			if w := s.workers[id]; w != nil && !yield(w) {
				return
			}
		}
	}
}

// avoided returns the IDs of the workers that the step avoids because a run failed there.
// Otherwise a worker on which everything fails could use up all attempts of a task. If
// runs failed on half of the workers that can run the step now, the task is considered to be
// at fault, and the step avoids none.
func (s *Scheduler) avoided(st *step) []string {
	if len(st.failedOn) == 0 {
		return nil
	}
	usable, failed := 0, 0
	for w := range s.allowedTo(st) {
		if !s.isEligible(st, w) {
			continue
		}
		if usable++; usable > 2*len(st.failedOn) {
			return st.failedOn
		}
		if slices.Contains(st.failedOn, w.ID) {
			failed++
		}
	}
	if 2*failed >= usable {
		return nil
	}
	return st.failedOn
}

// allowedWorkers returns the IDs of eligible workers that the policy service allows,
// sorted.
func (s *Scheduler) allowedWorkers(st *step) []string {
	var ids []string
	for id := range st.permits.allowed {
		if w := s.workers[id]; w != nil && s.isEligible(st, w) {
			ids = append(ids, id)
		}
	}
	slices.Sort(ids)
	return ids
}

// start creates an attempt and emits its Start action.
func (s *Scheduler) start(st *step, t *task, w *worker, run uint32, checkpoint string) {
	t.speculate = false
	a := s.openAttempt(t, w, run)
	a.placed = true
	a.resumed = checkpoint != ""
	w.lastStart = s.now
	if t.crashes.suspected || st.suspects > 0 && !st.def.Gang && !st.outlasted(s.now) {
		st.otherTried = st.otherTried || !t.crashes.suspected
		s.beginTrial(a)
	}
	s.emit(Start{Worker: w.ID, Task: t.id(), Run: a.run, Spec: st.job.Spec, Checkpoint: checkpoint, Ticket: st.ticket(w)})
}
