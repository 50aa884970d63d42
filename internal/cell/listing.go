package cell

import "github.com/cespare/xxhash/v2"

// SetWorkers replaces what the platform's registry says. Workers that are missing
// keep their accounting until Lapsed says that they can run nothing more.
func (s *Scheduler) SetWorkers(infos []WorkerInfo) {
	listed := make(map[string]bool, len(infos))
	for _, info := range infos {
		listed[info.ID] = true
		w := s.workers[info.ID]
		if w == nil {
			w = &worker{mix: xxhash.Sum64String(info.ID), attempts: map[runKey]*attempt{}, foreign: map[runKey]bool{}}
			s.workers[info.ID] = w
			s.unaskedSince = s.now + 1
			if !s.before[info.ID] {
				w.namedBy = unwritten
				s.rename = true
			}
		}
		if info.Draining && !w.Draining {
			s.act(Decision{Event: EventWorkerDraining, Worker: info.ID, AgeMS: info.LeavesInMS})
		}
		w.WorkerInfo = info
		w.listed = true
		if w.namedBy == unnamed && !w.Draining {
			w.namedBy = unwritten
			s.rename = true
		}
		s.noteLeaving(w)
	}
	for id, w := range s.workers {
		w.listed = listed[id]
		if !w.listed && !w.fenced && len(w.attempts) == 0 {
			s.forgetWorker(w)
		}
	}
}

// Lapsed notes that a worker can run nothing that it was told before: its lease
// has run out. Its tasks are placed again.
func (s *Scheduler) Lapsed(workerID string) {
	s.heard(workerID)
	w := s.workers[workerID]
	if w == nil {
		return
	}
	if len(w.attempts) > 0 {
		s.act(Decision{Event: EventWorkerLapsed, Failed: true, Worker: workerID, AgeMS: int64(len(w.attempts))})
	}
	s.loseAttempts(w)
	w.fenced = false
	clear(w.foreign)
	if !w.listed {
		s.forgetWorker(w)
	}
}

// forgetWorker drops a worker that has left and can run nothing any more.
func (s *Scheduler) forgetWorker(w *worker) {
	delete(s.workers, w.ID)
	delete(s.unstored, w)
	s.rename = true
}

// heard notes that a worker of an earlier holder can run nothing unknown.
func (s *Scheduler) heard(workerID string) {
	if s.before[workerID] {
		delete(s.before, workerID)
		s.rename = s.rename || s.workers[workerID] == nil
	}
}

// loseAttempts closes all attempts of a worker that runs nothing any more.
func (s *Scheduler) loseAttempts(w *worker) {
	for _, a := range w.attempts {
		s.close(a)
		s.afterLoss(a)
	}
}

// Listed takes the list of a worker's running and ended tasks.
func (s *Scheduler) Listed(l Listing) {
	s.heard(l.Worker)
	w := s.workers[l.Worker]
	if w == nil {
		return
	}
	if w.fenced && w.life != l.Life {
		s.act(Decision{Event: EventWorkerRestarted, Failed: true, Worker: w.ID, AgeMS: int64(len(w.attempts))})
		s.loseAttempts(w)
		s.restart(w)
	}
	if !w.fenced {
		s.restart(w)
		w.fenced = true
		s.freed = append(s.freed, w)
	}
	w.life = l.Life
	w.lastListed = max(w.lastListed, l.Asked)
	for i := range l.Ended {
		s.takeEnd(w, &l.Ended[i])
	}
	present := make(map[runKey]bool, len(l.Running))
	for i := range l.Running {
		key := runKey{l.Running[i].Task, l.Running[i].Run}
		present[key] = true
		s.takeRunning(w, key, &l.Running[i])
	}
	s.closeMissing(w, present, l.Asked)
}

// restart forgets what belongs to an earlier life of the worker.
func (s *Scheduler) restart(w *worker) {
	w.lastEnd, w.ends = 0, nil
	delete(s.unstored, w)
	s.acknowledge(w, 0)
	clear(w.foreign)
}

// takeRunning notes a run that the worker lists.
func (s *Scheduler) takeRunning(w *worker, key runKey, r *RunningTask) {
	a := w.attempts[key]
	if a == nil {
		a = s.adopt(w, key)
	}
	if a == nil {
		if !w.foreign[key] {
			w.foreign[key] = true
			s.act(Stop{Worker: w.ID, Task: key.task, Run: key.run, Reason: "unknown_run"})
		}
		return
	}
	if a.phase == starting {
		s.confirm(a)
	}
	a.takeProgress(s.now, r)
	s.takeCheckpoint(a.task, a.run, r.Checkpoint)
}

