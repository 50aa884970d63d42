package cell

import (
	"cmp"
	"slices"
)

// reservation is capacity on a worker that is reserved for a gang from start on.
type reservation struct {
	step   *step
	start  Instant
	amount Resources // reserved for the gang
	spare  Resources // what remains at the start after all reservations
}

// Gangs may reserve up to reservedPercent of the cell's CPU, or reservedFreePercent of
// the free CPU if that is more. At least minReservingGangs gangs may reserve capacity
// in any case. Larger reservations would leave capacity idle that other tasks could use
// in the meantime.
const (
	reservedPercent     = 15
	reservedFreePercent = 80
	minReservingGangs   = 4
)

// reservationBudget is the capacity that gangs may still reserve in a placement pass.
type reservationBudget struct {
	gangs    int
	cpuMilli int64 // in thousandths of a core
}

func (s *Scheduler) newReservationBudget() *reservationBudget {
	var all, free int64
	for _, w := range s.workers {
		if w.takesWork(s.now) {
			all += w.Capacity.CPUMilli
			free += w.free().CPUMilli
		}
	}
	return &reservationBudget{gangs: minReservingGangs, cpuMilli: max(all*reservedPercent/100, free*reservedFreePercent/100)}
}

// allows reports whether the gang may reserve its capacity.
func (b *reservationBudget) allows(st *step) bool { return b.gangs > 0 || b.cpuMilli >= st.totalCPU() }

// spend deducts the capacity of a gang from the budget.
func (b *reservationBudget) spend(st *step) {
	b.gangs--
	b.cpuMilli -= st.totalCPU()
}

func (s *step) totalCPU() int64 { return int64(len(s.tasks)) * s.demand.CPUMilli }

// placeGang starts all tasks of a gang at once. If they do not fit yet and mayReserve
// is true, it reserves the capacity that becomes free first. It reports whether it made
// reservations.
func (s *Scheduler) placeGang(st *step, mayReserve bool) (reserves bool) {
	if st.hasAttempts() {
		s.stopIncompleteGang(st)
		return false
	}
	if st.job.Queue.Policy != nil && !st.permits.answered {
		s.requestMorePermits(st, false)
		return false
	}
	searched := s.mayFindCapacity(st)
	if searched {
		st.nextSearch = s.now + searchIntervalMS
		if cands, _ := s.candidates(st); s.startGang(st, cands) {
			return false
		}
	}
	if !mayReserve {
		if searched {
			s.renewIfFits(st)
		}
		return false
	}
	if s.now >= st.plan.until {
		st.plan = gangPlan{places: s.planGang(st), until: s.now + planReuseMS}
	}
	plan := st.plan.places
	if plan == nil {
		s.requestMorePermits(st, false)
		return false
	}
	for _, p := range plan {
		s.reserve(st, p)
	}
	if searched && s.waitOutlastsCall(st, plan) && s.needsMoreWorkers(st) {
		s.requestMorePermits(st, false)
	} else {
		s.renewForGang(st, plan)
	}
	return true
}

// renewIfFits renews the permits of a gang without reservations if it fits now, and
// asks about more workers otherwise.
func (s *Scheduler) renewIfFits(st *step) {
	if places := s.placesNow(st); places != nil {
		s.renewForGang(st, places)
	} else {
		s.requestMorePermits(st, false)
	}
}

// waitOutlastsCall reports whether the planned start of the gang is further away than a
// call to the policy service for more workers takes.
func (s *Scheduler) waitOutlastsCall(st *step, plan []gangPlace) bool {
	q := st.job.Queue.Policy
	return q != nil && int64(plan[len(plan)-1].start-s.now) > q.Duration(maxCallWorkers)
}

// reserve reserves the capacity of a place for the gang.
func (s *Scheduler) reserve(st *step, p gangPlace) {
	w, amount := p.worker, Resources{}.AddScaled(st.demand, int64(p.tasks))
	s.reserved = append(s.reserved, w)
	w.reservations = append(w.reservations, reservation{
		step: st, start: p.start, amount: amount, spare: w.unreservedAt(p.start).AddScaled(amount, -1),
	})
}

