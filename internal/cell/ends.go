package cell

import "slices"

// takeEnd processes an end that a worker lists. Ends are listed again until they
// are acknowledged; each is processed once.
func (s *Scheduler) takeEnd(w *worker, e *EndedTask) {
	if e.Number <= w.lastEnd {
		return
	}
	w.lastEnd = e.Number
	key := runKey{e.Task, e.Run}
	delete(w.foreign, key)
	a := w.attempts[key]
	if a != nil {
		s.close(a)
		w.health.note(s.now, e.Kind)
	}
	p := &pendingEnd{number: e.Number}
	if t := s.task(e.Task); t != nil {
		t.lastRun = max(t.lastRun, e.Run)
		t.step.lastRun = max(t.step.lastRun, e.Run)
		s.takeCheckpoint(t, e.Run, e.Checkpoint)
		s.applyEnd(t, w, e)
		p.job, p.seq = t.step.job, unwritten
		s.newEnds = append(s.newEnds, p)
	} else if j := s.jobs[e.Task.Job]; j != nil {
		// Until the final state is stored, this end may be all that tells a new
		// holder of it.
		p.seq = j.recordSeq
	}
	w.ends = append(w.ends, p)
	s.releaseEnds(w)
}

// applyEnd advances the task by the end of one of its runs.
func (s *Scheduler) applyEnd(t *task, w *worker, e *EndedTask) {
	st := t.step
	switch {
	case e.Kind == EndDone && st.def.Service:
		s.enqueue(st)
	case e.Kind == EndDone && st.def.Gang:
		s.gangDone(st)
	case e.Kind == EndDone:
		s.taskDone(t)
	case e.Kind == EndFailed:
		s.countFailure(t, e, w)
	case e.Kind == EndBroken:
		// The worker ends the other members of the gang by itself.
		s.enqueue(st)
	default:
		s.act(Decision{Event: EventRunLost, Failed: e.Kind != EndStopped, Job: st.job.ID, Task: e.Task.String(), Run: e.Run, Worker: w.ID, Detail: string(e.Kind)})
		s.lost(t)
	}
}

// taskDone notes that a task has ended well.
func (s *Scheduler) taskDone(t *task) {
	if t.done {
		return
	}
	t.done = true
	s.changed = true
	t.step.done++
	t.step.started = true
	t.step.job.started = true
	for _, other := range t.attempts {
		s.stop(other, "copy_done")
	}
	s.markDirty(t.step.job)
	if t.step.complete() {
		s.stepDone(t.step)
	}
}

// gangDone notes the end of a gang: one member's end stands for all.
func (s *Scheduler) gangDone(st *step) {
	if st.complete() {
		return
	}
	for _, t := range st.tasks {
		t.done = true
	}
	st.done = len(st.tasks)
	s.changed = true
	st.started = true
	st.job.started = true
	s.markDirty(st.job)
	s.stepDone(st)
}

// stepDone queues what waited for the step, or ends the occurrence and the job.
func (s *Scheduler) stepDone(st *step) {
	o := st.occ
	o.left--
	if o.left > 0 {
		s.queueReady(o)
		return
	}
	j := o.job
	if j.Schedule != nil {
		j.finished[o.number] = true
		delete(j.occurrences, o.number)
		if len(j.finished) < j.Schedule.Occurrences {
			return
		}
	}
	s.finish(j, Completed)
}

// countFailure counts a failed attempt once and ends the job when there were too
// many.
func (s *Scheduler) countFailure(t *task, e *EndedTask, w *worker) {
	st := t.step
	failed := &t.failed
	if st.def.Gang {
		failed = &st.failed
	}
	// After a takeover the ends of several workers come in any order, and those
	// that the log has are listed again.
	if !st.def.Service && !slices.Contains(*failed, e.Run) {
		*failed = append(*failed, e.Run)
		s.markDirty(st.job)
		if !slices.Contains(st.failedOn, w.ID) {
			st.failedOn = append(st.failedOn, w.ID)
		}
	}
	s.act(Decision{Event: EventRunFailed, Failed: true, Job: st.job.ID, Task: e.Task.String(), Run: e.Run, Worker: w.ID, Detail: st.job.Queue.Name, AgeMS: int64(len(*failed))})
	if !st.def.Service && len(*failed) >= st.job.Queue.MaxAttempts && !t.done {
		s.finish(st.job, Failed)
		return
	}
	s.enqueue(st)
}

// afterLoss continues a task after one of its attempts ended without a result.
func (s *Scheduler) afterLoss(a *attempt) {
	if a.task.step.job.final == "" {
		s.lost(a.task)
	}
}

// lost queues a task again. A gang that lost a member stops the others first.
func (s *Scheduler) lost(t *task) {
	if t.done {
		return
	}
	if t.step.def.Gang {
		s.stopStep(t.step, "gang_member_lost")
	}
	s.enqueue(t.step)
}

// takeCheckpoint keeps the newest checkpoint of a task. That of any member of a
// gang is valid for the whole gang.
func (s *Scheduler) takeCheckpoint(t *task, run uint32, value string) {
	if value == "" || run < t.lastRun {
		return
	}
	t.saved = value
	t.step.saved = value
}

func (s *Scheduler) markDirty(j *job) {
	if !j.dirty && j.final == "" {
		j.dirty = true
		s.dirty = append(s.dirty, j)
	}
}

// writeProgress persists the progress of the jobs that changed.
func (s *Scheduler) writeProgress() {
	for _, j := range s.dirty {
		if j.dirty {
			j.dirty = false
			j.recordSeq = s.persist(j.ID+progressSuffix, encode(j.progress()))
		}
	}
	s.dirty = s.dirty[:0]
	for _, e := range s.newEnds {
		e.seq = e.job.recordSeq
	}
	s.newEnds = s.newEnds[:0]
}

// progress returns the record of a job's progress.
func (j *job) progress() progressRecord {
	var r progressRecord
	for number := range j.finished {
		r.Finished = append(r.Finished, number)
	}
	for _, o := range j.occurrences {
		for _, st := range o.steps {
			if p, any := st.progress(); any {
				r.Steps = append(r.Steps, p)
			}
		}
	}
	return r
}

func (s *step) progress() (p stepProgress, any bool) {
	p = stepProgress{Occurrence: s.occ.number, Step: s.index, Started: s.started}
	if len(s.failed) > 0 {
		p.Failed = append(p.Failed, taskFailures{Index: 0, Runs: s.failed})
	}
	for _, t := range s.tasks {
		if t.done {
			p.Done = append(p.Done, t.index)
		}
		if len(t.failed) > 0 {
			p.Failed = append(p.Failed, taskFailures{Index: t.index, Runs: t.failed})
		}
	}
	return p, p.Started || len(p.Done) > 0 || len(p.Failed) > 0
}
