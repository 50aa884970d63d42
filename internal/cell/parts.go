package cell

import (
	"maps"
	"slices"
	"strconv"
	"strings"
)

// This file divides the progress of a job into parts with a record each, because the log
// limits the size of a record and a job may have any number of occurrences. The tasks of all
// occurrences are numbered in order; a part is a range of them, so a task is in the same
// part for every holder.

// maxPartBytes is the maximum size of the record of a part, in bytes. It is a quarter of what
// the log accepts: each change of a task writes the whole part.
const maxPartBytes = 64 << 10

// Sizes from which the number of tasks in a part is computed, in bytes.
const (
	// taskPartBytes is what a task takes in a part at most, without its failed runs: an entry
	// of its own for the step and for the occurrence, and maxCrashes open crashes.
	taskPartBytes = 128
	// failedRunBytes is what a failed run takes at most.
	failedRunBytes = 5
)

// tasksPerPart returns the number of consecutive tasks in a part.
func (j *job) tasksPerPart() int {
	failedRuns := min(max(j.Queue.MaxAttempts, 0), maxPartBytes)
	return max(maxPartBytes/(taskPartBytes+failedRunBytes*failedRuns), 1)
}

// stepOffsets returns the number of tasks before each step of an occurrence and, as the last
// element, the number of all tasks.
func stepOffsets(steps []Step) []int {
	offsets := make([]int, 1, len(steps)+1)
	for i := range steps {
		offsets = append(offsets, offsets[i]+steps[i].Tasks)
	}
	return offsets
}

// tasksPerOccurrence returns the number of tasks of an occurrence.
func (j *job) tasksPerOccurrence() int { return j.offsets[len(j.offsets)-1] }

// partOf returns the number of the part that holds a task.
func (j *job) partOf(occurrence, step, index int) int {
	return (occurrence*j.tasksPerOccurrence() + j.offsets[step] + index) / j.tasksPerPart()
}

// part returns the content of a part, and whether there is any.
func (j *job) part(number int) (r progressRecord, nonEmpty bool) {
	perOccurrence := j.tasksPerOccurrence()
	first := number * j.tasksPerPart()
	end := first + j.tasksPerPart()
	from, last := first/perOccurrence, (end-1)/perOccurrence
	if number == 0 {
		r.FinishedBelow = j.finished.firstMissing()
	}
	for occurrence := from; occurrence <= min(last, j.lastOccurrence()); occurrence++ {
		if j.finished.has(occurrence) {
			if j.partOf(occurrence, 0, 0) == number {
				r.Finished = append(r.Finished, occurrence)
			}
			continue
		}
		o := j.occurrences[occurrence]
		if o == nil {
			continue
		}
		for _, st := range o.steps {
			offset := occurrence*perOccurrence + j.offsets[st.index]
			begin, stop := max(first-offset, 0), min(end-offset, len(st.tasks))
			if begin >= stop {
				continue
			}
			if p, started := st.progress(begin, stop); started {
				r.Steps = append(r.Steps, p)
			}
		}
	}
	return r, len(r.Steps) > 0 || len(r.Finished) > 0 || r.FinishedBelow > 0
}

// lastOccurrence returns the number of the job's last occurrence.
func (j *job) lastOccurrence() int {
	if j.Schedule == nil {
		return 0
	}
	return j.Schedule.Occurrences - 1
}

// progressKey returns the key of a part.
func progressKey(jobID string, part int) string {
	if part == 0 {
		return jobID + progressSuffix
	}
	return jobID + progressSuffix + "." + strconv.Itoa(part)
}

// parseProgressKey returns the job and the part that a key is for, or false if it is not the
// key of a part.
func parseProgressKey(key string) (jobID string, part int, ok bool) {
	jobID, rest, found := strings.Cut(key, progressSuffix)
	if !found || rest == "" {
		return jobID, 0, found
	}
	part, err := strconv.Atoi(strings.TrimPrefix(rest, "."))
	return jobID, part, err == nil && part > 0 && progressKey(jobID, part) == key
}

// markDirty has the part with a task of the step written.
func (s *Scheduler) markDirty(st *step, index int) {
	j := st.job
	if j.final != "" {
		return
	}
	j.markPart(j.partOf(st.occ.number, st.index, index))
	if !j.dirty {
		j.dirty = true
		s.dirty = append(s.dirty, j)
	}
}

