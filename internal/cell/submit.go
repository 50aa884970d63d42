package cell

import "math"

// Submit takes a job. The answer is due when Stored has reached the returned
// number. A job with a known ID is not taken again.
func (s *Scheduler) Submit(spec *Job) (seq uint64) {
	if j := s.jobs[spec.ID]; j != nil {
		return j.acceptSeq
	}
	spec.AcceptedUnixMS = s.unixMS
	j := s.addJob(spec)
	j.acceptSeq = s.persist(spec.ID, encode(jobRecord{Job: spec}))
	j.recordSeq = j.acceptSeq
	s.act(Decision{Event: EventJobTaken, Job: j.ID, Detail: j.Queue.Name})
	s.openSteps(j)
	return j.acceptSeq
}

// Servable reports whether the workers that are listed could run every step of
// the job if they were empty. Without any worker of its service, it is not known
// and true is returned.
func (s *Scheduler) Servable(spec *Job) bool {
	for i := range spec.Steps {
		if !s.couldRun(&spec.Steps[i], spec.Queue.Service) {
			return false
		}
	}
	return true
}

func (s *Scheduler) couldRun(def *Step, service string) bool {
	need, known, room := 1, false, 0
	if def.Gang {
		need = def.Tasks
	}
	for _, w := range s.workers {
		if w.Service != service || !w.listed {
			continue
		}
		known = true
		if w.hasLabel(def.Label) {
			limit := need
			if def.MaxPerWorker > 0 {
				limit = min(limit, def.MaxPerWorker)
			}
			room += w.Capacity.Copies(def.Demand(), limit)
		}
		if room >= need {
			return true
		}
	}
	return !known
}

// Withdraw forgets a job whose record was not sent to the log. It has not run.
func (s *Scheduler) Withdraw(id string) {
	if j := s.jobs[id]; j != nil && j.final == "" && j.acceptSeq > s.stored {
		j.final = Cancelled
		s.changed = true
		delete(s.jobs, id)
	}
}

// Known reports whether the scheduler has a job with the ID, stored or not.
func (s *Scheduler) Known(id string) bool { return s.jobs[id] != nil }

func (s *Scheduler) addJob(spec *Job) *job {
	j := &job{Job: spec, accepted: s.now, occurrences: map[int]*occurrence{}, finished: map[int]bool{}}
	s.jobs[spec.ID] = j
	return j
}

// openSteps opens the first occurrence of a job, or registers its schedule.
func (s *Scheduler) openSteps(j *job) {
	if j.Schedule == nil {
		s.openOccurrence(j, 0, j.accepted)
		return
	}
	s.timed = append(s.timed, j)
	s.openOccurrences()
}

// openOccurrences opens the occurrences of repeated jobs that are due.
func (s *Scheduler) openOccurrences() {
	kept := s.timed[:0]
	for _, j := range s.timed {
		if j.final != "" {
			continue
		}
		s.openDue(j)
		if j.nextDue < j.Schedule.Occurrences {
			kept = append(kept, j)
		}
	}
	clear(s.timed[len(kept):])
	s.timed = kept
}

func (s *Scheduler) openDue(j *job) {
	for ; j.nextDue < j.Schedule.Occurrences; j.nextDue++ {
		late := s.unixMS - (j.Schedule.FirstUnixMS + int64(j.nextDue)*j.Schedule.IntervalMS)
		if late < 0 {
			return
		}
		if !j.finished[j.nextDue] && j.occurrences[j.nextDue] == nil {
			s.openOccurrence(j, j.nextDue, s.now-Instant(late))
		}
	}
}

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

// chainWorkers is the number of workers that the objective of a job counts for
// each call of the policy service.
const chainWorkers = 30

// lateFactor times the objective is the time after which a job earns nothing.
const lateFactor = 3

