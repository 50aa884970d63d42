package core

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/fulmarlatch/fulmarlatch/internal/api"
	"github.com/fulmarlatch/fulmarlatch/internal/message"
)

// TestPreemptionWaits guards against preemption for a task that would soon fit without
// it, and against urgent work that waits longer than 4.3 s when all workers are full.
func TestPreemptionWaits(t *testing.T) {
	cluster := newFakeCluster(1, 1)
	cluster.advance(time.Second)
	half := api.Resources{CPUMilli: 2000, MemoryMB: 4000, Slots: 2}
	job := api.Job{Class: "bulk", Workspace: "a", Kind: api.KindRequest, Idempotent: true, Tasks: 1, RunTimeMS: 60_000, Resources: half}
	cluster.ask("e0", 0, message.OpSubmit, job)
	cluster.ask("e0", 1, message.OpSubmit, job)
	cluster.advance(time.Second)
	job.Class, job.RunTimeMS = "urgent", 100
	cluster.ask("e0", 2, message.OpSubmit, job)
	cluster.advance(preemptAfter - 2*TickInterval)
	assert.Equal(t, cluster.procs["e0"].core.Counters().Preempted, uint64(0))
	cluster.advance(4 * time.Second)
	answer := cluster.answer("e0", 2)
	assert.Equal(t, answer.Outcome, api.OutcomeCompleted)
	assert.Assert(t, answer.WaitMS <= 4300, "started after %d ms", answer.WaitMS)
	assert.Equal(t, len(cluster.violations), 0, "%v", cluster.violations)
}
