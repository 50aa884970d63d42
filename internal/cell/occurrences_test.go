package cell

import (
	"testing"

	"gotest.tools/v3/assert"
)

// Guards against a job that takes the memory of its holder, or a whole pass, by the number of its occurrences that are due.
func TestDueOccurrencesAreOpenedInTurns(t *testing.T) {
	for _, tasks := range []int{1, 300, maxOpenTasks + 1} {
		r := newRig(t, 1, Resources{CPUMilli: 1000, MemoryMB: 1000})
		steps := []Step{}
		for left := tasks; left > 0; left -= MaxTasksPerStep {
			steps = append(steps, Step{Tasks: min(left, MaxTasksPerStep), EstimateMS: 1000})
		}
		occurrences := 3*max(maxOpenTasks/tasks, 1) + 1
		job := Job{ID: jobID(1), Steps: steps, Queue: Queue{Name: "q", Service: "svc", MaxAttempts: 4, SlackFactor: 2, TargetLatencyMS: 1000}}
		job.Schedule = &Schedule{Occurrences: occurrences, IntervalMS: 10, FirstUnixMS: r.unixMS - int64(occurrences)*10}
		spec := job
		r.s.Submit(&spec)
		j := r.s.jobs[job.ID]
		assert.Assert(t, len(j.occurrences) <= maxOpenedPerPass, "%d tasks: one pass opens %d occurrences", tasks, len(j.occurrences))
		started := 0
		for round := 0; r.state(job.ID) != Completed; round++ {
			for range maxOpenTasks/maxOpenedPerPass + 1 {
				r.advance(10)
			}
			open := len(j.occurrences)
			assert.Assert(t, open == 1 || open*tasks <= maxOpenTasks, "%d tasks: %d occurrences are open", tasks, open)
			for _, s := range r.starts {
				assert.Assert(t, s.Task.Occurrence < j.finished.count+open, "%d tasks: %s is not among the oldest", tasks, s.Task)
			}
			started += len(r.starts)
			r.starts = nil
			r.endAll(EndDone)
			assert.Assert(t, round < 10, "%d tasks: %d of %d have started", tasks, started, occurrences*tasks)
		}
		assert.Equal(t, started+len(r.starts), occurrences*tasks)
	}
}
