package cell

import (
	"testing"

	"gotest.tools/v3/assert"
)

// Maintenance must not stop more tasks of a service at once than its MaxUnavailable
// allows.
func TestDrainKeepsServiceAvailable(t *testing.T) {
	r := newRig(t, 2, Resources{CPUMilli: 1000, MemoryMB: 1000})
	r.submit(oneStep(jobID(1), Step{Tasks: 2, Resources: Resources{CPUMilli: 600}, LongRunning: true, MaxUnavailable: 1}))
	assert.Equal(t, len(r.starts), 2)
	for _, w := range r.workers {
		for i := range w.running {
			w.running[i].Percent = 100
		}
	}
	r.advance(10)
	assert.Equal(t, r.s.Drain("w00", false), false)
	assert.Equal(t, len(r.stops), 0)
	r.s.Drain("w00", true)
	r.s.Drain("w01", true)
	r.runActions()
	assert.Equal(t, len(r.stops), 1, "two tasks of the service were stopped at once")
	r.advance(10)
	assert.Equal(t, r.s.Drain(r.stops[0].Worker, true), true)
}

// Fillers must be slowed down at once when a service task on the same worker exceeds
// its latency target, and sped up again in steps.
func TestThrottleFillers(t *testing.T) {
	for _, test := range []struct {
		cpuShare int
		ratio    float64
		want     int
	}{
		{100, 1.2, 0}, {100, 0.9, 50}, {100, 0.7, 100}, {0, 0.7, 0}, {0, 0.5, 20}, {90, 0.1, 100},
	} {
		assert.Equal(t, nextCPUShare(test.cpuShare, test.ratio), test.want)
	}
	r := newRig(t, 1, Resources{CPUMilli: 1000, MemoryMB: 1000})
	r.submit(oneStep(jobID(1), Step{Tasks: 1, Resources: Resources{CPUMilli: 600}, LongRunning: true, TailTargetMS: 100}))
	r.submit(oneStep(jobID(2), Step{Tasks: 1, Resources: Resources{CPUMilli: 9000}, EstimateMS: 100000, Filler: true}))
	assert.Equal(t, len(r.starts), 2)
	r.workers["w00"].running[0].Load = 150
	r.advance(2000)
	r.advance(10)
	assert.Equal(t, len(r.throttles), 1)
	assert.Equal(t, r.throttles[0].Percent, 0)
	r.workers["w00"].running[0].Load = 20
	r.advance(500)
	assert.Equal(t, len(r.throttles), 1, "changed again within the interval")
	r.advance(1000)
	assert.Equal(t, r.throttles[len(r.throttles)-1].Percent, 20)
}

// Runs on a departing worker are lost, and its lease delays placing their tasks again
// by seconds. Runs that cannot end in time must be moved before: at the last moment if
// they have checkpoints, at once otherwise.
func TestEvacuateDepartingWorker(t *testing.T) {
	for _, test := range []struct {
		name        string
		step        Step
		estimate    int64
		movedWithin int64 // ms after the worker starts draining; 0 for never
	}{
		{"can end in time", Step{}, 1000, 0},
		{"cannot end, no checkpoints", Step{}, 9000, 200},
		{"cannot end, checkpoints", Step{Checkpoints: true}, 9000, 2000},
		{"service", Step{LongRunning: true}, 0, 2000},
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
				r.advance(100)
				if test.movedWithin == 0 {
					r.workers[from].running[0].Percent = int(r.now-noticed) / 25 // ends after 2.5 s
				}
			}
			if test.movedWithin == 0 {
				assert.Equal(t, len(r.stops), 0)
				return
			}
			assert.Equal(t, len(r.stops), 1)
			assert.Assert(t, int64(r.now-noticed) <= test.movedWithin, "moved after %d ms", r.now-noticed)
			r.advance(100)
			assert.Equal(t, len(r.starts), 2)
			assert.Assert(t, r.starts[1].Worker != from)
		})
	}
}

// A worker that was drained before the holder died runs nothing. When the next holder
// waited for it, restored jobs were placed 8 s late.
func TestTakeoverDoesNotWaitForDrainedWorkers(t *testing.T) {
	r := newRig(t, 2, Resources{CPUMilli: 1000, MemoryMB: 1000})
	r.infos[0].Draining = true
	r.s.SetWorkers(r.infos)
	r.advance(checkIntervalMS)
	r.infos = r.infos[1:]
	r.takeOver(2)
	assert.Assert(t, r.s.Settled())
}

// Guards against maintenance that ends the runs of an earlier holder on a worker that has not been listed yet.
func TestDrainWaitsForFirstListing(t *testing.T) {
	r := newRig(t, 1, Resources{CPUMilli: 1000, MemoryMB: 1000})
	r.submit(oneStep(jobID(1), Step{Tasks: 1, Resources: Resources{CPUMilli: 1000}, EstimateMS: 1000}))
	r.workers["w00"].unreachable = true
	registered := r.infos
	r.infos = nil
	r.takeOver(2)
	assert.Equal(t, r.s.Drain("w00", true), false, "the registry does not name the worker")
	r.infos = registered
	r.s.SetWorkers(r.infos)
	assert.Equal(t, r.s.Drain("w00", true), false, "the worker is silent")
	r.workers["w00"].unreachable = false
	r.advance(10)
	assert.Equal(t, r.s.Drain("w00", true), false, "the run is being stopped")
	r.runActions()
	r.advance(10)
	assert.Equal(t, r.s.Drain("w00", true), true)
}

// Guards against tasks that are started on a worker whose VM has just been taken down for its maintenance, and wait for its lease.
func TestWorkerTakenDownGetsNoTasks(t *testing.T) {
	r := newRig(t, 1, Resources{CPUMilli: 1000, MemoryMB: 1000})
	r.advance(10)
	assert.Assert(t, r.s.Drain("w00", false))
	r.workers["w00"].unreachable = true // its VM is down, which no renewal has shown yet
	r.s.Undrain("w00")
	r.submit(oneStep(jobID(1), Step{Tasks: 1, Resources: Resources{CPUMilli: 1000}, EstimateMS: 1000}))
	r.advance(100)
	assert.Equal(t, len(r.starts), 0)
	r.workers["w00"].unreachable, r.workers["w00"].incarnation = false, 1
	r.advance(100)
	r.advance(100)
	assert.Equal(t, len(r.starts), 1, "the next life gets tasks")
}
