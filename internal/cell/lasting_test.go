package cell

import (
	"testing"

	"gotest.tools/v3/assert"
)

// Guards against a gang that does not fit beside services, whose tasks do not end, and reserves the capacity of all other jobs.
func TestGangReservesNothingBesideServices(t *testing.T) {
	r := newRig(t, 2, Resources{CPUMilli: 1000, MemoryMB: 1000})
	service := oneStep(jobID(1), Step{Tasks: 2, Resources: Resources{CPUMilli: 100}, EstimateMS: 500, LongRunning: true, MaxPerWorker: 1})
	r.submit(service)
	assert.Equal(t, len(r.starts), 2)
	for i := range r.workers {
		r.workers[i].running[0].Percent = servingPercent
	}
	r.advance(5000)
	r.submit(oneStep(jobID(2), Step{Tasks: wideGangTasks, Resources: Resources{CPUMilli: 475}, EstimateMS: 60_000, Gang: true}))
	r.advance(planReuseMS)
	for n := range 4 {
		r.submit(oneStep(jobID(3+n), Step{Tasks: 1, Resources: Resources{CPUMilli: 400}, EstimateMS: 10_000}))
	}
	assert.Equal(t, len(r.starts), 6, "the gang has reserved what it cannot use")
	r.s.Cancel(service.ID, Caller{})
	for range 10 {
		r.advance(searchIntervalMS)
		r.endAll(EndDone)
	}
	assert.Equal(t, len(r.starts), 6+wideGangTasks, "the gang must start when the service has ended")
	assert.Equal(t, r.state(jobID(2)), Completed)
}

// Guards against a gang that reserves nothing although it fits beside the services once other tasks have ended.
func TestGangReservesCapacityBesideServices(t *testing.T) {
	r := newRig(t, 2, Resources{CPUMilli: 1000, MemoryMB: 1000})
	r.submit(oneStep(jobID(1), Step{Tasks: 2, Resources: Resources{CPUMilli: 100}, EstimateMS: 500, LongRunning: true, MaxPerWorker: 1}))
	r.submit(oneStep(jobID(2), Step{Tasks: 1, Resources: Resources{CPUMilli: 900}, EstimateMS: 2000}))
	r.advance(1000)
	r.submit(oneStep(jobID(3), Step{Tasks: 2, Resources: Resources{CPUMilli: 900}, EstimateMS: 1000, Gang: true}))
	r.submit(oneStep(jobID(4), Step{Tasks: 1, Resources: Resources{CPUMilli: 900}, EstimateMS: 10_000}))
	assert.Equal(t, len(r.starts), 3, "a long task took capacity that the gang needs")
	r.endLast(EndDone)
	assert.Equal(t, len(r.starts), 5)
	assert.Equal(t, r.starts[4].Task.Job, jobID(3))
}