// setObjectives works out the latest start of each step from the longest chain
// of steps that follow it.
func (s *Scheduler) setObjectives(o *occurrence) {
	q := &o.job.Queue
	call := int64(0)
	if q.Policy != nil {
		call = q.Policy.Duration(chainWorkers)
	}
	rest := make([]int64, len(o.steps)) // from the start of the step to the end of the job
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
		st.latest = o.due + Instant(objective-rest[i])
		st.expires = o.due + Instant(lateFactor*objective-rest[i])
		if st.def.Service {
			// A service earns for the time that its tasks run, so it is due at once
			// and never too late.
			st.latest, st.expires = o.due, math.MaxInt64
		}
	}
}

// queueReady queues the steps whose earlier steps are done.
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

func (s *step) complete() bool { return !s.def.Service && s.done == len(s.tasks) }

// enqueue adds a step to the waiting list, in the order of latest starts.
func (s *Scheduler) enqueue(st *step) {
	if st.queued || st.job.final != "" {
		return
	}
	st.queued = true
	st.searchAt = 0
	if st.readyAt == 0 {
		st.readyAt = s.now
	}
	at := len(s.waiting)
	for at > 0 && s.waiting[at-1].latest > st.latest {
		at--
	}
	s.waiting = append(s.waiting, nil)
	copy(s.waiting[at+1:], s.waiting[at:])
	s.waiting[at] = st
}

// Cancel cancels a job and stops its runs. The answer is due when Stored has
// reached the returned number; known is false if there is no such job.
func (s *Scheduler) Cancel(id string) (seq uint64, known bool) {
	j := s.jobs[id]
	if j == nil {
		return 0, false
	}
	if j.final == "" {
		s.finish(j, Cancelled)
	}
	return j.endSeq, true
}

// finish ends a job: writes its final state and stops what still runs.
func (s *Scheduler) finish(j *job, final State) {
	j.final = final
	s.changed = true
	j.endedUnixMS = s.unixMS
	j.dirty = false
	s.persist(j.ID+progressSuffix, nil)
	j.endSeq = s.persist(j.ID, encode(jobRecord{Final: final, EndedUnixMS: s.unixMS, Queue: j.Queue.Name}))
	j.recordSeq = j.endSeq
	s.reaper = append(s.reaper, j)
	s.act(Decision{Event: endEvents[final], Failed: final == Failed, Job: j.ID, Detail: j.Queue.Name, AgeMS: int64(s.now - j.accepted)})
	if final == Completed {
		return // all runs have ended, or were stopped when a copy ended first
	}
	for _, o := range j.occurrences {
		for _, st := range o.steps {
			s.stopStep(st, "job_"+string(final))
		}
	}
}

// stopStep stops all runs of a step.
func (s *Scheduler) stopStep(st *step, reason string) {
	for _, t := range st.tasks {
		for _, a := range t.attempts {
			s.stop(a, reason)
		}
	}
}

func (s *Scheduler) stop(a *attempt, reason string) {
	if a.phase == closing {
		return
	}
	a.phase = closing
	a.confirmed = 0
	s.act(Stop{Worker: a.worker.ID, Task: a.task.id(), Run: a.run, Reason: reason})
}

// forget drops ended jobs some time after their end.
func (s *Scheduler) forget() {
	n := 0
	for n < len(s.reaper) && s.unixMS-s.reaper[n].endedUnixMS > s.cfg.KeepEndedMS {
		s.persist(s.reaper[n].ID, nil)
		delete(s.jobs, s.reaper[n].ID)
		n++
	}
	s.reaper = s.reaper[n:]
}

// Status returns the state of a job as far as it is stored.
func (s *Scheduler) Status(id string) (state State, known bool) {
	j := s.jobs[id]
	switch {
	case j == nil || j.acceptSeq > s.stored:
		return "", false
	case j.final != "" && j.endSeq <= s.stored:
		return j.final, true
	case j.started:
		return Running, true
	default:
		return Pending, true
	}
}

// PendingJobs counts the jobs of a queue for which no task has started.
func (s *Scheduler) PendingJobs(queue string) int {
	n := 0
	for _, j := range s.jobs {
		if j.final == "" && !j.started && j.Queue.Name == queue && j.acceptSeq <= s.stored {
			n++
		}
	}
	return n
}
