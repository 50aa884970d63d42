package cell

import (
	"testing"

	"gotest.tools/v3/assert"
)

// The upkeep of machines must not take more tasks of a service away at once than
// the service allows.
func TestDrainKeepsServiceAvailable(t *testing.T) {
	r := newRig(t, 2, Resources{CPUMilli: 1000, MemoryMB: 1000})
	r.submit(oneStep(jobID(1), Step{Tasks: 2, Resources: Resources{CPUMilli: 600}, Service: true, MaxUnavailable: 1}))
	assert.Equal(t, len(r.starts), 2)
	for _, w := range r.workers {
		for i := range w.running {
			w.running[i].Percent = 100
		}
	}
	r.pass(10)
	assert.Equal(t, r.s.Drain("w00", false), false)
	assert.Equal(t, len(r.stops), 0)
	r.s.Drain("w00", true)
	r.s.Drain("w01", true)
	r.turn()
	assert.Equal(t, len(r.stops), 1, "two tasks were taken away at once")
	r.pass(10)
	assert.Equal(t, r.s.Drain(r.stops[0].Worker, true), true)
}

// Fillers must give way at once when a service task beside them is over its
// target, and come back in steps.
func TestPaceFillers(t *testing.T) {
	for _, test := range []struct {
		pace  int
		share float64
		want  int
	}{
		{100, 1.2, 0}, {100, 0.9, 50}, {100, 0.7, 100}, {0, 0.7, 0}, {0, 0.5, 20}, {90, 0.1, 100},
	} {
		assert.Equal(t, nextPace(test.pace, test.share), test.want)
	}
	r := newRig(t, 1, Resources{CPUMilli: 1000, MemoryMB: 1000})
	r.submit(oneStep(jobID(1), Step{Tasks: 1, Resources: Resources{CPUMilli: 600}, Service: true, TailTargetMS: 100}))
	r.submit(oneStep(jobID(2), Step{Tasks: 1, Resources: Resources{CPUMilli: 9000}, EstimateMS: 100000, Filler: true}))
	assert.Equal(t, len(r.starts), 2)
	r.workers["w00"].running[0].Load = 150
	r.pass(2000)
	r.pass(10)
	assert.Equal(t, len(r.paces), 1)
	assert.Equal(t, r.paces[0].Percent, 0)
	r.workers["w00"].running[0].Load = 20
	r.pass(500)
	assert.Equal(t, len(r.paces), 1, "changed again within the interval")
	r.pass(1000)
	assert.Equal(t, r.paces[len(r.paces)-1].Percent, 20)
}

// A worker that leaves takes its runs with it, and its lease keeps their tasks from
// being placed again for seconds. Runs that cannot end in time are moved before: at
// the last moment if they save their work, at once otherwise.
func TestEvacuateWorkerThatLeaves(t *testing.T) {
	for _, test := range []struct {
		name     string
		step     Step
		estimate int64
		movesBy  int64 // ms after the notice; 0 for never
	}{
		{"ends in time", Step{}, 1000, 0},
		{"cannot end, saves nothing", Step{}, 9000, 200},
		{"cannot end, saves its work", Step{Checkpoints: true}, 9000, 2000},
		{"service", Step{Service: true}, 0, 2000},
	} {
		t.Run(test.name, func(t *testing.T) {
			r := newRig(t, 2, Resources{CPUMilli: 1000, MemoryMB: 1000})
			test.step.Tasks, test.step.EstimateMS = 1, test.estimate
			test.step.Resources = Resources{CPUMilli: 600}
			r.submit(oneStep(jobID(1), test.step))
			from := r.starts[0].Worker
			noticed := r.now
			for i := range r.infos {
				if r.infos[i].ID == from {
					r.infos[i].Draining, r.infos[i].LeavesInMS = true, 3000
				}
			}
			r.s.SetWorkers(r.infos)
			for len(r.stops) == 0 && r.now < noticed+2400 {
				r.pass(100)
				if test.movesBy == 0 {
					r.workers[from].running[0].Percent = int(r.now-noticed) / 25 // ends after 2.5 s
				}
			}
			if test.movesBy == 0 {
				assert.Equal(t, len(r.stops), 0)
				return
			}
			assert.Equal(t, len(r.stops), 1)
			assert.Assert(t, int64(r.now-noticed) <= test.movesBy, "moved after %d ms", r.now-noticed)
			r.pass(100)
			assert.Equal(t, len(r.starts), 2)
			assert.Assert(t, r.starts[1].Worker != from)
		})
	}
}

// A worker that drained before the holder died runs nothing. The next holder must not
// wait for it: restored jobs were placed 8 s late.
func TestTakeoverDoesNotWaitForDrainedWorkers(t *testing.T) {
	r := newRig(t, 2, Resources{CPUMilli: 1000, MemoryMB: 1000})
	r.infos[0].Draining = true
	r.s.SetWorkers(r.infos)
	r.pass(checkIntervalMS)
	r.infos = r.infos[1:]
	r.takeOver(2)
	assert.Assert(t, r.s.Settled())
}