// placesNow returns the workers with free capacity for the gang, with or without valid
// permits, or nil if the gang does not fit. Only gangs that fit renew permits: renewals
// for every waiting gang would keep all callers of the policy service busy.
func (s *Scheduler) placesNow(st *step) []gangPlace {
	var places []gangPlace
	fits := 0
	avoided := s.avoided(st)
	s.eachAllowed(st, func(w *worker) {
		if !s.isEligible(st, w) || slices.Contains(avoided, w.ID) {
			return
		}
		if n := s.fitCount(st, w); n > 0 {
			places = append(places, gangPlace{w, n, s.now})
			fits += n
		}
	})
	if fits < len(st.tasks) {
		return nil
	}
	return places
}

// hasAttempts reports whether any task of the step has an attempt.
func (s *step) hasAttempts() bool {
	for _, t := range s.tasks {
		if len(t.attempts) > 0 {
			return true
		}
	}
	return false
}

// stopIncompleteGang stops the adopted members of a gang if no worker can be running the others:
// the term of the earlier holder ended between their starts, and no holder sends the missing ones.
// The adopted members would wait for them until they end as EndGangIncomplete. This holder
// starts the members of a gang together, so one that it placed is not affected.
func (s *Scheduler) stopIncompleteGang(st *step) {
	incomplete := false
	for _, t := range st.tasks {
		incomplete = incomplete || len(t.attempts) == 0
		for _, a := range t.attempts {
			if a.placed || a.run <= st.brokenRun {
				return
			}
		}
	}
	if incomplete {
		s.stopStep(st, "gang_incomplete")
	}
}

// startGang starts the gang if all of its tasks fit on the candidates.
func (s *Scheduler) startGang(st *step, cands []candidate) bool {
	if st.def.OneRack {
		if rack := bestFitRack(cands, len(st.tasks)); rack != nil {
			cands = rack
		}
	}
	fits := 0
	for _, c := range cands {
		fits += c.fits
	}
	if fits < len(st.tasks) {
		return false
	}
	s.rank(st, cands)
	run := max(st.lastRun, s.runBase(st)) + 1
	for _, t := range st.tasks {
		c := firstWithCapacity(cands, t)
		c.fits--
		s.start(st, t, c.worker, run, st.checkpoint)
	}
	s.logPlaced(st, len(st.tasks))
	return true
}

// bestFitRack returns the candidates of the rack with the least free capacity on which
// n tasks still fit, or nil if there is none.
func bestFitRack(cands []candidate, n int) []candidate {
	fits := map[string]int{}
	for _, c := range cands {
		fits[c.worker.Rack] += c.fits
	}
	best := ""
	for rack, r := range fits {
		if r >= n && (best == "" || r < fits[best] || r == fits[best] && rack < best) {
			best = rack
		}
	}
	if best == "" {
		return nil
	}
	return slices.DeleteFunc(slices.Clone(cands), func(c candidate) bool { return c.worker.Rack != best })
}

// gangPlan is where and when a gang reserves capacity.
type gangPlan struct {
	places []gangPlace // nil if the gang does not fit on the allowed workers
	until  Instant     // when the plan must be recomputed
}

// planReuseMS is how long a plan is reused, in ms. Computing a plan takes longer than
// the rest of a pass, and estimated ends change little in this time.
const planReuseMS = 50

// gangPlace is the number of a gang's tasks planned for one worker, and their start.
type gangPlace struct {
	worker *worker
	tasks  int
	start  Instant
}

