package cell

import (
	"cmp"
	"fmt"
	"slices"

	"github.com/cespare/xxhash/v2"
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
	reserving, mayReserve, tries, position := 0, s.maxReserving(), 0, 0
	order := s.order()
	for _, st := range order {
		if !s.placeable(st) {
			continue
		}
		if st.def.Gang {
			if s.placeGang(st, reserving < mayReserve) {
				reserving++
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

// dropPlaced takes steps without unplaced tasks off the waiting list.
func (s *Scheduler) dropPlaced() {
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

// renew asks for permits of a step that lacks room: for workers that it has not
// asked for, or else for those that have room and only lack a valid permit.
func (s *Scheduler) renew(st *step, roomWithoutPermit bool) {
	if st.job.Queue.Policy == nil || st.permits.pending {
		return
	}
	switch {
	case !st.permits.known:
		s.want(st, s.firstAsk(st))
	case s.unaskedSince > st.permits.askedAt && s.needsMore(st) && s.askMore(st):
	case roomWithoutPermit:
		s.want(st, s.roomyWorkers(st))
	case !st.def.Gang && len(st.permits.asked) < maxAskWorkers && s.now >= st.permits.widenAt:
		st.permits.widenAt = s.now + widenIntervalMS
		s.want(st, s.unaskedWithRoom(st))
	}
}

// widenIntervalMS is the pause between two looks for workers with room that a step
// has not asked for, in ms. Each look visits all workers.
const widenIntervalMS = 100

// askMore asks for all workers that the step has not asked for, and reports whether
// there are any.
func (s *Scheduler) askMore(st *step) bool {
	ids := s.unaskedWorkers(st, 0)
	if len(ids) <= maxAskWorkers {
		st.permits.askedAt = s.now
	}
	s.want(st, workerIDs(ids))
	return len(ids) > 0
}

// A step names as many workers in its first call as have room for roomFactor times
// its tasks, and minAsk at least. A call takes longer for each worker that it names,
// and more can be asked for when all of these are taken.
const (
	roomFactor = 4
	minAsk     = 16
)

// firstAsk returns the workers of the first call for a step. Gangs ask for as many
// as they may, because they need room at one time.
func (s *Scheduler) firstAsk(st *step) []string {
	found := s.unaskedWorkers(st, 0)
	if st.def.Gang && len(st.tasks) >= wideGang {
		return workerIDs(found)
	}
	room, n := 0, 0
	for n < len(found) && (room < roomFactor*len(st.tasks) || n < minAsk) {
		room += found[n].copies
		n++
	}
	return workerIDs(found[:n])
}

// unaskedWithRoom returns the workers with room for the step that it has not asked
// for, as many as its first call would name.
func (s *Scheduler) unaskedWithRoom(st *step) []string {
	found := s.unaskedWorkers(st, 1)
	return workerIDs(found[:min(len(found), max(minAsk, len(st.tasks)))])
}

// spareAsked is how many workers more than it has tasks a step asks to renew its
// permits for: others may take the room meanwhile.
const spareAsked = 6

// roomyWorkers returns allowed workers with room for the step, as many as it may
// use. A call takes longer for each worker that it names.
func (s *Scheduler) roomyWorkers(st *step) []string {
	var ids []string
	s.eachAllowed(st, func(w *worker) {
		if s.suits(st, w) && !st.avoids(w) && s.copies(st, w) > 0 {
			ids = append(ids, w.ID)
		}
	})
	slices.Sort(ids)
	return ids[:min(len(ids), len(st.tasks)-st.done+spareAsked)]
}

// enoughAllowed is the number of allowed workers from which on a step waits for
// room on them rather than ask for more.
const enoughAllowed = 8

// needsMore reports whether the workers that are allowed are too few for the step,
// however empty they were.
func (s *Scheduler) needsMore(st *step) bool {
	if !st.def.Gang {
		return len(st.permits.allowed) < enoughAllowed
	}
	room := 0
	for id := range st.permits.allowed {
		if w := s.workers[id]; w != nil && s.suits(st, w) {
			room += w.Capacity.Copies(st.demand, len(st.tasks))
		}
	}
	return room < gangChoice*len(st.tasks)
}

// gangChoice is how many times more room than it needs a gang should be allowed,
// so that it does not wait for all of it to be free.
const gangChoice = 2

// unasked is a worker that a step has not asked for.
type unasked struct {
	id     string
	copies int    // tasks that it could take now
	mix    uint64 // orders workers differently for each step
}

func workerIDs(found []unasked) []string {
	ids := make([]string, len(found))
	for i, u := range found {
		ids[i] = u.id
	}
	return ids
}

// unaskedWorkers returns workers that the policy service was not asked for yet and
// that could take minCopies tasks now: those with the most room first, in an order
// that differs by step otherwise.
func (s *Scheduler) unaskedWorkers(st *step, minCopies int) []unasked {
	var found []unasked
	name := st.name()
	for id, w := range s.workers {
		if !st.permits.asked[id] && w.Service == st.job.Queue.Service && w.listed && !w.Draining &&
			w.hasLabel(st.def.Label) && w.Capacity.Fits(st.demand) {
			copies := w.free().Copies(st.demand, len(st.tasks))
			if copies >= minCopies {
				found = append(found, unasked{id, copies, xxhash.Sum64String(name + id)})
			}
		}
	}
	slices.SortFunc(found, func(a, b unasked) int {
		return cmp.Or(cmp.Compare(b.copies, a.copies), cmp.Compare(a.mix, b.mix))
	})
	return found
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
