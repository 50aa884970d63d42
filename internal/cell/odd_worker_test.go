package cell

import (
	"testing"

	"gotest.tools/v3/assert"
)

// A roster that the next holder cannot decode would let it start tasks that are still
// running on workers that have not sent a listing.
func TestTakeoverReadsRosterWithAnyWorkerID(t *testing.T) {
	r := newRig(t, 5, Resources{CPUMilli: 1000, MemoryMB: 1000})
	r.infos = append(r.infos, WorkerInfo{ID: "i-\xff\xfe", Service: "svc", Capacity: Resources{CPUMilli: 1000, MemoryMB: 1000}})
	r.s.SetWorkers(r.infos)
	r.s.WorkerUnreachable("i-\xff\xfe")
	r.advance(closingDelayMS)
	r.submit(oneStep(jobID(1), Step{Tasks: 4, Resources: Resources{CPUMilli: 1000}, EstimateMS: 9000}))
	assert.Equal(t, len(r.starts), 4)
	r.silence(r.starts[0].Worker)
	r.takeOver(2)
	r.advance(200)
	assert.Equal(t, len(r.starts), 4, "the task of the silent worker was started again")
}
