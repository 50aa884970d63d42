package cell

import (
	"cmp"
	"slices"
)

// Restore loads the records that earlier holders wrote. It must be called before any
// other event except Tick. Records that cannot be decoded are skipped and their errors
// are returned.
func (s *Scheduler) Restore(records []Record) (skipped []error) {
	var parts []storedPart
	for _, r := range records {
		id, number, isPart := parseProgressKey(r.Key)
		switch {
		case r.Key == rosterKey:
			err := s.restoreRoster(r)
			s.rosterLost = s.rosterLost || err != nil
			skipped = appendError(skipped, err)
		case isPart:
			parts = append(parts, storedPart{id, number, r})
		default:
			skipped = appendError(skipped, s.restoreJob(r))
		}
	}
	skipped = append(skipped, s.restoreProgress(parts, len(skipped) > 0)...)
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
		j := s.addJob(&Job{ID: r.Key, Queue: Queue{Name: rec.Queue}, Workspace: rec.Workspace})
		j.final, j.unsubmitted, j.keyless = rec.Final, rec.Unsubmitted, rec.Keyless
		j.restored, j.stopping = true, rec.Stopping
		j.ended = s.now - Instant(max(s.unixMS-rec.EndedUnixMS, 0))
		s.endedJobs = append(s.endedJobs, j)
		return nil
	}
	j := s.addJob(rec.Job)
	j.restored = true
	j.accepted = s.now - Instant(max(s.unixMS-rec.Job.AcceptedUnixMS, 0))
	return nil
}

// storedPart is the record of a part of a job's progress.
type storedPart struct {
	jobID  string
	number int
	record Record
}

// restoreProgress restores the parts of the progress of all jobs. Undecodable is set if there
// may be jobs whose record cannot be decoded.
func (s *Scheduler) restoreProgress(parts []storedPart, undecodable bool) (skipped []error) {
	// While the progress in the single record of an earlier version is being divided, part 0
	// may hold older values than the other parts, which replace them.
	slices.SortFunc(parts, func(a, b storedPart) int { return cmp.Compare(a.number, b.number) })
	restored := map[*job][]storedPart{}
	for _, p := range parts {
		j := s.jobs[p.jobID]
		switch {
		case j != nil && j.final == "":
			restored[j] = append(restored[j], p)
		case j != nil || !undecodable:
			// The holder that dropped it ended before the drop was stored. A job that is
			// submitted under the same ID must not resume from it.
			s.persist(p.record.Key, nil)
		}
	}
	for j, stored := range restored {
		skipped = append(skipped, s.restoreParts(j, stored)...)
	}
	return skipped
}

// restoreParts restores the progress of a job, and divides it if the parts hold other tasks
// than they should.
func (s *Scheduler) restoreParts(j *job, parts []storedPart) (skipped []error) {
	divided := true
	decoded := make([]progressRecord, len(parts))
	j.storedParts = map[int]bool{}
	for i, p := range parts {
		j.storedParts[p.number] = true
		if err := decodeRecord(p.record, &decoded[i]); err != nil {
			skipped = append(skipped, err)
			continue
		}
		j.finished.addRange(0, decoded[i].FinishedBelow)
		for _, number := range decoded[i].Finished {
			j.finished.add(number)
			divided = divided && j.partOf(number, 0, 0) == p.number
		}
	}
	for i, p := range parts {
		for k := range decoded[i].Steps {
			st := &decoded[i].Steps[k]
			if st.isOf(j) && !j.finished.has(st.Occurrence) {
				s.restoreStep(j, st)
				divided = divided && st.belongsTo(j, p.number)
			}
		}
	}
	if !divided {
		s.divideRestored(j)
	}
	return skipped
}

// isOf reports whether the job has the step.
func (p *stepProgress) isOf(j *job) bool {
	return p.Occurrence >= 0 && p.Occurrence <= j.lastOccurrence() && p.Step >= 0 && p.Step < len(j.Steps)
}

func (s *Scheduler) restoreStep(j *job, p *stepProgress) {
	o := j.occurrences[p.Occurrence]
	if o == nil {
		o = s.openOccurrence(j, p.Occurrence, j.occurrenceDue(s, p.Occurrence))
	}
	st := o.steps[p.Step]
	wasComplete := st.complete()
	st.started = st.started || p.Started
	j.started = j.started || p.Started
	for _, index := range p.Done {
		if index >= 0 && index < len(st.tasks) && !st.tasks[index].done {
			st.restoreDone(index)
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
	if st.complete() && !wasComplete {
		o.left--
	}
}

// restoreDone marks a task as done. An older record may have named it as suspected.
func (s *step) restoreDone(index int) {
	t := s.tasks[index]
	t.done = true
	s.done++
	if t.crashes.suspected {
		t.crashes.suspected = false
		s.suspects--
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
