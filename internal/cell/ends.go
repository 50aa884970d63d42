package cell

import "slices"

// handleEnd processes a run that a worker reports as ended. Workers repeat the report
// until it is acknowledged; each end is processed once.
func (s *Scheduler) handleEnd(w *worker, e *EndedTask) {
	if e.Number <= w.lastEnd {
		return
	}
	w.lastEnd = e.Number
	key := runKey{e.Task, e.Run}
	s.forgetUnknownRun(w, key)
	a, startedAt := w.attempts[key], s.now
	if a != nil {
		startedAt = a.started
		s.closeAttempt(a)
		if e.Kind != EndFailed || !a.task.step.failsElsewhere(w) {
			w.health.recordEnd(s.now, e.Kind)
		}
		if e.Kind == EndDone || e.Kind == EndFailed {
			s.clearSuspicion(a.task)
		}
	}
	p := &pendingEnd{number: e.Number}
	s.openBegun(e.Task)
	if t := s.task(e.Task); t != nil {
		s.discountRestoredCrash(w, t, e.Run)
		t.lastRun = max(t.lastRun, e.Run)
		t.step.lastRun = max(t.step.lastRun, e.Run)
		s.updateCheckpoint(t, e.Run, e.Checkpoint)
		s.applyEnd(t, w, e, startedAt)
		p.job, p.seq = t.step.job, unwritten
		s.newEnds = append(s.newEnds, p)
	} else if j := s.jobs[e.Task.Job]; j != nil {
		// Until the final state, or the completion of an occurrence, is stored, this
		// report may be the only way for a new holder to learn of the end.
		p.seq = j.recordSeq
		if j.dirty {
			p.job, p.seq = j, unwritten
			s.newEnds = append(s.newEnds, p)
		}
	}
	w.pendingEnds = append(w.pendingEnds, p)
	s.releaseEnds(w)
}

// applyEnd updates the task after one of its runs has ended, which started at the given time.
func (s *Scheduler) applyEnd(t *task, w *worker, e *EndedTask, startedAt Instant) {
	st := t.step
	switch {
	case e.Kind == EndDone && st.def.LongRunning:
		s.delayRestart(t, w, startedAt)
		s.enqueue(st)
	case e.Kind == EndDone && st.def.Gang:
		s.gangDone(st)
	case e.Kind == EndDone:
		s.taskDone(t)
	case e.Kind == EndFailed:
		st.brokenRun = max(st.brokenRun, e.Run)
		s.delayRestart(t, w, startedAt)
		s.countFailure(t, e, w)
	case e.Kind == EndGangMemberEnded:
		// The worker ends the other members of the gang itself.
		st.brokenRun = max(st.brokenRun, e.Run)
		s.enqueue(st)
	default:
		s.emit(LogEvent{Event: EventRunLost, Failed: e.Kind != EndStopped, Job: st.job.ID, Task: e.Task.String(), Run: e.Run, Worker: w.ID, Detail: string(e.Kind)})
		if !st.matchesGangRun(e.Run) {
			s.enqueue(st) // the end of an earlier run is no reason to stop the present one
			return
		}
		s.requeueLost(t)
	}
}

// taskDone marks a task as successfully completed.
func (s *Scheduler) taskDone(t *task) {
	if t.done {
		return
	}
	t.done = true
	s.clearSuspicion(t)
	s.waitingStale = true
	t.step.done++
	s.markStarted(t.step)
	for _, other := range t.attempts {
		s.stop(other, "copy_done")
	}
	s.markDirty(t.step, t.index)
	if t.step.complete() {
		s.stepDone(t.step)
	}
}

// gangDone completes a gang. The successful end of one member completes all of them.
func (s *Scheduler) gangDone(st *step) {
	if st.complete() {
		return
	}
	for _, t := range st.tasks {
		t.done = true
		s.clearSuspicion(t)
		s.markDirty(st, t.index)
	}
	st.done = len(st.tasks)
	s.waitingStale = true
	s.markStarted(st)
	s.stepDone(st)
}

