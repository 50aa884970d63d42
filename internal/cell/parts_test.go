package cell

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"strings"
	"testing"

	"gotest.tools/v3/assert"
)

// acceptedRecordBytes is the size of the largest record that the log accepts.
const acceptedRecordBytes = 256 << 10

// checkRecords fails the test if the log holds a record that is too large.
func (r *rig) checkRecords() {
	r.t.Helper()
	for key, value := range r.log {
		assert.Assert(r.t, len(key)+len(value) <= maxPartBytes, "the record %s has %d bytes", key, len(value))
	}
	assert.Assert(r.t, 2*maxPartBytes <= acceptedRecordBytes)
}

// progressKeys returns the keys of a job's progress in the log, sorted.
func (r *rig) progressKeys(id string) (keys []string) {
	for key := range r.log {
		if strings.HasPrefix(key, id+progressSuffix) {
			keys = append(keys, key)
		}
	}
	slices.Sort(keys)
	return keys
}

// tasksStartedOnce returns the tasks that were started, and fails the test if a task was
// started twice.
func (r *rig) tasksStartedOnce() map[TaskID]bool {
	r.t.Helper()
	started := map[TaskID]bool{}
	for _, s := range r.starts {
		assert.Assert(r.t, !started[s.Task], "%s was started twice", s.Task)
		started[s.Task] = true
	}
	return started
}

// timedJob is a job of which the given number of occurrences is due.
func (r *rig) timedJob(occurrences int, st Step) Job {
	job := oneStep(jobID(1), st)
	job.Schedule = &Schedule{Occurrences: occurrences, IntervalMS: 10, FirstUnixMS: r.unixMS - int64(occurrences)*10}
	return job
}

// Guards against a progress record that outgrows the log by the number of occurrences that have begun or are completed.
func TestProgressOfManyOccurrencesFitsIntoRecords(t *testing.T) {
	const occurrences = 4 * maxOpenTasks
	r := newRig(t, 1, Resources{CPUMilli: 1000, MemoryMB: 1000})
	r.submit(r.timedJob(occurrences, Step{Tasks: 1, EstimateMS: 1000}))
	random := rand.New(rand.NewPCG(1, 1))
	w := r.workers["w00"]
	for term := uint32(2); r.state(jobID(1)) != Completed; term++ {
		for range maxOpenTasks/maxOpenedPerPass + 1 {
			r.advance(10)
		}
		r.checkRecords()
		assert.Equal(t, len(w.running), min(maxOpenTasks, occurrences-r.s.jobs[jobID(1)].finished.count))
		random.Shuffle(len(w.running), func(i, j int) { w.running[i], w.running[j] = w.running[j], w.running[i] })
		for _, run := range w.running[len(w.running)/2:] {
			w.number++
			w.ended = append(w.ended, EndedTask{Number: w.number, Task: run.Task, Run: run.Run, Kind: EndDone})
		}
		w.running = w.running[:len(w.running)/2]
		r.advance(10)
		r.checkRecords()
		if term%2 == 0 {
			r.takeOver(term)
		}
	}
	assert.Equal(t, len(r.tasksStartedOnce()), occurrences)
	assert.Equal(t, len(r.progressKeys(jobID(1))), 0, "the progress outlives the job")
}

// Guards against progress, in the log or in memory, that grows with the time that a job runs once a minute.
func TestProgressOfOccurrencesInOrderStaysSmall(t *testing.T) {
	const hours, perHour = 365 * 24, 60
	r := newRig(t, 1, Resources{CPUMilli: 1000, MemoryMB: 1000})
	job := oneStep(jobID(1), Step{Tasks: 1, EstimateMS: 1000})
	job.Schedule = &Schedule{Occurrences: hours * perHour, IntervalMS: 60_000, FirstUnixMS: r.unixMS + 60_000}
	r.submit(job)
	started := 0
	for hour := range hours {
		r.advance(perHour * 60_000)
		started += len(r.starts)
		r.starts = r.starts[:0]
		r.endAll(EndDone)
		if hour%1000 == 999 {
			r.takeOver(uint32(hour))
		}
		if hour%100 == 0 {
			r.checkRecords()
			assert.Assert(t, len(r.progressKeys(job.ID)) <= 2, "records: %v", r.progressKeys(job.ID))
			j := r.s.jobs[job.ID]
			assert.Assert(t, len(j.occurrences) == 0 && len(j.finished.ranges) == 1, "%d open, %d ranges", len(j.occurrences), len(j.finished.ranges))
		}
	}
	assert.Equal(t, r.state(job.ID), Completed)
	assert.Equal(t, started, hours*perHour)
}