// markPart marks a part as changed.
func (j *job) markPart(number int) {
	if j.changedParts == nil {
		j.changedParts = map[int]bool{}
	}
	j.changedParts[number] = true
}

// markOccurrence marks all parts with tasks of an occurrence as changed.
func (j *job) markOccurrence(number int) {
	last := len(j.Steps) - 1
	for part := j.partOf(number, 0, 0); part <= j.partOf(number, last, j.Steps[last].Tasks-1); part++ {
		j.markPart(part)
	}
}

// writeProgress persists the parts that have changed.
func (s *Scheduler) writeProgress() {
	for _, j := range s.dirty {
		if j.dirty {
			j.dirty = false
			s.writeParts(j)
		}
	}
	s.dirty = s.dirty[:0]
	for _, e := range s.newEnds {
		e.seq = e.job.recordSeq
	}
	s.newEnds = s.newEnds[:0]
}

// writeParts persists the changed parts of a job in ascending order: the part that names an
// occurrence as completed before other parts that lose the progress of its tasks. Parts in
// which all occurrences are completed are dropped; part 0, which names all of these, is
// written before.
func (s *Scheduler) writeParts(j *job) {
	completed := j.completedParts()
	if len(completed) > 0 {
		j.markPart(0)
	}
	for _, number := range completed {
		delete(j.changedParts, number)
	}
	s.persistParts(j, slices.Sorted(maps.Keys(j.changedParts)))
	for _, number := range completed {
		s.dropPart(j, number)
	}
	j.changedParts = nil
}

// completedParts returns the stored parts other than 0 with tasks of occurrences only below
// which all are completed, in ascending order.
func (j *job) completedParts() (numbers []int) {
	if j.Schedule == nil {
		return nil
	}
	first := j.partOf(j.finished.firstMissing(), 0, 0)
	for number := range j.storedParts {
		if number > 0 && number < first {
			numbers = append(numbers, number)
		}
	}
	slices.Sort(numbers)
	return numbers
}

// persistParts persists parts in the given order. An empty one is dropped if it is stored.
func (s *Scheduler) persistParts(j *job, numbers []int) {
	for _, number := range numbers {
		r, nonEmpty := j.part(number)
		switch {
		case nonEmpty:
			j.recordSeq = s.persist(progressKey(j.ID, number), encode(r))
			if j.storedParts == nil {
				j.storedParts = map[int]bool{}
			}
			j.storedParts[number] = true
		case j.storedParts[number]:
			s.dropPart(j, number)
		}
	}
}

// dropPart drops the record of a part.
func (s *Scheduler) dropPart(j *job, number int) {
	s.persist(progressKey(j.ID, number), nil)
	delete(j.storedParts, number)
}

// dropParts drops the records of all parts.
func (s *Scheduler) dropParts(j *job) {
	for _, number := range slices.Sorted(maps.Keys(j.storedParts)) {
		s.dropPart(j, number)
	}
}

// belongsTo reports whether a part holds all tasks that a step's progress is about.
func (p *stepProgress) belongsTo(j *job, part int) bool {
	holds := func(index int) bool { return j.partOf(p.Occurrence, p.Step, index) == part }
	for _, index := range p.Done {
		if !holds(index) {
			return false
		}
	}
	for _, f := range p.Failed {
		if !holds(f.Index) {
			return false
		}
	}
	for _, c := range p.Crashes {
		if !holds(c.Index) {
			return false
		}
	}
	return !p.Started || holds(0)
}

// divideRestored persists all parts of a restored job that are not stored as they are now:
// earlier versions stored all progress in part 0. That part is written last, so that the log
// always holds the whole progress.
func (s *Scheduler) divideRestored(j *job) {
	for number, o := range j.occurrences {
		if o != nil {
			j.markOccurrence(number)
		}
	}
	for _, r := range j.finished.ranges {
		for part := j.partOf(r.from, 0, 0); part <= j.partOf(r.to-1, 0, 0); part++ {
			j.markPart(part)
		}
	}
	for number := range j.storedParts {
		j.markPart(number)
	}
	numbers := slices.Sorted(maps.Keys(j.changedParts))
	slices.Reverse(numbers)
	s.persistParts(j, numbers)
	j.changedParts = nil
}
