package cell

import (
	"testing"

	"gotest.tools/v3/assert"
)

// Guards against tasks that run twice because they were started on a worker that no stored roster names.
func TestWorkerOfDiscardedRosterGetsNoTasks(t *testing.T) {
	r := newRig(t, 1, Resources{CPUMilli: 1000, MemoryMB: 1000})
	r.workers["new"] = &fakeWorker{}
	r.infos = append(r.infos, WorkerInfo{ID: "new", Service: "svc", Capacity: Resources{CPUMilli: 1000, MemoryMB: 1000}})
	r.s.SetWorkers(r.infos)
	r.sendListing("new")
	for _, a := range r.s.Actions() {
		if p, ok := a.(Persist); ok && p.Key == rosterKey {
			r.s.Discarded(p.Seq, p.Key)
			r.s.Stored(p.Seq)
		}
	}
	r.submit(oneStep(jobID(1), Step{Tasks: 2, Resources: Resources{CPUMilli: 1000}, EstimateMS: 1000}))
	r.advance(10)
	assert.Equal(t, len(r.starts), 1)
	assert.Equal(t, r.starts[0].Worker, "w00")
	r.workers["other"] = &fakeWorker{}
	r.infos = append(r.infos, WorkerInfo{ID: "other", Service: "svc", Capacity: Resources{CPUMilli: 100, MemoryMB: 1000}})
	r.s.SetWorkers(r.infos) // the next roster is stored
	r.advance(10)
	assert.Equal(t, len(r.starts), 2)
}