// Guards against a progress record that outgrows the log by the width of the steps and by failed runs.
func TestProgressOfWideStepsFitsIntoRecords(t *testing.T) {
	r := newRig(t, 1, Resources{CPUMilli: 1000, MemoryMB: 1000})
	job := Job{ID: jobID(1), Queue: Queue{Name: "q", Service: "svc", MaxAttempts: 30, SlackFactor: 2, TargetLatencyMS: 1000}}
	for range MaxSteps {
		job.Steps = append(job.Steps, Step{Tasks: MaxTasksPerStep, EstimateMS: 1000})
	}
	r.submit(job)
	w := r.workers["w00"]
	for round := range 3 {
		for i, run := range w.running {
			kind := EndFailed
			if i%3 == round {
				kind = EndDone
			}
			w.number++
			w.ended = append(w.ended, EndedTask{Number: w.number, Task: run.Task, Run: run.Run, Kind: kind})
		}
		w.running = nil
		r.advance(10)
		r.checkRecords()
		r.takeOver(uint32(2 + round))
		r.advance(10)
	}
	done := map[TaskID]bool{}
	for _, run := range w.running {
		assert.Assert(t, !done[run.Task], "%s runs twice", run.Task)
		done[run.Task] = true
		w.number++
		w.ended = append(w.ended, EndedTask{Number: w.number, Task: run.Task, Run: run.Run, Kind: EndDone})
	}
	w.running = nil
	r.advance(10)
	assert.Equal(t, r.state(jobID(1)), Completed)
	assert.Equal(t, len(r.progressKeys(jobID(1))), 0)
}

// Guards against occurrences that run again during an update, because a holder of an earlier version does not read FinishedBelow.
func TestPartZeroNamesAllCompletedOccurrencesOfASmallJob(t *testing.T) {
	const occurrences = 100
	r := newRig(t, 1, Resources{CPUMilli: 1000, MemoryMB: 1000})
	r.submit(r.timedJob(occurrences, Step{Tasks: 2, EstimateMS: 1000}))
	w := r.workers["w00"]
	w.running = slices.DeleteFunc(w.running, func(run RunningTask) bool {
		if run.Task.Occurrence == occurrences-1 {
			return false
		}
		w.number++
		w.ended = append(w.ended, EndedTask{Number: w.number, Task: run.Task, Run: run.Run, Kind: EndDone})
		return true
	})
	r.advance(10)
	assert.DeepEqual(t, r.progressKeys(jobID(1)), []string{jobID(1) + progressSuffix})
	var stored progressRecord
	assert.NilError(t, decodeRecord(Record{Key: jobID(1), Value: r.log[jobID(1)+progressSuffix]}, &stored))
	assert.Equal(t, len(stored.Finished), occurrences-1)
}

