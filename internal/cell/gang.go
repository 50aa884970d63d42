package cell

import (
	"cmp"
	"slices"
)

// reservation is room that a worker holds for a gang from a time on.
type reservation struct {
	step  *step
	start Instant
	spare Resources // what is left at the start, besides the gang's room
}

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
	if cands, _ := s.candidates(st); s.startGang(st, cands) {
		return false
	}
	if !mayHold {
		if s.gangFits(st) {
			s.renewForGang(st, s.now)
		}
		return false
	}
	plan := s.planGang(st)
	if plan == nil {
		s.renew(st, false)
		return false
	}
	for _, p := range plan {
		s.reserved = append(s.reserved, p.worker)
		p.worker.reservations = append(p.worker.reservations, reservation{
			step:  st,
			start: p.start,
			spare: p.worker.freeAt(p.start).Plus(st.demand, -int64(p.copies)),
		})
	}
	s.renewForGang(st, plan[len(plan)-1].start)
	return true
}

// gangFits reports whether there is room for the gang now, with or without valid
// permits. Renewing the permits of every waiting gang would keep all callers of the
// policy service busy.
func (s *Scheduler) gangFits(st *step) bool {
	room := 0
	s.eachAllowed(st, func(w *worker) {
		if s.suits(st, w) && !st.avoids(w) {
			room += s.copies(st, w)
		}
	})
	return room >= len(st.tasks)
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
		c := firstWithRoom(cands)
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
		if !s.suits(st, w) || st.avoids(w) || w.health.trial || heldByOther(w, st) {
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

// heldByOther reports whether the worker holds room for another gang.
func heldByOther(w *worker, st *step) bool {
	for i := range w.reservations {
		if w.reservations[i].step != st {
			return true
		}
	}
	return false
}

func (s *step) copiesAt(w *worker, t Instant) int {
	limit := len(s.tasks)
	if s.def.MaxPerWorker > 0 {
		limit = s.def.MaxPerWorker
	}
	return w.freeAt(t).Copies(s.demand, limit)
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

// renewLeadMS is how long before the room of a gang is free its permits should
// be there, in ms, because estimates of ends are rough.
const renewLeadMS = 200

// renewForGang renews the permits of a gang so that they are valid when its room
// is free.
func (s *Scheduler) renewForGang(st *step, start Instant) {
	q := st.job.Queue.Policy
	if q == nil || st.permits.pending {
		return
	}
	ids := s.allowedWorkers(st)
	call := Instant(q.Duration(len(ids)))
	if start-s.now > call+renewLeadMS {
		return
	}
	// Permits that outlive the call need no renewal yet.
	valid := 0
	for _, id := range ids {
		if s.workers[id] != nil && st.permits.allowed[id].life == s.workers[id].life &&
			st.permits.allowed[id].expires-permitMarginMS > s.now+call {
			valid++
		}
	}
	if valid < len(ids) {
		s.want(st, ids)
	}
}
