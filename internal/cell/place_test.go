package cell

import (
	"testing"

	"gotest.tools/v3/assert"
)

// When a service loses a task, it must be restarted before tasks of other jobs, even if
// the service was submitted long ago.
func TestServiceTaskRestartsFirst(t *testing.T) {
	r := newRig(t, 1, Resources{CPUMilli: 1000, MemoryMB: 1000})
	r.submit(oneStep(jobID(1), Step{Tasks: 1, Resources: Resources{CPUMilli: 800}, EstimateMS: 1000, Service: true}))
	r.advance(60000)
	service := r.starts[0]
	r.submit(oneStep(jobID(2), Step{Tasks: 1, Resources: Resources{CPUMilli: 800}, EstimateMS: 1000}))
	r.endRun(service.Worker, service.Task, service.Run, EndFailed)
	r.advance(10)
	assert.Equal(t, len(r.starts), 2)
	assert.Equal(t, r.starts[1].Task, service.Task)
	assert.Equal(t, r.starts[1].Run, service.Run+1)
}

// A worker on which every run fails must not use up the attempts of a task.
func TestFailedTaskTriesAnotherWorker(t *testing.T) {
	r := newRig(t, 4, Resources{CPUMilli: 1000, MemoryMB: 1000})
	r.allow = func(string, string) bool { return true }
	r.submit(Job{ID: jobID(1), Queue: permitQueue(), Steps: []Step{{Tasks: 1, Resources: Resources{CPUMilli: 100}, EstimateMS: 100}}})
	r.endLast(EndFailed)
	assert.Equal(t, len(r.starts), 2)
	assert.Assert(t, r.starts[0].Worker != r.starts[1].Worker)
}

// Workers that have left must be removed from the roster. Otherwise a new holder waits
// for each of them.
func TestRosterDropsDepartedWorkers(t *testing.T) {
	r := newRig(t, 3, Resources{CPUMilli: 1000, MemoryMB: 1000})
	gone := r.infos[0].ID
	r.s.Lapsed(gone) // another worker answers at its address; the registry still lists the old one
	r.runActions()
	r.infos = r.infos[1:]
	r.s.SetWorkers(r.infos)
	r.runActions()
	r.takeOver(2)
	assert.Assert(t, r.s.Settled())
}
