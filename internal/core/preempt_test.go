package core

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/fulmarlatch/fulmarlatch/internal/api"
	"github.com/fulmarlatch/fulmarlatch/internal/message"
)

// TestPreemptionWaits guards against the loss of running work for tasks that find
// room soon, and against urgent work that starts later than 4.3 s in a full cell.
func TestPreemptionWaits(t *testing.T) {
	cell := newFakeCell(1, 1)
	cell.advance(time.Second)
	half := api.Resources{CPUMilli: 2000, MemoryMB: 4000, Slots: 2}
	job := api.Job{Class: "bulk", Workspace: "a", Kind: api.KindRequest, Idempotent: true, Tasks: 1, RunTimeMS: 60_000, Resources: half}
	cell.ask("e0", 0, message.OpSubmit, job)
	cell.ask("e0", 1, message.OpSubmit, job)
	cell.advance(time.Second)
	job.Class, job.RunTimeMS = "urgent", 100
	cell.ask("e0", 2, message.OpSubmit, job)
	cell.advance(preemptAfter - 2*TickInterval)
	assert.Equal(t, cell.procs["e0"].core.Counters().Preempted, uint64(0))
	cell.advance(4 * time.Second)
	answer := cell.answer("e0", 2)
	assert.Equal(t, answer.Outcome, api.OutcomeCompleted)
	assert.Assert(t, answer.WaitMS <= 4300, "started after %d ms", answer.WaitMS)
	assert.Equal(t, len(cell.problems), 0, "%v", cell.problems)
}
