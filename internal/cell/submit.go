package cell

import (
	"math"
	"slices"
)

// Submit accepts a job. The caller may be answered once Stored has reached the returned
// sequence number. A job with a known ID is not accepted again, and one that its workspace
// cancelled before it was submitted stays cancelled.
func (s *Scheduler) Submit(spec *Job) (seq uint64) {
	j := s.jobs[spec.ID]
	switch {
	case j != nil && j.unsubmitted && j.isForeignTo(spec.Workspace):
		s.forgetEnded(j) // the record of the job replaces that of the cancelling
	case j != nil && j.unsubmitted:
		s.submitCancelled(j, spec)
		return j.acceptSeq
	case j != nil:
		return j.acceptSeq
	}
	spec.AcceptedUnixMS = s.unixMS
	j = s.addJob(spec)
	j.acceptSeq = s.persist(spec.ID, encode(jobRecord{Job: spec}))
	j.recordSeq = j.acceptSeq
	s.emit(LogEvent{Event: EventJobAccepted, Job: j.ID, Detail: j.Queue.Name})
	s.openSteps(j)
	return j.acceptSeq
}

// submitCancelled records the submission of a job that was cancelled before. The job is kept
// from now on, because the submission may be repeated.
func (s *Scheduler) submitCancelled(j *job, spec *Job) {
	s.forgetEnded(j)
	s.jobs[j.ID] = j
	j.unsubmitted, j.keyless = false, false
	j.Queue, j.Workspace, j.use = spec.Queue, spec.Workspace, s.useOf(spec.Workspace)
	s.end(j, Cancelled)
	j.acceptSeq = j.endSeq
	s.emit(LogEvent{Event: EventJobCancelled, Job: j.ID, Detail: j.Queue.Name})
}

// forgetEnded removes an ended job, whose record stays until another one replaces it.
func (s *Scheduler) forgetEnded(j *job) {
	s.endedJobs = slices.DeleteFunc(s.endedJobs, func(other *job) bool { return other == j })
	delete(s.jobs, j.ID)
}

// CanEverRun reports whether the registered workers could run every step of the job if
// they were empty. It returns true if no worker of the job's service is registered,
// because then that is unknown.
func (s *Scheduler) CanEverRun(spec *Job) bool {
	for i := range spec.Steps {
		if !s.couldRun(&spec.Steps[i], spec.Queue.Service) {
			return false
		}
	}
	return true
}

// couldRun reports whether the registered workers of the service could run the step if
// they were empty, or true if none is registered.
func (s *Scheduler) couldRun(def *Step, service string) bool {
	need, known, fits := 1, false, 0
	if def.Gang {
		need = def.Tasks
	}
	for _, w := range s.workers {
		if w.Service != service || !w.registered {
			continue
		}
		known = true
		if w.hasLabel(def.Label) {
			limit := need
			if def.MaxPerWorker > 0 {
				limit = min(limit, def.MaxPerWorker)
			}
			fits += w.Capacity.FitCount(def.Demand(), limit)
		}
		if fits >= need {
			return true
		}
	}
	return !known
}

// MayWithdraw reports whether a job may be withdrawn if its record was not sent to the log.
// The end of a job, also of one that was cancelled before it was submitted, must be stored.
func (s *Scheduler) MayWithdraw(id string) bool {
	j := s.jobs[id]
	return j != nil && j.final == "" && j.acceptSeq > s.stored
}

// Withdraw deletes a job whose record was not sent to the log, if MayWithdraw allows it. None
// of its tasks has been started.
func (s *Scheduler) Withdraw(id string) {
	if s.MayWithdraw(id) {
		s.jobs[id].final = Cancelled
		s.waitingStale = true
		delete(s.jobs, id)
	}
}

// HasJob reports whether the Scheduler has a job with the ID, stored or not.
func (s *Scheduler) HasJob(id string) bool { return s.jobs[id] != nil }

func (s *Scheduler) addJob(spec *Job) *job {
	j := &job{Job: spec, use: s.useOf(spec.Workspace), accepted: s.now, offsets: stepOffsets(spec.Steps), occurrences: map[int]*occurrence{}}
	s.jobs[spec.ID] = j
	return j
}

// openSteps opens the only occurrence of a job, or the due occurrences of a repeated
// job.
func (s *Scheduler) openSteps(j *job) {
	if j.Schedule == nil {
		s.openOccurrence(j, 0, j.accepted)
		return
	}
	s.scheduledJobs = append(s.scheduledJobs, j)
	s.openOccurrences()
}

