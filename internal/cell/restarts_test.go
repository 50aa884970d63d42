package cell

import (
	"testing"

	"gotest.tools/v3/assert"
)

// Guards against a failing service that is started again without a pause, on the same worker.
func TestFailingServiceIsRestartedWithDelays(t *testing.T) {
	r := newRig(t, 3, Resources{CPUMilli: 8000, MemoryMB: 8000})
	r.advance(10)
	r.submit(oneStep(jobID(1), Step{Tasks: 1, Resources: Resources{CPUMilli: 1000}, LongRunning: true}))
	for want := range 8 {
		assert.Equal(t, len(r.starts), want+1)
		last := r.starts[want]
		r.endRun(last.Worker, last.Task, last.Run, EndFailed)
		ended := r.now
		for len(r.starts) == want+1 && r.now-ended < 20_000 {
			r.advance(10)
		}
		waited := r.now - ended
		delay := restartDelay(want + 1)
		assert.Assert(t, waited >= delay && waited <= delay+2*searchIntervalMS, "restart %d after %d ms", want+1, waited)
		assert.Assert(t, r.starts[want+1].Worker != last.Worker, "on the same worker")
	}
	// A steady run ends the row of restarts.
	r.advance(steadyRunMS)
	last := r.starts[len(r.starts)-1]
	r.endRun(last.Worker, last.Task, last.Run, EndFailed)
	r.advance(10)
	assert.Equal(t, len(r.starts), 10)
}

// Guards against delays that do not grow or exceed their maximum.
func TestRestartDelay(t *testing.T) {
	for n, want := range map[int]Instant{1: 0, 2: 250, 3: 500, 6: 4000, 7: 4000, 1 << 30: 4000} {
		assert.Equal(t, restartDelay(n), want, "restart %d", n)
	}
}
