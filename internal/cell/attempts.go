package cell

// This file opens and closes attempts, and follows their starts and stops.

// confirm records that the worker runs the attempt.
func (s *Scheduler) confirm(a *attempt) {
	a.phase = running
	a.accepted, a.confirmed, a.runningSince = true, s.now, s.now
	if !a.resumed {
		a.progress = progress{at: s.now, firstAt: s.now}
	}
	s.markStarted(a.task.step)
}

// markStarted records that a task of the step has run.
func (s *Scheduler) markStarted(st *step) {
	st.job.started = true
	if !st.started {
		st.started = true
		s.markDirty(st, 0)
	}
}

// Started processes the result of a Start action.
func (s *Scheduler) Started(workerID string, id TaskID, run uint32, outcome StartOutcome) {
	w := s.workers[workerID]
	if w == nil {
		return
	}
	a := w.attempts[runKey{id, run}]
	if a == nil || a.phase != starting {
		return
	}
	if outcome == StartAccepted {
		s.confirm(a)
		s.stopIfNotNeeded(a)
		return
	}
	s.emit(LogEvent{Event: EventStartRefused, Failed: true, Job: id.Job, Task: id.String(), Run: run, Worker: workerID, Detail: outcome.String(), AgeMS: int64(s.now - a.started)})
	if outcome == StartUnanswered {
		// The worker may still carry out the order until it has answered a stop.
		// Further start orders would most likely get no response either.
		w.avoidUntil = s.now + unhealthyPauseMS
		s.stop(a, "start_unanswered")
		if a.task.step.def.Gang {
			s.stopStep(a.task.step, "gang_member_lost")
		}
		return
	}
	s.handleRefusal(a, outcome)
}

// unhealthyPauseMS is how long a worker that refused or did not answer a start order
// gets no tasks, in ms.
const unhealthyPauseMS = 1000

// handleRefusal handles a start order that the worker has certainly not carried out.
func (s *Scheduler) handleRefusal(a *attempt, outcome StartOutcome) {
	w, st := a.worker, a.task.step
	switch outcome {
	case StartUnhealthy, StartNoCapacity, StartFenced, StartWrongIncarnation, StartNotSent, StartTooLate:
		w.avoidUntil = s.now + unhealthyPauseMS
	case StartNoPermit:
		st.permits.expire(w.ID)
	}
	s.closeAttempt(a)
	s.retryAfterLoss(a)
}

// Stopped processes the response to a Stop action: the run has ended or is ending, and
// can no longer start.
func (s *Scheduler) Stopped(workerID string, id TaskID, run uint32) {
	w := s.workers[workerID]
	if w == nil {
		return
	}
	if a := w.attempts[runKey{id, run}]; a != nil && a.phase == stopping {
		a.confirmed = s.now
	}
}

// stopIfNotNeeded stops a run whose job has ended or whose task is done.
func (s *Scheduler) stopIfNotNeeded(a *attempt) {
	if a.task.step.job.final != "" || a.task.done {
		s.stop(a, "not_needed")
	}
}

// task returns the task with the given ID, or nil if its job has ended or there is
// none.
func (s *Scheduler) task(id TaskID) *task {
	j := s.jobs[id.Job]
	if j == nil || j.final != "" {
		return nil
	}
	o := j.occurrences[id.Occurrence]
	if o == nil || id.Step >= len(o.steps) || id.Index >= len(o.steps[id.Step].tasks) {
		return nil
	}
	return o.steps[id.Step].tasks[id.Index]
}

// openAttempt creates an attempt and allocates its resources on the worker.
func (s *Scheduler) openAttempt(t *task, w *worker, run uint32) *attempt {
	st := t.step
	a := &attempt{task: t, run: run, worker: w, demand: st.demand, started: s.now, cpuShare: fullCPUShare}
	a.estimatedEnd = s.now + Instant(s.runTime(st, w))
	w.attempts[runKey{t.id(), run}] = a
	w.used = w.used.AddScaled(a.demand, 1)
	s.chargeAttempt(a)
	t.attempts = append(t.attempts, a)
	st.updateGangEnd()
	s.waitingStale = true
	t.lastRun = max(t.lastRun, run)
	st.lastRun = max(st.lastRun, run)
	return a
}

// closeAttempt removes an attempt and releases its resources.
func (s *Scheduler) closeAttempt(a *attempt) {
	w := a.worker
	delete(w.attempts, runKey{a.task.id(), a.run})
	w.used = w.used.AddScaled(a.demand, -1)
	s.refundAttempt(a)
	s.freed = append(s.freed, w)
	for i, other := range a.task.attempts {
		if other == a {
			a.task.attempts = append(a.task.attempts[:i], a.task.attempts[i+1:]...)
			break
		}
	}
	a.task.step.updateGangEnd()
}
