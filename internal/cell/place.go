package cell

import (
	"cmp"
	"fmt"
	"slices"
)

// runTime estimates the run time of a task of the step on a worker, in ms.
func (s *Scheduler) runTime(st *step, w *worker) int64 {
	if st.far(w) {
		return int64(float64(st.def.EstimateMS) * s.cfg.FarFactor)
	}
	return st.def.EstimateMS
}

// far reports whether the worker is on another rack than the data of the step.
func (s *step) far(w *worker) bool {
	return s.def.DataRack != "" && w.Rack != s.def.DataRack
}

// A pass tries to place the first frontTries steps of the queue that find no room,
// and otherTries more, which are others in each pass. A long queue would otherwise
// cost a search for each of its steps, and steps that find no room for long would
// keep those behind them from being tried at all.
const (
	frontTries = 48
	otherTries = 32
)

// place starts tasks of the waiting steps. Gangs that find no room hold it first,
// so that smaller work does not starve them; then the steps come in the order of
// their latest starts. Steps that can no longer be on time come after those that
// can.
func (s *Scheduler) place() {
	for _, w := range s.reserved {
		w.reservations = w.reservations[:0]
	}
	s.reserved = s.reserved[:0]
	var budget *holdBudget
	tries, position := 0, 0
	order := s.order()
	for _, st := range order {
		if !s.placeable(st) {
			continue
		}
		if st.def.Gang {
			if budget == nil {
				budget = s.newHoldBudget()
			}
			if s.placeGang(st, budget.allows(st)) {
				budget.take(st)
			}
			continue
		}
		position++
		if !s.mayFindRoom(st) || tries >= frontTries && !s.isTurn(position) {
			continue
		}
		if !s.placeTasks(st) {
			tries++
		}
	}
	clear(s.freed)
	s.freed = s.freed[:0]
	s.turn += otherTries
	if s.turn > len(order) {
		s.turn = 0
	}
	s.dropPlaced()
}

// searchIntervalMS is the pause between two searches of room for a step when no
// worker that it may use has gained some, in ms. Workers also come back from a pause,
// and gangs give held room up.
const searchIntervalMS = 40

// mayFindRoom reports whether a search of room for the step can find more than the
// last one, which found too little.
func (s *Scheduler) mayFindRoom(st *step) bool {
	if s.now >= st.searchAt {
		return true
	}
	for _, w := range s.freed {
		if st.isAllowed(w) && s.suits(st, w) && s.copies(st, w) > 0 {
			return true
		}
	}
	return false
}

// isAllowed reports whether the worker may run the step as far as is known.
func (s *step) isAllowed(w *worker) bool {
	return s.job.Queue.Policy == nil || s.permits.allowed[w.ID] != nil
}

// isTurn reports whether the step at a position of the queue is among the others
// that this pass tries.
func (s *Scheduler) isTurn(position int) bool {
	return position > s.turn && position <= s.turn+otherTries
}

// lateness tells how much a step can still earn.
type lateness int

const (
	onTime  lateness = iota
	late             // its job misses the objective and earns less
	expired          // its job earns nothing any more
)

func (s *step) lateness(now Instant) lateness {
	switch {
	case s.def.Service || now <= s.latest:
		return onTime
	case now <= s.expires:
		return late
	}
	return expired
}

// order returns the waiting steps in the order in which they are placed.
func (s *Scheduler) order() []*step {
	var by [expired + 1][]*step
	for _, st := range s.waiting {
		l := st.lateness(s.now)
		by[l] = append(by[l], st)
	}
	// Wide gangs claim their room before the others, because their tasks
	// need it at one time.
	slices.SortStableFunc(by[onTime], func(a, b *step) int { return b.gangWidth() - a.gangWidth() })
	return slices.Concat(by[onTime], by[late], by[expired])
}

// wideGang is the number of tasks from which on a gang is placed ahead of its
// turn. Smaller gangs find room like single tasks.
const wideGang = 4

func (s *step) gangWidth() int {
	if s.def.Gang && len(s.tasks) >= wideGang {
		return 1
	}
	return 0
}

// placeable reports whether any task of the step may start.
func (s *Scheduler) placeable(st *step) bool {
	if st.job.final != "" || st.complete() || st.job.acceptSeq > s.stored {
		return false
	}
	return !st.job.restored || s.Settled()
}