// adopt takes over a run that an earlier holder started. It returns nil if the
// run must be stopped.
func (s *Scheduler) adopt(w *worker, key runKey) *attempt {
	t := s.task(key.task)
	if t == nil {
		return nil
	}
	st := t.step
	t.lastRun = max(t.lastRun, key.run)
	st.lastRun = max(st.lastRun, key.run)
	if t.done || (len(t.attempts) > 0 && !st.def.Copies) || !st.gangRunIs(key.run) {
		return nil
	}
	a := s.open(t, w, key.run)
	a.resumed = true
	s.confirm(a)
	return a
}

// gangRunIs reports whether a run may join the runs of a gang: all members of a
// gang have one run number.
func (s *step) gangRunIs(run uint32) bool {
	if !s.def.Gang {
		return true
	}
	for _, t := range s.tasks {
		for _, a := range t.attempts {
			if a.run != run {
				return false
			}
		}
	}
	return true
}

// closeMissing closes attempts that the worker has confirmed and no longer lists.
func (s *Scheduler) closeMissing(w *worker, present map[runKey]bool, asked Instant) {
	for key, a := range w.attempts {
		if present[key] || a.confirmed == 0 || a.confirmed >= asked {
			continue
		}
		s.close(a)
		s.afterLoss(a)
	}
	for key := range w.foreign {
		if !present[key] {
			delete(w.foreign, key)
		}
	}
}

// confirm notes that the worker runs the attempt.
func (s *Scheduler) confirm(a *attempt) {
	a.phase = running
	a.confirmed = s.now
	if !a.resumed {
		a.progress = progress{at: s.now, firstAt: s.now}
	}
	st := a.task.step
	st.job.started = true
	if !st.started {
		st.started = true
		s.markDirty(st.job)
	}
}

// Started takes the result of a Start.
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
		s.stopIfUnwanted(a)
		return
	}
	s.act(Decision{Event: EventStartRefused, Failed: true, Job: id.Job, Task: id.String(), Run: run, Worker: workerID, Detail: outcome.String(), AgeMS: int64(s.now - a.started)})
	if outcome == StartUnanswered {
		// Only after a stop has been answered can the order no longer be
		// carried out. Further starts would most likely meet the same silence.
		w.avoidUntil = s.now + unhealthyPauseMS
		s.stop(a, "start_unanswered")
		if a.task.step.def.Gang {
			s.stopStep(a.task.step, "gang_member_lost")
		}
		return
	}
	s.refuse(a, outcome)
}

// unhealthyPauseMS is how long a worker that refuses work gets none, in ms.
const unhealthyPauseMS = 1000

// refuse handles a start that the worker has certainly not carried out.
func (s *Scheduler) refuse(a *attempt, outcome StartOutcome) {
	w, st := a.worker, a.task.step
	switch outcome {
	case StartUnhealthy, StartNoRoom, StartFenced, StartWrongLife, StartNotSent:
		w.avoidUntil = s.now + unhealthyPauseMS
	case StartNoPermit:
		st.permits.expire(w.ID)
	}
	s.close(a)
	s.afterLoss(a)
}

// Stopped takes the answer to a Stop: the run is ended, or will be, and cannot
// begin any more.
func (s *Scheduler) Stopped(workerID string, id TaskID, run uint32) {
	w := s.workers[workerID]
	if w == nil {
		return
	}
	if a := w.attempts[runKey{id, run}]; a != nil && a.phase == closing {
		a.confirmed = s.now
	}
}

// stopIfUnwanted stops a run whose task needs no run any more.
func (s *Scheduler) stopIfUnwanted(a *attempt) {
	if a.task.step.job.final != "" || a.task.done {
		s.stop(a, "not_needed")
	}
}

// task returns the task with the name, or nil.
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

// open creates an attempt and takes its room.
func (s *Scheduler) open(t *task, w *worker, run uint32) *attempt {
	st := t.step
	a := &attempt{task: t, run: run, worker: w, demand: st.demand, started: s.now, pace: fullPace}
	a.ends = s.now + Instant(s.runTime(st, w))
	w.attempts[runKey{t.id(), run}] = a
	w.used = w.used.Plus(a.demand, 1)
	t.attempts = append(t.attempts, a)
	s.changed = true
	t.lastRun = max(t.lastRun, run)
	st.lastRun = max(st.lastRun, run)
	return a
}

// close removes an attempt and frees its room.
func (s *Scheduler) close(a *attempt) {
	w := a.worker
	delete(w.attempts, runKey{a.task.id(), a.run})
	w.used = w.used.Plus(a.demand, -1)
	s.freed = append(s.freed, w)
	for i, other := range a.task.attempts {
		if other == a {
			a.task.attempts = append(a.task.attempts[:i], a.task.attempts[i+1:]...)
			break
		}
	}
}
