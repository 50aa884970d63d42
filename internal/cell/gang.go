package cell

import (
	"cmp"
	"slices"
)

// reservation is room that a worker holds for a gang from a time on.
type reservation struct {
	step  *step
	start Instant
	taken Resources // by the gang
	spare Resources // what is left at the start, besides the room of all gangs
}

// Gangs may hold heldShare percent of the cell's processors, or idleShare percent of
// those that are free if that is more, and minReserving of them may hold room in any
// case. More would keep room empty that others could use by then.
const (
	heldShare    = 15
	idleShare    = 80
	minReserving = 4
)

// holdBudget is the room that gangs may still hold in a pass.
type holdBudget struct {
	gangs int
	cpu   int64 // in thousandths of a core
}

func (s *Scheduler) newHoldBudget() *holdBudget {
	var all, free int64
	for _, w := range s.workers {
		if w.takesWork(s.now) {
			all += w.Capacity.CPUMilli
			free += w.free().CPUMilli
		}
	}
	return &holdBudget{gangs: minReserving, cpu: max(all*heldShare/100, free*idleShare/100)}
}

// allows reports whether a gang may hold its room.
func (b *holdBudget) allows(st *step) bool { return b.gangs > 0 || b.cpu >= st.totalCPU() }

// take notes that a gang holds its room.
func (b *holdBudget) take(st *step) {
	b.gangs--
	b.cpu -= st.totalCPU()
}

func (s *step) totalCPU() int64 { return int64(len(s.tasks)) * s.demand.CPUMilli }

// placeGang starts all tasks of a gang at once. If there is no room yet, it holds
// the room that is free first, unless mayHold is false, and reports whether it
// does.
func (s *Scheduler) placeGang(st *step, mayHold bool) (holds bool) {
	if st.running() {
		return false
	}
	if st.job.Queue.Policy != nil && !st.permits.known {
		s.renew(st, false)
		return false
	}
	searched := s.mayFindRoom(st)
	if searched {
		st.searchAt = s.now + searchIntervalMS
		if cands, _ := s.candidates(st); s.startGang(st, cands) {
			return false
		}
	}
	if !mayHold {
		if searched {
			s.renewIfRoom(st)
		}
		return false
	}
	if s.now >= st.plan.until {
		st.plan = gangPlan{places: s.planGang(st), until: s.now + planKeepMS}
	}
	plan := st.plan.places
	if plan == nil {
		s.renew(st, false)
		return false
	}
	for _, p := range plan {
		s.reserve(st, p)
	}
	if searched && s.waitsLong(st, plan) && s.needsMore(st) {
		s.renew(st, false)
	} else {
		s.renewForGang(st, plan)
	}
	return true
}

// renewIfRoom renews the permits of a gang that holds no room if there is room for it
// now, and asks for more workers otherwise.
func (s *Scheduler) renewIfRoom(st *step) {
	if places := s.placesNow(st); places != nil {
		s.renewForGang(st, places)
	} else {
		s.renew(st, false)
	}
}

// waitsLong reports whether a gang waits longer for the room of its plan than it takes
// to ask for more workers.
func (s *Scheduler) waitsLong(st *step, plan []gangPlace) bool {
	q := st.job.Queue.Policy
	return q != nil && int64(plan[len(plan)-1].start-s.now) > q.Duration(maxAskWorkers)
}

// reserve holds the room of a place for the gang.
func (s *Scheduler) reserve(st *step, p gangPlace) {
	w, taken := p.worker, Resources{}.Plus(st.demand, int64(p.copies))
	s.reserved = append(s.reserved, w)
	w.reservations = append(w.reservations, reservation{
		step: st, start: p.start, taken: taken, spare: w.unreservedAt(p.start).Plus(taken, -1),
	})
}

// placesNow returns the workers that have room for the gang now, with or without
// valid permits, or nil if they are too few. Renewing the permits of every waiting
// gang would keep all callers of the policy service busy.
func (s *Scheduler) placesNow(st *step) []gangPlace {
	var places []gangPlace
	room := 0
	s.eachAllowed(st, func(w *worker) {
		if !s.suits(st, w) || st.avoids(w) {
			return
		}
		if n := s.copies(st, w); n > 0 {
			places = append(places, gangPlace{w, n, s.now})
			room += n
		}
	})
	if room < len(st.tasks) {
		return nil
	}
	return places
}

// running reports whether any task of the step has a run.
func (s *step) running() bool {
	for _, t := range s.tasks {
		if len(t.attempts) > 0 {
			return true
		}
	}
	return false
}

// startGang starts the gang if the candidates have room for all of its tasks.
func (s *Scheduler) startGang(st *step, cands []candidate) bool {
	if st.def.OneRack {
		if rack := roomiestRack(cands, len(st.tasks)); rack != nil {
			cands = rack
		}
	}
	room := 0
	for _, c := range cands {
		room += c.copies
	}
	if room < len(st.tasks) {
		return false
	}
	s.rank(st, cands)
	run := max(st.lastRun, s.firstRun(st)) + 1
	for _, t := range st.tasks {
		c := firstWithRoom(cands, t)
		c.copies--
		s.start(st, t, c.worker, run, st.saved)
	}
	s.notePlaced(st, len(st.tasks))
	return true
}