// Guards against tasks that run again because their progress is in the single record of an earlier version, also half divided.
func TestProgressInOneRecordIsRestored(t *testing.T) {
	const occurrences = 3000
	for _, stored := range []int{0, 1, 3, 100} {
		t.Run(fmt.Sprintf("%d records stored", stored), func(t *testing.T) {
			r := newRig(t, 1, Resources{CPUMilli: 1000, MemoryMB: 1000})
			job := r.timedJob(occurrences, Step{Tasks: 2, Resources: Resources{CPUMilli: 1}, EstimateMS: 1000})
			job.Queue = Queue{Name: "q", Service: "svc", MaxAttempts: 4, SlackFactor: 2, TargetLatencyMS: 1000}
			old := progressRecord{}
			for n := range occurrences {
				if n%2 == 0 {
					old.Finished = append(old.Finished, n)
				} else {
					old.Steps = append(old.Steps, stepProgress{Occurrence: n, Started: true, Done: []int{1}})
				}
			}
			r.log[job.ID] = encode(jobRecord{Job: &job})
			r.log[job.ID+progressSuffix] = encode(old)
			var records []Record
			for key, value := range r.log {
				records = append(records, Record{key, value})
			}
			s := New(Config{Term: 1})
			s.Tick(r.now, r.unixMS)
			assert.Equal(t, len(s.Restore(records)), 0)
			for _, a := range s.Actions() {
				if p, ok := a.(Persist); ok && strings.HasPrefix(p.Key, job.ID) && stored > 0 {
					stored--
					r.perform(p)
				}
			}
			r.takeOver(3)
			for range 10 {
				r.advance(1000)
				r.endAll(EndDone)
			}
			assert.Equal(t, r.state(job.ID), Completed)
			started := r.tasksStartedOnce()
			assert.Equal(t, len(started), occurrences/2)
			for id := range started {
				assert.Assert(t, id.Occurrence%2 == 1 && id.Index == 0, "%s was done", id)
			}
			assert.Equal(t, len(r.progressKeys(job.ID)), 0)
		})
	}
}

// endAll ends all runs on all workers.
func (r *rig) endAll(kind EndKind) {
	for _, w := range r.workers {
		for _, run := range w.running {
			w.number++
			w.ended = append(w.ended, EndedTask{Number: w.number, Task: run.Task, Run: run.Run, Kind: kind})
		}
		w.running = nil
	}
	r.advance(10)
}

// Guards against sizes of tasks in a part that do not cover the largest progress.
func TestPartOfLargestProgressFits(t *testing.T) {
	for _, attempts := range []int{0, 1, 4, 100, 5000} {
		r := newRig(t, 1, Resources{CPUMilli: 1000, MemoryMB: 1000})
		job := Job{ID: jobID(1), Queue: Queue{Name: "q", Service: "svc", MaxAttempts: attempts, SlackFactor: 2}}
		job.Schedule = &Schedule{Occurrences: 1 << 31, FirstUnixMS: r.unixMS + 1000, IntervalMS: 1}
		job.Steps = []Step{{Tasks: 1}, {Tasks: 2}, {Tasks: 1, Gang: true}, {Tasks: MaxTasksPerStep}}
		r.submit(job)
		j := r.s.jobs[job.ID]
		runs := make([]uint32, attempts)
		for i := range runs {
			runs[i] = 1<<32 - 1 - uint32(i)
		}
		for n := 1<<31 - 300; n < 1<<31; n++ {
			o := r.s.openOccurrence(j, n, 0)
			for _, st := range o.steps {
				st.started = true
				for _, task := range st.tasks {
					task.done = n%2 == 0
					if st.def.Gang {
						st.failed = runs
					} else {
						task.failed = runs
					}
					task.crashes = crashes{total: 1 << 20, early: 1 << 20, suspected: true}
					task.openCrashes = make([]openCrash, maxCrashes)
					for i := range task.openCrashes {
						task.openCrashes[i] = openCrash{Run: 1<<32 - 1, Early: true}
					}
				}
			}
			if n%3 == 0 {
				j.finished.add(n)
			}
		}
		first, last := j.partOf(1<<31-300, 0, 0), j.partOf(1<<31-1, 3, MaxTasksPerStep-1)
		for part := first; part <= last; part += 1 + (last-first)/300 {
			record, _ := j.part(part)
			assert.Assert(t, len(encode(record)) <= maxPartBytes, "%d attempts: %d bytes in part %d", attempts, len(encode(record)), part)
		}
	}
}
