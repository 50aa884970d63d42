package cell

import (
	"fmt"
	"testing"

	"gotest.tools/v3/assert"
)

// A step whose permits have arrived must be placed before they expire, however many steps
// ahead of it wait for the policy service.
func TestStepWithNewPermitsIsPlacedBehindWaitingSteps(t *testing.T) {
	const ahead = 3000
	r := newRig(t, 20, Resources{CPUMilli: 1000, MemoryMB: 1000})
	for n := range ahead {
		r.s.Submit(&Job{ID: fmt.Sprintf("%016x", 100+n), Queue: permitQueue(), Steps: []Step{{Tasks: 1, Resources: Resources{CPUMilli: 100}, EstimateMS: 1000}}})
	}
	r.advance(1)
	r.submit(Job{ID: jobID(1), Queue: permitQueue(), Steps: []Step{{Tasks: 1, Resources: Resources{CPUMilli: 100}, EstimateMS: 1000}}})
	r.advance(60_000)
	r.s.PermitsReceived(PermitResult{Step: jobID(1) + ".0.0", Workers: []string{"w00"}, Tickets: map[string]string{"w00": "t"}, ValidForMS: 2500})
	for range 5 { // a pass over a long queue takes 200 ms on a small VM
		r.advance(200)
	}
	assert.Equal(t, len(r.starts), 1)
}

// The calls of late steps that wait for a caller must stay few, and must not keep those
// of steps on time from being made first.
func TestLateStepsQueueFewCalls(t *testing.T) {
	r := newRig(t, 20, Resources{CPUMilli: 1000, MemoryMB: 1000})
	r.s.SetCallers(nil)
	for n := range 300 {
		r.submit(Job{ID: fmt.Sprintf("%016x", 100+n), Queue: permitQueue(), Steps: []Step{{Tasks: 4, Resources: Resources{CPUMilli: 100}, EstimateMS: 100, Gang: true}}})
	}
	r.takeOver(2)
	r.advance(60_000)
	r.takeOver(3)
	r.advance(100)
	assert.Assert(t, len(r.s.callQueue) <= maxLateCallsPerCaller*len(r.s.callers), "%d calls wait", len(r.s.callQueue))
	r.permitRequests = nil
	r.submit(Job{ID: jobID(1), Queue: permitQueue(), Steps: []Step{{Tasks: 1, Resources: Resources{CPUMilli: 100}, EstimateMS: 100}}})
	r.s.SetCallers([]string{"e1", "e2", "e3"})
	r.advance(10)
	assert.Equal(t, r.permitRequests[0].Step, jobID(1)+".0.0")
}
