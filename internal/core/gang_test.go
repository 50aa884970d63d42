package core

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/fulmarlatch/fulmarlatch/internal/api"
	"github.com/fulmarlatch/fulmarlatch/internal/message"
)

// TestGangsAfterExpiredReservations guards against gangs that start only in part: their
// reservations expire while the log is slow, and then two gangs take the free capacity
// task by task and wait for each other.
func TestGangsAfterExpiredReservations(t *testing.T) {
	cluster := warmCluster(t, 2, 4)
	cluster.ask("e0", 1, message.OpSubmit, batch(api.KindGang, 12, 2*time.Second))
	cluster.ask("e1", 1, message.OpSubmit, batch(api.KindGang, 12, 2*time.Second))
	ids := func() []string {
		return []string{cluster.answer("e0", 1).JobID, cluster.answer("e1", 1).JobID}
	}
	for ids()[0] == "" || ids()[1] == "" {
		cluster.step()
	}
	cluster.logUp = false
	cluster.advance(5 * time.Second)
	cluster.logUp = true
	partialSteps := make(map[string]int) // steps
	for range 600 {
		cluster.step()
		for _, id := range ids() {
			n := cluster.startsByJob[id]
			if n > 0 && n < 12 {
				partialSteps[id]++
			}
			// A commit to the other process takes one step.
			assert.Assert(t, partialSteps[id] <= 2, "gang %s has %d tasks started", id, n)
		}
	}
	for _, id := range ids() {
		assert.Equal(t, cluster.startsByJob[id], 12)
	}
}

// TestCancelledGangLeavesNoUse guards against use that stays charged to a workspace: a
// gang task that is attempted again by itself is cancelled while it is being placed.
func TestCancelledGangLeavesNoUse(t *testing.T) {
	cluster := warmCluster(t, 1, 1)
	p := cluster.procs["e0"]
	job := batch(api.KindGang, 2, time.Minute)
	job.ID = cluster.mint(t, "e0")
	cluster.ask("e0", 1, message.OpSubmit, job)
	cluster.advance(time.Second)
	j := p.core.jobs.byID[job.ID]
	j.tasks[0].phase = taskWaiting
	a := p.core.attempts.byTask[taskRef{job.ID, 0}]
	p.core.releaseUse(a)
	p.core.attempts.remove(a)
	p.core.queue.Requeue(cluster.now, j.item(0, true))
	it, ok := p.core.queue.Next(cluster.now)
	assert.Assert(t, ok)
	again := p.core.newAttempt(j, it, 0)
	again.phase = attemptReserving
	p.core.cancelTasks(j)
	placing := 0
	for _, class := range p.core.queue.Stats() {
		placing += class.Placing
	}
	assert.Equal(t, placing, 0)
}