// planGang finds the earliest time at which the whole gang fits on the allowed workers,
// based on the estimated ends of their runs. It returns the places to reserve, or nil
// if the gang does not fit beside the services that run there.
func (s *Scheduler) planGang(st *step) []gangPlace {
	var workers []*worker
	times := []Instant{s.now}
	avoided := s.avoided(st)
	s.eachAllowed(st, func(w *worker) {
		if !s.isEligible(st, w) || slices.Contains(avoided, w.ID) || w.health.probation {
			return
		}
		workers = append(workers, w)
		for _, a := range w.attempts {
			if a.endsByItself() {
				times = append(times, max(a.freeAt(), s.now))
			}
		}
	})
	slices.SortFunc(workers, func(a, b *worker) int { return cmp.Compare(a.ID, b.ID) })
	slices.Sort(times)
	times = slices.Compact(times)
	i, _ := slices.BinarySearchFunc(times, len(st.tasks), func(t Instant, n int) int {
		if totalFitsAt(st, workers, t) < n {
			return -1
		}
		return 1
	})
	if i == len(times) {
		return nil
	}
	return choosePlaces(st, workers, times[i])
}

// fitCountAt returns how many tasks of the step fit on the worker at time t beside the
// reservations of all gangs.
func (s *step) fitCountAt(w *worker, t Instant) int {
	limit := len(s.tasks)
	if s.def.MaxPerWorker > 0 {
		limit = s.def.MaxPerWorker
	}
	return w.unreservedAt(t).FitCount(s.demand, limit)
}

func totalFitsAt(st *step, workers []*worker, t Instant) int {
	n := 0
	for _, w := range workers {
		n += st.fitCountAt(w, t)
	}
	return n
}

// choosePlaces picks the workers on which the most tasks fit at time t until every task
// of the gang has a place.
func choosePlaces(st *step, workers []*worker, t Instant) []gangPlace {
	var places []gangPlace
	for _, w := range workers {
		if n := st.fitCountAt(w, t); n > 0 {
			places = append(places, gangPlace{w, n, t})
		}
	}
	slices.SortStableFunc(places, func(a, b gangPlace) int { return b.tasks - a.tasks })
	left := len(st.tasks)
	for i := range places {
		places[i].tasks = min(places[i].tasks, left)
		if left -= places[i].tasks; left == 0 {
			return places[:i+1]
		}
	}
	return places
}

// freeAt returns the free resources of the worker at time t if all runs end as
// estimated, other than those of services, which do not end.
func (w *worker) freeAt(t Instant) Resources {
	free := w.free()
	for _, a := range w.attempts {
		if a.endsByItself() && a.freeAt() <= t {
			free = free.AddScaled(a.demand, 1)
		}
	}
	return free
}

// unreservedAt returns the free resources of the worker at time t minus all
// reservations.
func (w *worker) unreservedAt(t Instant) Resources {
	free := w.freeAt(t)
	for i := range w.reservations {
		free = free.AddScaled(w.reservations[i].amount, -1)
	}
	return free
}

// renewLeadMS is how long before the planned start of a gang its permits should arrive,
// in ms. Estimated ends are imprecise.
const renewLeadMS = 200

// renewForGang renews the permits of the workers on which the gang is planned to start,
// so that they are valid at its start.
func (s *Scheduler) renewForGang(st *step, places []gangPlace) {
	q := st.job.Queue.Policy
	if q == nil || st.permits.pending() || !s.mayRenew(st) {
		return
	}
	call := Instant(q.Duration(len(places)))
	if places[len(places)-1].start-s.now > call+renewLeadMS {
		return
	}
	// Permits that are valid beyond the end of the call need no renewal yet.
	callEnd := s.now + call
	needsRenewal := false
	ids := make([]string, 0, len(places)+spareWorkers)
	named := make(map[string]bool, len(places))
	for _, p := range places {
		needsRenewal = needsRenewal || !st.permitted(p.worker, callEnd)
		ids = append(ids, p.worker.ID)
		named[p.worker.ID] = true
	}
	if !needsRenewal {
		return
	}
	// Name some spare workers, because estimated ends are imprecise.
	for _, id := range s.allowedWorkers(st) {
		if len(ids) < len(places)+spareWorkers && !named[id] {
			ids = append(ids, id)
		}
	}
	s.requestPermits(st, ids)
}