// stepDone queues the steps that waited for this one, or ends the occurrence and, after
// the last one, the job.
func (s *Scheduler) stepDone(st *step) {
	o := st.occ
	o.left--
	if o.left > 0 {
		s.queueReady(o)
		return
	}
	j := o.job
	if j.Schedule != nil {
		j.finished.add(o.number)
		j.markOccurrence(o.number)
		delete(j.occurrences, o.number)
		if j.finished.count < j.Schedule.Occurrences {
			return
		}
	}
	s.finish(j, Completed)
}

// countFailure counts a failed run once and fails the job when the task or gang has
// reached MaxAttempts.
func (s *Scheduler) countFailure(t *task, e *EndedTask, w *worker) {
	st := t.step
	failed := &t.failed
	if st.def.Gang {
		failed = &st.failed
	}
	// After a takeover, workers report their ended runs in any order and repeat ones
	// that the log already has.
	if st.def.LongRunning || !slices.Contains(*failed, e.Run) {
		s.recordFailure(t, failed, e, w)
	}
	if !st.def.LongRunning && len(*failed) >= st.job.Queue.MaxAttempts && !t.done {
		s.finish(st.job, Failed)
		return
	}
	s.enqueue(st)
}

// recordFailure reports a failed run and, unless its task belongs to a service, adds it
// to the failed runs of the task or gang.
func (s *Scheduler) recordFailure(t *task, failed *[]uint32, e *EndedTask, w *worker) {
	st := t.step
	if !st.def.LongRunning {
		*failed = append(*failed, e.Run)
		if st.def.Gang {
			s.markDirty(st, 0) // whose part holds the failed runs of the gang
		} else {
			s.markDirty(st, t.index)
		}
		if !slices.Contains(st.failedOn, w.ID) {
			st.failedOn = append(st.failedOn, w.ID)
		}
	}
	s.emit(LogEvent{Event: EventRunFailed, Failed: true, Job: st.job.ID, Task: e.Task.String(), Run: e.Run, Worker: w.ID, Detail: st.job.Queue.Name, AgeMS: int64(len(*failed))})
}

// retryAfterLoss queues the task again after an attempt ended without a result.
func (s *Scheduler) retryAfterLoss(a *attempt) {
	if a.task.step.job.final == "" {
		if a.phase == running {
			s.delayRestart(a.task, a.worker, a.started)
		}
		s.requeueLost(a.task)
	}
}

// requeueLost queues a task again. The other members of its gang are stopped first.
func (s *Scheduler) requeueLost(t *task) {
	if t.done {
		return
	}
	if t.step.def.Gang {
		s.stopStep(t.step, "gang_member_lost")
	}
	s.enqueue(t.step)
}

// updateCheckpoint keeps the newest checkpoint of a task. A checkpoint of any gang
// member is valid for the whole gang.
func (s *Scheduler) updateCheckpoint(t *task, run uint32, value string) {
	if value == "" || run < t.lastRun {
		return
	}
	t.checkpoint = value
	t.step.checkpoint = value
}

// progress returns the progress of the tasks from from to before to, and whether there is any.
// That of the step itself belongs to its first task.
func (s *step) progress(from, to int) (p stepProgress, nonEmpty bool) {
	tasks := s.tasks[from:to]
	p = stepProgress{Occurrence: s.occ.number, Step: s.index, Started: s.started && from == 0}
	if len(s.failed) > 0 && from == 0 {
		p.Failed = append(p.Failed, taskFailures{Index: 0, Runs: s.failed})
	}
	for _, t := range tasks {
		if t.done {
			p.Done = append(p.Done, t.index)
		}
		if len(t.failed) > 0 {
			p.Failed = append(p.Failed, taskFailures{Index: t.index, Runs: t.failed})
		}
	}
	for _, t := range tasks {
		if c := t.crashes; c != (crashes{}) && !t.done {
			p.Crashes = append(p.Crashes, taskCrashes{Index: t.index, Total: c.total, Early: c.early, Suspected: c.suspected})
		}
		if len(t.openCrashes) > 0 && !t.done {
			p.OpenCrashes = append(p.OpenCrashes, taskOpenCrashes{Index: t.index, Crashes: t.openCrashes})
		}
	}
	return p, p.Started || len(p.Crashes) > 0 || len(p.Done) > 0 || len(p.Failed) > 0
}
