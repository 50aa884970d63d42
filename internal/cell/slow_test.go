package cell

import (
	"testing"

	"gotest.tools/v3/assert"
)

// slowRig runs a step of four tasks, one on each of four workers; the fifth worker is
// free. The run on the returned worker advances at a fifth of the speed of the others.
func slowRig(t *testing.T, st Step) (r *rig, slow string) {
	t.Helper()
	r = newRig(t, 5, Resources{CPUMilli: 1000, MemoryMB: 1000})
	st.Tasks, st.EstimateMS, st.Resources = 4, 10000, Resources{CPUMilli: 1000}
	r.submit(oneStep(jobID(1), st))
	assert.Equal(t, len(r.starts), 4)
	slow = r.starts[0].Worker
	for n := range 45 {
		for id, w := range r.workers {
			for i := range w.running {
				w.running[i].Percent = n
				if id == slow {
					w.running[i].Percent = n / 5
				}
			}
		}
		r.advance(100)
	}
	return r, slow
}

// A run of a task with checkpoints must be moved off a slow worker. Otherwise it delays
// its job by several times the usual run time.
func TestRunMovesOffSlowWorker(t *testing.T) {
	r, slow := slowRig(t, Step{Checkpoints: true})
	assert.Equal(t, len(r.stops), 1)
	assert.Equal(t, r.stops[0].Worker, slow)
	assert.Equal(t, len(r.starts), 5)
	assert.Assert(t, r.starts[4].Worker != slow)
}

// A task that allows speculative attempts must get a second attempt instead of waiting
// for a slow worker. The first one to end counts, and the other is stopped.
func TestSlowRunGetsSpeculativeAttempt(t *testing.T) {
	r, slow := slowRig(t, Step{Speculative: true})
	assert.Equal(t, len(r.stops), 0)
	assert.Equal(t, len(r.starts), 5, "one speculative attempt")
	second := r.starts[4]
	assert.Equal(t, second.Task, r.starts[0].Task)
	assert.Assert(t, second.Worker != slow)
	r.endRun(second.Worker, second.Task, second.Run, EndDone)
	r.advance(10)
	assert.Equal(t, len(r.stops), 1)
	assert.Equal(t, r.stops[0].Worker, slow)
	r.advance(10)
	assert.Equal(t, len(r.starts), 5, "the task has ended")
}

// A run of a task that neither saves checkpoints nor allows speculative attempts must
// not be stopped on a slow worker: it would lose all progress.
func TestSlowRunStays(t *testing.T) {
	r, _ := slowRig(t, Step{})
	assert.Equal(t, len(r.stops), 0)
	assert.Equal(t, len(r.starts), 4)
}

// A slow worker must get tasks only when no other worker has capacity, and must be used
// normally again later.
func TestSlowWorkerIsUsedLast(t *testing.T) {
	r, slow := slowRig(t, Step{})
	for _, start := range r.starts[:4] {
		r.endRun(start.Worker, start.Task, start.Run, EndDone)
	}
	r.advance(10)
	small := Step{Tasks: 5, Resources: Resources{CPUMilli: 600}, EstimateMS: 100}
	r.submit(oneStep(jobID(2), small))
	assert.Equal(t, r.starts[len(r.starts)-1].Worker, slow, "used last")
	assert.Assert(t, r.s.workers[slow].speed.isSlow(r.now))
	assert.Assert(t, !r.s.workers[slow].speed.isSlow(r.now+speedRecoveryMS+1))
}
