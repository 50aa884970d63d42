package cell

// Drain keeps new tasks off a worker and reports whether nothing runs on it. With
// force, what runs is stopped as far as the bounds of services allow; a stop saves
// a checkpoint.
func (s *Scheduler) Drain(workerID string, force bool) (empty bool) {
	w := s.workers[workerID]
	if w == nil {
		return true
	}
	w.held = true
	if force {
		for _, a := range w.attempts {
			if s.mayStop(a) {
				s.stop(a, "upkeep")
			}
		}
	}
	return len(w.attempts) == 0 && len(w.foreign) == 0
}

// Undrain lets a worker take tasks again.
func (s *Scheduler) Undrain(workerID string) {
	if w := s.workers[workerID]; w != nil {
		w.held = false
	}
}

// mayStop reports whether a task may be taken away: a service bounds how many of
// its tasks are unavailable at the same time by the system's own actions.
func (s *Scheduler) mayStop(a *attempt) bool {
	st := a.task.step
	if !st.def.Service || st.def.MaxUnavailable == 0 {
		return true
	}
	away := 0
	for _, t := range st.tasks {
		if !t.atWork() {
			away++
		}
	}
	return away < st.def.MaxUnavailable
}

// workingPercent is what workers list for a service task after its startup.
const workingPercent = 100

func (t *task) atWork() bool {
	for _, a := range t.attempts {
		if a.phase == running && a.progress.percent >= workingPercent {
			return true
		}
	}
	return false
}

// noteLeaving notes when a draining worker may leave.
func (s *Scheduler) noteLeaving(w *worker) {
	switch {
	case !w.Draining:
		w.leavesAt = 0
	case w.LeavesInMS > 0:
		w.leavesAt = max(w.leavesAt, s.now+Instant(w.LeavesInMS))
	}
}

// evacuateMarginMS is the time in ms between the latest end of a stop and the time at
// which the worker may leave. What the registry tells is up to a second old.
const evacuateMarginMS = 700

// evacuate stops runs that cannot end before their worker leaves, so that they go on
// elsewhere from their checkpoint. Otherwise they are lost with the worker, and are
// placed again only when its lease has run out.
func (s *Scheduler) evacuate() {
	for _, w := range s.workers {
		if w.leavesAt == 0 || !w.fenced {
			continue
		}
		for _, a := range w.attempts {
			if a.phase == running && s.mustMove(a) {
				s.stop(a, "worker_leaves")
				if a.task.step.def.Gang {
					s.stopStep(a.task.step, "gang_member_leaves")
				}
			}
		}
	}
}

// mustMove reports whether a run on a worker that leaves should be stopped now. A run
// that saves its work, or that serves, goes on until the last moment.
func (s *Scheduler) mustMove(a *attempt) bool {
	leaves, def := a.worker.leavesAt, a.task.step.def
	last := leaves - Instant(s.cfg.StopTimeoutMS) - evacuateMarginMS
	switch {
	case def.Service:
		return s.now >= last
	case def.Checkpoints:
		return s.now >= last && a.ends > leaves-evacuateMarginMS
	}
	return a.ends > leaves
}

// dropDrained takes draining workers that run nothing off the record of workers: a
// new holder need not wait for them, as they get no tasks any more.
func (s *Scheduler) dropDrained() {
	for _, w := range s.workers {
		if w.Draining && w.fenced && w.namedBy != unnamed && len(w.attempts) == 0 && len(w.foreign) == 0 {
			w.namedBy = unnamed
			s.rename = true
		}
	}
}