// openOccurrences opens the due occurrences of all repeated jobs, and drops the jobs
// without further ones from scheduledJobs.
func (s *Scheduler) openOccurrences() {
	kept := s.scheduledJobs[:0]
	for _, j := range s.scheduledJobs {
		if j.final != "" {
			continue
		}
		s.openDue(j)
		if j.nextDue < j.Schedule.Occurrences {
			kept = append(kept, j)
		}
	}
	clear(s.scheduledJobs[len(kept):])
	s.scheduledJobs = kept
}

// The number of occurrences of a job that are due has no limit, so they are opened in turns, the
// oldest first.
const (
	// maxOpenTasks is the number of tasks of all open occurrences of a repeated job. A task takes
	// about 1 KB of memory. One occurrence is opened in any case.
	maxOpenTasks = 10_000
	// maxOpenedPerPass is the number of occurrences of a job that one pass opens, so that other
	// jobs do not wait for thousands of them.
	maxOpenedPerPass = 256
)

// openDue opens occurrences of a repeated job that are due.
func (s *Scheduler) openDue(j *job) {
	for opened := 0; opened < maxOpenedPerPass; j.nextDue++ {
		j.nextDue = j.finished.nextMissing(j.nextDue)
		if j.nextDue >= j.Schedule.Occurrences {
			return
		}
		overdueMS := s.unixMS - (j.Schedule.FirstUnixMS + int64(j.nextDue)*j.Schedule.IntervalMS)
		if overdueMS < 0 {
			return
		}
		if j.occurrences[j.nextDue] != nil {
			continue
		}
		if open := len(j.occurrences); open > 0 && (open+1)*j.tasksPerOccurrence() > maxOpenTasks {
			return
		}
		s.openOccurrence(j, j.nextDue, s.now-Instant(overdueMS))
		opened++
	}
}

// openOccurrence creates an occurrence and queues the steps that depend on no other.
func (s *Scheduler) openOccurrence(j *job, number int, due Instant) *occurrence {
	o := &occurrence{job: j, number: number, due: due, left: len(j.Steps)}
	for i := range j.Steps {
		def := &j.Steps[i]
		st := &step{job: j, occ: o, index: i, def: def, demand: def.Demand()}
		for t := range def.Tasks {
			st.tasks = append(st.tasks, &task{step: st, index: t})
		}
		o.steps = append(o.steps, st)
	}
	s.setObjectives(o)
	j.occurrences[number] = o
	s.queueReady(o)
	return o
}

// objectiveWorkers is the number of workers that the objective of a job assumes for
// each call to the policy service.
const objectiveWorkers = 30

// expiryFactor is the multiple of its objective after which a job has no value.
const expiryFactor = 3

// setObjectives computes the latest start of each step from the longest chain of steps
// that follow it.
func (s *Scheduler) setObjectives(o *occurrence) {
	q := &o.job.Queue
	call := int64(0)
	if q.Policy != nil {
		call = q.Policy.Duration(objectiveWorkers)
	}
	rest := make([]int64, len(o.steps)) // ms from the start of the step to the end of the job
	longest := int64(0)
	for i := len(o.steps) - 1; i >= 0; i-- {
		rest[i] += o.steps[i].def.EstimateMS
		for _, earlier := range o.steps[i].def.After {
			rest[earlier] = max(rest[earlier], rest[i]+call)
		}
		longest = max(longest, rest[i]+call)
	}
	objective := int64(q.SlackFactor*float64(longest)) + q.TargetLatencyMS
	for i, st := range o.steps {
		st.latestStart = o.due + Instant(objective-rest[i])
		st.expires = o.due + Instant(expiryFactor*objective-rest[i])
		if st.def.LongRunning {
			// The value of a service grows with the time that its tasks run, so it is
			// due at once and never too late.
			st.latestStart, st.expires = o.due, math.MaxInt64
		}
	}
}

// queueReady queues the steps whose dependencies are complete.
func (s *Scheduler) queueReady(o *occurrence) {
	for _, st := range o.steps {
		if !st.queued && !st.complete() && o.isReady(st) {
			s.enqueue(st)
		}
	}
}

func (o *occurrence) isReady(st *step) bool {
	for _, earlier := range st.def.After {
		if !o.steps[earlier].complete() {
			return false
		}
	}
	return true
}

func (s *step) complete() bool { return !s.def.LongRunning && s.done == len(s.tasks) }

// enqueue adds a step to the waiting list, which is sorted by latest start.
func (s *Scheduler) enqueue(st *step) {
	if st.queued || st.job.final != "" {
		return
	}
	st.queued = true
	st.nextSearch = 0
	if st.readyAt == 0 {
		st.readyAt = s.now
	}
	at := len(s.waiting)
	for at > 0 && s.waiting[at-1].latestStart > st.latestStart {
		at--
	}
	s.waiting = append(s.waiting, nil)
	copy(s.waiting[at+1:], s.waiting[at:])
	s.waiting[at] = st
}

