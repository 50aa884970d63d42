package cell

import (
	"cmp"
	"slices"
)

// Restore loads the records that earlier holders wrote. It must be called before any
// other event except Tick. Records that cannot be decoded are skipped and their errors
// are returned.
func (s *Scheduler) Restore(records []Record) (skipped []error) {
	var progress []Record
	for _, r := range records {
		switch {
		case r.Key == rosterKey:
			err := s.restoreRoster(r)
			s.rosterLost = s.rosterLost || err != nil
			skipped = appendError(skipped, err)
		case isProgress(r.Key):
			progress = append(progress, r)
		default:
			skipped = appendError(skipped, s.restoreJob(r))
		}
	}
	undecodable := len(skipped) > 0
	for _, r := range progress {
		j := s.jobs[r.jobID()]
		switch {
		case j != nil && j.final == "":
			skipped = appendError(skipped, s.restoreProgress(j, r))
		case j != nil || !undecodable:
			// The holder that dropped it ended before the drop was stored. A job that is
			// submitted under the same ID must not resume from it.
			s.persist(r.Key, nil)
		}
	}
	// dropEndedJobs expects them in the order of their ends.
	slices.SortFunc(s.endedJobs, func(a, b *job) int { return cmp.Compare(a.ended, b.ended) })
	for _, j := range s.jobs {
		if j.final == "" {
			s.resumeJob(j)
		}
	}
	s.holdTasks()
	s.giveUpRestored()
	return skipped
}

func appendError(errs []error, err error) []error {
	if err == nil {
		return errs
	}
	return append(errs, err)
}

func (s *Scheduler) restoreJob(r Record) error {
	var rec jobRecord
	if err := decodeRecord(r, &rec); err != nil {
		return err
	}
	if rec.Job == nil {
		j := s.addJob(&Job{ID: r.Key, Queue: Queue{Name: rec.Queue}})
		j.final, j.unsubmitted = rec.Final, rec.Unsubmitted
		j.ended = s.now - Instant(max(s.unixMS-rec.EndedUnixMS, 0))
		s.endedJobs = append(s.endedJobs, j)
		return nil
	}
	j := s.addJob(rec.Job)
	j.restored = true
	j.accepted = s.now - Instant(max(s.unixMS-rec.Job.AcceptedUnixMS, 0))
	return nil
}

func (s *Scheduler) restoreProgress(j *job, r Record) error {
	var p progressRecord
	if err := decodeRecord(r, &p); err != nil {
		return err
	}
	for _, number := range p.Finished {
		j.finished[number] = true
	}
	for i := range p.Steps {
		s.restoreStep(j, &p.Steps[i])
	}
	return nil
}

func (s *Scheduler) restoreStep(j *job, p *stepProgress) {
	o := j.occurrences[p.Occurrence]
	if o == nil {
		o = s.openOccurrence(j, p.Occurrence, j.occurrenceDue(s, p.Occurrence))
	}
	if p.Step >= len(o.steps) {
		return
	}
	st := o.steps[p.Step]
	st.started = p.Started
	j.started = j.started || p.Started
	for _, index := range p.Done {
		if index < len(st.tasks) && !st.tasks[index].done {
			st.tasks[index].done = true
			st.done++
		}
	}
	for _, f := range p.Failed {
		switch {
		case st.def.Gang:
			st.failed = f.Runs
		case f.Index < len(st.tasks):
			st.tasks[f.Index].failed = f.Runs
		}
	}
	s.restoreCrashes(st, p.Crashes, p.OpenCrashes)
	if st.complete() {
		o.left--
	}
}

// occurrenceDue returns when an occurrence was due, on the holder's clock.
func (j *job) occurrenceDue(s *Scheduler, number int) Instant {
	if j.Schedule == nil {
		return j.accepted
	}
	due := j.Schedule.FirstUnixMS + int64(number)*j.Schedule.IntervalMS
	return s.now - Instant(s.unixMS-due)
}

// resumeJob queues the remaining steps of a restored job.
func (s *Scheduler) resumeJob(j *job) {
	for number, o := range j.occurrences {
		j.nextDue = max(j.nextDue, number+1)
		s.queueReady(o)
	}
	switch {
	case j.Schedule != nil:
		j.nextDue = 0
		s.scheduledJobs = append(s.scheduledJobs, j)
	case len(j.occurrences) == 0:
		s.openSteps(j)
	}
}
