package cell

// Drain stops placing tasks on a worker and reports whether nothing runs on it. A worker
// that may run tasks of an earlier holder is not empty before it has been reconciled. With
// force, Drain also stops the worker's runs as far as the MaxUnavailable limits of
// services allow; a stopped run saves a checkpoint.
func (s *Scheduler) Drain(workerID string, force bool) (empty bool) {
	w, known := s.workers[workerID], s.unreconciled[workerID] == nil && !s.rosterLost
	if w == nil {
		return known
	}
	w.cordoned, w.undrainedAt = true, 0
	s.updateClosed(w)
	if force {
		for _, a := range w.attempts {
			if s.mayStop(a) {
				s.stop(a, "upkeep")
			}
		}
	}
	return known && len(w.attempts) == 0 && len(w.unknownRuns) == 0
}

// ResendStops emits the stops of a worker again that may not have reached it, because the calls
// to its former address have ended.
func (s *Scheduler) ResendStops(workerID string) {
	w := s.workers[workerID]
	if w == nil {
		return
	}
	for _, a := range w.attempts {
		if a.phase == stopping {
			s.emitStop(a, "address_changed")
		}
	}
	for key := range w.unknownRuns {
		s.emitUnknownStop(w, key)
	}
}

// Undrain allows placing tasks on the worker again, once it has sent a listing that was
// requested after the call. If the maintenance of its VM has begun, it has ended and sends none.
func (s *Scheduler) Undrain(workerID string) {
	if w := s.workers[workerID]; w != nil && w.cordoned {
		w.undrainedAt = s.now
	}
}

// uncordon ends the exclusion of a worker after Undrain, at a listing that was requested at the
// given time.
func (s *Scheduler) uncordon(w *worker, requestedAt Instant) {
	if w.undrainedAt > 0 && requestedAt > w.undrainedAt {
		w.cordoned, w.undrainedAt = false, 0
	}
}

// mayStop reports whether the run may be stopped. Step.MaxUnavailable limits how many
// tasks of a service the system may make unavailable at the same time. Tasks that are
// unavailable for other reasons count too.
func (s *Scheduler) mayStop(a *attempt) bool {
	st := a.task.step
	if !st.def.LongRunning || st.def.MaxUnavailable == 0 {
		return true
	}
	unavailable := 0
	for _, t := range st.tasks {
		if !t.isServing() {
			unavailable++
		}
	}
	return unavailable < st.def.MaxUnavailable
}

// servingPercent is the progress that workers report for a service task that has
// started up.
const servingPercent = 100

// isServing reports whether an attempt of a service task has started up.
func (t *task) isServing() bool {
	for _, a := range t.attempts {
		if a.phase == running && a.progress.percent >= servingPercent {
			return true
		}
	}
	return false
}

// updateLeaveTime updates the time at which a draining worker may leave. news is set if
// the worker has reported another remaining time than before; an update without news is
// about other workers.
func (s *Scheduler) updateLeaveTime(w *worker, news bool) {
	switch {
	case !w.Draining:
		w.leavesAt = 0
	case w.LeavesInMS > 0 && (news || w.leavesAt == 0):
		w.leavesAt = s.now + Instant(w.LeavesInMS)
	}
}

// evacuateMarginMS is the time in ms between the latest end of a stop and the time at
// which the worker may leave. The registry's information is up to a second old.
const evacuateMarginMS = 700

// evacuate stops runs that cannot end before their worker leaves, so that they continue
// elsewhere from their checkpoint. Otherwise they would be lost with the worker, and
// placed again only after its lease has expired.
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

// mustMove reports whether a run on a departing worker should be stopped now. Services
// and runs with checkpoints continue until the last moment.
func (s *Scheduler) mustMove(a *attempt) bool {
	leaves, def := a.worker.leavesAt, a.task.step.def
	last := leaves - Instant(s.cfg.StopTimeoutMS) - evacuateMarginMS
	switch {
	case def.LongRunning:
		return s.now >= last
	case def.Checkpoints:
		return s.now >= last && a.freeAt() > leaves-evacuateMarginMS
	}
	return a.freeAt() > leaves
}

// dropDrained removes draining workers without runs from the roster. They get no more
// tasks, so a new holder need not wait for them.
func (s *Scheduler) dropDrained() {
	for _, w := range s.workers {
		if w.Draining && w.fenced && w.rosterSeq != notInRoster && len(w.attempts) == 0 && len(w.unknownRuns) == 0 {
			w.rosterSeq = notInRoster
			s.rosterDirty = true
		}
	}
}