// Cancel cancels a job and stops its runs. The caller may be answered once Stored has
// reached the returned sequence number. Known is false if no job with the ID was submitted.
// Its submission may still be on its way, so the cancelling is kept for as long as the end of
// a job, and the job does not run if the caller's workspace submits it later. The caller must
// have access to the job, see MayAccess.
func (s *Scheduler) Cancel(id string, by Caller) (seq uint64, known bool) {
	j := s.jobs[id]
	switch {
	case j == nil:
		j = s.addJob(&Job{ID: id, Workspace: by.Workspace})
		j.unsubmitted, j.keyless = true, by.Checked && by.Workspace == ""
		s.end(j, Cancelled)
	case j.unsubmitted && j.isForeignTo(by.Workspace):
		// Two workspaces have cancelled the ID, so no job of either may run.
		s.forgetEnded(j)
		s.jobs[id] = j
		j.Workspace, j.use, j.keyless = "", nil, false
		s.end(j, Cancelled)
	case j.final == "":
		s.finish(j, Cancelled)
	}
	return j.endSeq, !j.unsubmitted
}

// finish ends a job: it writes the final state and stops the remaining runs.
func (s *Scheduler) finish(j *job, final State) {
	s.waitingStale = true
	j.dirty = false
	s.end(j, final)
	// The drop of the progress comes last: without the progress and the final state, a new
	// holder would run tasks again that are done.
	s.dropParts(j)
	s.emit(LogEvent{Event: endEvents[final], Failed: final == Failed, Job: j.ID, Detail: j.Queue.Name, AgeMS: int64(s.now - j.accepted)})
	if final == Completed {
		return // all runs have ended, or were stopped when another attempt ended first
	}
	for _, o := range j.occurrences {
		for _, st := range o.steps {
			s.stopStep(st, "job_"+string(final))
		}
	}
}

// end sets and writes the final state of a job.
func (s *Scheduler) end(j *job, final State) {
	j.final, j.ended = final, s.now
	j.endSeq = s.persist(j.ID, encode(jobRecord{
		Final: final, EndedUnixMS: s.unixMS, Queue: j.Queue.Name, Unsubmitted: j.unsubmitted, Workspace: j.Workspace, Keyless: j.keyless, Stopping: j.openRuns(),
	}))
	j.recordSeq = j.endSeq
	s.endedJobs = append(s.endedJobs, j)
}

// stopStep stops all runs of a step.
func (s *Scheduler) stopStep(st *step, reason string) {
	for _, t := range st.tasks {
		for _, a := range t.attempts {
			s.stop(a, reason)
		}
	}
}

// stop emits a Stop action for the attempt, unless it is being stopped already.
func (s *Scheduler) stop(a *attempt, reason string) {
	if a.phase == stopping {
		return
	}
	a.phase = stopping
	a.confirmed = 0
	s.emitStop(a, reason)
}

// emitStop emits a Stop action for the attempt.
func (s *Scheduler) emitStop(a *attempt, reason string) {
	a.stopEmitted = s.now
	s.emit(Stop{Worker: a.worker.ID, Task: a.task.id(), Run: a.run, Reason: reason})
}

// dropEndedJobs deletes jobs that ended more than Config.KeepEndedMS ago.
func (s *Scheduler) dropEndedJobs() {
	n := 0
	for n < len(s.endedJobs) && int64(s.now-s.endedJobs[n].ended) > s.cfg.KeepEndedMS {
		s.persist(s.endedJobs[n].ID, nil)
		delete(s.jobs, s.endedJobs[n].ID)
		n++
	}
	s.endedJobs = s.endedJobs[n:]
}

// Status returns the stored state of a job, and whether a job with the ID is stored.
func (s *Scheduler) Status(id string) (state State, known bool) {
	j := s.jobs[id]
	switch {
	case j == nil || j.unsubmitted || j.acceptSeq > s.stored:
		return "", false
	case j.final != "" && j.endSeq <= s.stored:
		return j.final, true
	case j.started:
		return Running, true
	default:
		return Pending, true
	}
}

// PendingJobs returns how many stored jobs of the queue have not started any task.
func (s *Scheduler) PendingJobs(queue string) int {
	n := 0
	for _, j := range s.jobs {
		if j.final == "" && !j.started && j.Queue.Name == queue && j.acceptSeq <= s.stored {
			n++
		}
	}
	return n
}