// roomiestRack returns the candidates of the rack with the least room that still
// takes n tasks, or nil.
func roomiestRack(cands []candidate, n int) []candidate {
	room := map[string]int{}
	for _, c := range cands {
		room[c.worker.Rack] += c.copies
	}
	best := ""
	for rack, r := range room {
		if r >= n && (best == "" || r < room[best] || r == room[best] && rack < best) {
			best = rack
		}
	}
	if best == "" {
		return nil
	}
	return slices.DeleteFunc(slices.Clone(cands), func(c candidate) bool { return c.worker.Rack != best })
}

// gangPlan is where a gang holds room.
type gangPlan struct {
	places []gangPlace // nil if the allowed workers have no room for the gang
	until  Instant     // when it is worked out anew
}

// planKeepMS is how long a plan is kept, in ms. To work out a plan takes longer than
// the rest of a pass, and estimates of ends change little in this time.
const planKeepMS = 50

// gangPlace is the share of a worker in the plan of a gang.
type gangPlace struct {
	worker *worker
	copies int
	start  Instant
}

// planGang finds the earliest time at which the allowed workers have room for the
// whole gang, judged by the estimated ends of what runs there, and the workers
// to hold room on. It returns nil if there is none.
func (s *Scheduler) planGang(st *step) []gangPlace {
	var workers []*worker
	times := []Instant{s.now}
	s.eachAllowed(st, func(w *worker) {
		if !s.suits(st, w) || st.avoids(w) || w.health.trial {
			return
		}
		workers = append(workers, w)
		for _, a := range w.attempts {
			times = append(times, max(a.ends, s.now))
		}
	})
	slices.SortFunc(workers, func(a, b *worker) int { return cmp.Compare(a.ID, b.ID) })
	slices.Sort(times)
	times = slices.Compact(times)
	i, _ := slices.BinarySearchFunc(times, len(st.tasks), func(t Instant, n int) int {
		if roomAt(st, workers, t) < n {
			return -1
		}
		return 1
	})
	if i == len(times) {
		return nil
	}
	return choosePlaces(st, workers, times[i])
}

// copiesAt returns how many tasks of the step the worker can take at a time beside
// the gangs that hold room on it.
func (s *step) copiesAt(w *worker, t Instant) int {
	limit := len(s.tasks)
	if s.def.MaxPerWorker > 0 {
		limit = s.def.MaxPerWorker
	}
	return w.unreservedAt(t).Copies(s.demand, limit)
}

func roomAt(st *step, workers []*worker, t Instant) int {
	n := 0
	for _, w := range workers {
		n += st.copiesAt(w, t)
	}
	return n
}

// choosePlaces takes the workers with the most room at the time until the gang
// has a place for every task.
func choosePlaces(st *step, workers []*worker, t Instant) []gangPlace {
	var places []gangPlace
	for _, w := range workers {
		if n := st.copiesAt(w, t); n > 0 {
			places = append(places, gangPlace{w, n, t})
		}
	}
	slices.SortStableFunc(places, func(a, b gangPlace) int { return b.copies - a.copies })
	left := len(st.tasks)
	for i := range places {
		places[i].copies = min(places[i].copies, left)
		if left -= places[i].copies; left == 0 {
			return places[:i+1]
		}
	}
	return places
}

// freeAt returns the room of the worker at a time, if all runs end as estimated.
func (w *worker) freeAt(t Instant) Resources {
	free := w.free()
	for _, a := range w.attempts {
		if a.ends <= t {
			free = free.Plus(a.demand, 1)
		}
	}
	return free
}

// unreservedAt returns the room of the worker at a time without that of all gangs
// that hold some.
func (w *worker) unreservedAt(t Instant) Resources {
	free := w.freeAt(t)
	for i := range w.reservations {
		free = free.Plus(w.reservations[i].taken, -1)
	}
	return free
}

// renewLeadMS is how long before the room of a gang is free its permits should
// be there, in ms, because estimates of ends are rough.
const renewLeadMS = 200

// renewForGang renews the permits of the workers at which the gang is to start, so
// that they are valid when its room is free.
func (s *Scheduler) renewForGang(st *step, places []gangPlace) {
	q := st.job.Queue.Policy
	if q == nil || st.permits.pending || !s.mayRenew(st) {
		return
	}
	call := Instant(q.Duration(len(places)))
	if places[len(places)-1].start-s.now > call+renewLeadMS {
		return
	}
	// Permits that outlive the call need no renewal yet.
	outlive := s.now + call
	lacking := false
	ids := make([]string, 0, len(places)+spareAsked)
	named := make(map[string]bool, len(places))
	for _, p := range places {
		lacking = lacking || !st.permitted(p.worker, outlive)
		ids = append(ids, p.worker.ID)
		named[p.worker.ID] = true
	}
	if !lacking {
		return
	}
	// Estimates of ends are rough, so some more workers are named.
	for _, id := range s.allowedWorkers(st) {
		if len(ids) < len(places)+spareAsked && !named[id] {
			ids = append(ids, id)
		}
	}
	s.want(st, ids)
}