// dropPlaced takes steps without unplaced tasks off the waiting list, if any task was
// placed or has ended since it was last looked through.
func (s *Scheduler) dropPlaced() {
	if !s.changed {
		return
	}
	s.changed = false
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

// candidate is a worker that a step may use, with the tasks that it could take
// now.
type candidate struct {
	worker *worker
	copies int
}

// suits reports whether the worker could run tasks of the step if it had room.
func (s *Scheduler) suits(st *step, w *worker) bool {
	return w.Service == st.job.Queue.Service && w.takesWork(s.now) && s.isNamed(w) && w.hasLabel(st.def.Label) &&
		w.health.allows(s.now, len(w.attempts)) && w.Capacity.Fits(st.demand)
}

// copies returns how many tasks of the step the worker can take now without
// touching room that is held for gangs.
func (s *Scheduler) copies(st *step, w *worker) int {
	limit := len(st.tasks)
	if w.health.trial {
		limit = 1
	}
	if st.def.MaxPerWorker > 0 {
		limit = min(limit, st.def.MaxPerWorker-st.runsOn(w))
	}
	n := w.free().Copies(st.demand, max(limit, 0))
	ends := s.now + Instant(s.runTime(st, w))
	for i := range w.reservations {
		if r := &w.reservations[i]; ends > r.start && r.step != st {
			n = min(n, r.spare.Copies(st.demand, n))
		}
	}
	return n
}

// runsOn counts the tasks of the step that run on the worker.
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

// placeTasks starts as many tasks of a step as find room and reports whether it
// started any.
func (s *Scheduler) placeTasks(st *step) bool {
	cands, roomWithoutPermit := s.candidates(st)
	s.rank(st, cands)
	placed := 0
	for _, t := range st.tasks {
		if !t.isPlaceable() {
			continue
		}
		c := firstWithRoom(cands, t)
		if c == nil {
			st.searchAt = s.now + searchIntervalMS
			s.renew(st, roomWithoutPermit)
			break
		}
		c.copies--
		s.start(st, t, c.worker, max(t.lastRun, s.firstRun(st))+1, t.saved)
		placed++
	}
	s.notePlaced(st, placed)
	return placed > 0
}

// notePlaced logs that tasks of a step were placed.
func (s *Scheduler) notePlaced(st *step, placed int) {
	if placed == 0 {
		return
	}
	event := EventStepPlaced
	if st.lateness(s.now) != onTime {
		event = EventStepPlacedLate
	}
	s.act(Decision{
		Event: event, Job: st.job.ID, Task: st.name(), AgeMS: int64(s.now - st.readyAt),
		Detail: fmt.Sprintf("%s %d/%d", st.job.Queue.Name, placed, len(st.tasks)),
	})
}

// firstWithRoom returns the first candidate with room that has no run of the task yet.
func firstWithRoom(cands []candidate, t *task) *candidate {
	for i := range cands {
		if cands[i].copies > 0 && !t.runsOn(cands[i].worker) {
			return &cands[i]
		}
	}
	return nil
}

// firstRun is the number below which runs of a restored job may have been used.
func (s *Scheduler) firstRun(st *step) uint32 {
	if st.job.restored {
		return s.cfg.Term * runsPerTerm
	}
	return 0
}

// runsPerTerm is the distance between the run numbers of two holders.
const runsPerTerm = 1000

// candidates returns the permitted workers with room, and whether there is room on
// workers whose permit has expired.
func (s *Scheduler) candidates(st *step) (cands []candidate, roomWithoutPermit bool) {
	s.eachAllowed(st, func(w *worker) {
		if !s.suits(st, w) || st.avoids(w) {
			return
		}
		n := s.copies(st, w)
		if n == 0 {
			return
		}
		if !st.permitted(w, s.now) {
			roomWithoutPermit = true
			return
		}
		cands = append(cands, candidate{w, n})
	})
	return cands, roomWithoutPermit
}

// eachAllowed visits the workers that may run the step as far as is known.
func (s *Scheduler) eachAllowed(st *step, visit func(*worker)) {
	if st.job.Queue.Policy == nil {
		for _, w := range s.workers {
			visit(w)
		}
		return
	}
	for id := range st.permits.allowed {
		if w := s.workers[id]; w != nil {
			visit(w)
		}
	}
}

// avoids reports whether the step keeps off a worker because a run failed there.
// A worker that fails everything would otherwise use up all attempts of a task;
// when half of the workers that may run the step are avoided, it is the task's
// own fault.
func (s *step) avoids(w *worker) bool {
	return len(s.failedOn) > 0 && slices.Contains(s.failedOn, w.ID) &&
		(s.job.Queue.Policy == nil || 2*len(s.failedOn) < len(s.permits.allowed))
}

// rank puts the workers that a step should use first in front: those that are not
// slow, then those near its data, then the fullest, so that large blocks stay whole.
func (s *Scheduler) rank(st *step, cands []candidate) {
	slices.SortFunc(cands, func(a, b candidate) int {
		return cmp.Or(
			compareBools(a.worker.speed.isSlow(s.now), b.worker.speed.isSlow(s.now)),
			compareBools(st.far(a.worker), st.far(b.worker)),
			cmp.Compare(a.worker.free().CPUMilli, b.worker.free().CPUMilli),
			cmp.Compare(a.worker.ID, b.worker.ID),
		)
	})
}

// compareBools orders false before true.
func compareBools(a, b bool) int {
	switch {
	case a == b:
		return 0
	case b:
		return -1
	}
	return 1
}

// allowedWorkers returns the workers that are known to be allowed and take work.
func (s *Scheduler) allowedWorkers(st *step) []string {
	var ids []string
	for id := range st.permits.allowed {
		if w := s.workers[id]; w != nil && s.suits(st, w) {
			ids = append(ids, id)
		}
	}
	slices.Sort(ids)
	return ids
}

// start opens an attempt and orders it.
func (s *Scheduler) start(st *step, t *task, w *worker, run uint32, checkpoint string) {
	t.wantsCopy = false
	a := s.open(t, w, run)
	a.resumed = checkpoint != ""
	s.act(Start{Worker: w.ID, Task: t.id(), Run: a.run, Spec: st.job.Spec, Checkpoint: checkpoint, Permit: st.ticket(w)})
}
